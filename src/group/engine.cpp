#include "group/engine.h"

#include "base/log.h"

namespace archdyke::group
{
	namespace
	{
		/// Timeout of a request for a report or counts, ms: an engine on the same VM responds within 1 ms,
		/// one in another zone within 5.
		constexpr Millis kReportTimeoutMs = 200;
		/// Timeout of an order, ms. Short, because an order without a response is sent again.
		constexpr Millis kOrderTimeoutMs = 60;
		constexpr int kOk = 200;
	} // namespace

	Engine::Engine(http::LoopContext _loop, EngineCodec _codec, std::string _address)
	    : loop(_loop)
	    , codec(std::move(_codec))
	    , engineAddress(std::move(_address))
	    , pool(_loop)
	{
	}

	const std::string& Engine::address() const
	{
		return this->engineAddress;
	}

	void Engine::closeIdle()
	{
		this->pool.closeIdle();
	}

	aio::Task<std::string> Engine::get(std::string _target)
	{
		http::RequestHead head{"GET", std::move(_target), {}, true};
		head.headers.add("Host", this->engineAddress);
		std::string none;
		const http::FullResponse answer = co_await http::exchange(this->pool, this->loop.timer, this->engineAddress, std::move(head), std::move(none), kReportTimeoutMs);
		if (kOk != answer.head.status)
		{
			kj::throwFatalException(KJ_EXCEPTION(FAILED, "the engine responded to a request for its state with status", answer.head.status));
		}
		co_return answer.body;
	}

	aio::Task<EngineReport> Engine::report()
	{
		std::string target = this->codec.reportTarget;
		const std::string body = co_await this->get(std::move(target));
		co_return this->codec.decodeReport(body);
	}

	aio::Task<EngineCounts> Engine::counts()
	{
		std::string target = this->codec.countsTarget;
		const std::string body = co_await this->get(std::move(target));
		co_return this->codec.decodeCounts(body);
	}

	aio::Task<OrderOutcome> Engine::order(EngineOrder _order)
	{
		OrderOutcome outcome;
		std::string failure;
		try
		{
			http::RequestHead head{"POST", this->codec.orderTarget, {}, true};
			head.headers.add("Host", this->engineAddress);
			head.headers.add("Content-Type", "application/json");
			std::string body = this->codec.encodeOrder(_order);
			const http::FullResponse answer = co_await http::exchange(this->pool, this->loop.timer, this->engineAddress, std::move(head), std::move(body), kOrderTimeoutMs);
			outcome.status = answer.head.status;
			outcome.accepted = this->codec.isAccepted(answer.head.status);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		logInfo("order", {{"kind", toString(_order.kind)}, {"engine", this->engineAddress}, {"epoch", _order.epoch}, {"version", _order.version}, {"step", _order.step}, {"status", outcome.status}, {"accepted", outcome.accepted}, {"failure", failure.empty() ? "-" : failure}});
		co_return outcome;
	}
} // namespace archdyke::group
