#include "group/engine.h"

#include "archdyke/errors.h"
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
		/// Maximum length of an engine's responses, bytes: a report has some 20 fields, counts have a number for each expert of
		/// each set, and the response to an order has a status.
		constexpr std::size_t kMaxReportBytes = 65'536;
		constexpr std::size_t kMaxCountsBytes = 4'194'304;
		constexpr std::size_t kMaxOrderResponseBytes = 65'536;
		/// How long a report that equals an earlier one waits for another one, ms: an engine on the same VM responds within 1 ms, and
		/// an engine whose state hasn't changed since the last report sends the same again.
		constexpr Millis kRepeatWaitMs = 2;
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

	http::Call Engine::callOf(std::string _method, std::string _target) const
	{
		http::Call call;
		call.address = this->engineAddress;
		call.head = {std::move(_method), std::move(_target), {}, true};
		call.head.headers.add("Host", this->engineAddress);
		call.idHeader = this->codec.idHeader;
		return call;
	}

	template <typename T>
	aio::Task<T> Engine::get(std::string _target, std::size_t _maxBytes, T (*_decode)(const std::string& _body))
	{
		http::Call call = this->callOf("GET", std::move(_target));
		call.timeoutMs = kReportTimeoutMs;
		call.limits.bodyBytes = _maxBytes;
		call.repeatWaitMs = kRepeatWaitMs;
		std::optional<T> decoded;
		call.fits = [&decoded, _decode](const http::FullResponse& _response) {
			decoded.reset();
			try
			{
				decoded = _decode(_response.body);
			}
			catch (const InvalidInputError& error)
			{
				logWarning("engine_response_unreadable", {{"reason", error.what()}});
			}
			return decoded.has_value();
		};
		const http::FullResponse answer = co_await http::exchange(this->pool, this->loop.timer, std::move(call));
		if (kOk != answer.head.status || !decoded)
		{
			kj::throwFatalException(KJ_EXCEPTION(FAILED, "the engine responded to a request for its state with an unreadable body or status", answer.head.status));
		}
		co_return std::move(*decoded);
	}

	aio::Task<EngineReport> Engine::report()
	{
		std::string target = this->codec.reportTarget;
		return this->get(std::move(target), kMaxReportBytes, this->codec.decodeReport);
	}

	aio::Task<EngineCounts> Engine::counts()
	{
		std::string target = this->codec.countsTarget;
		return this->get(std::move(target), kMaxCountsBytes, this->codec.decodeCounts);
	}

	aio::Task<OrderOutcome> Engine::order(EngineOrder _order)
	{
		OrderOutcome outcome;
		std::string failure;
		try
		{
			http::Call call = this->callOf("POST", this->codec.orderTarget);
			call.head.headers.add("Content-Type", "application/json");
			call.body = this->codec.encodeOrder(_order);
			call.timeoutMs = kOrderTimeoutMs;
			call.limits.bodyBytes = kMaxOrderResponseBytes;
			call.reuse = false; // responses to orders differ by their status only
			const http::FullResponse answer = co_await http::exchange(this->pool, this->loop.timer, std::move(call));
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
