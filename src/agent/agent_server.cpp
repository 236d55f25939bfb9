#include "agent/agent_server.h"

#include "agent/rank_control.h"
#include "base/config.h"
#include "base/process.h"
#include "rpc/rpc_convert.h"
#include "rpc/rpc_convert_map.h"

namespace archdyke
{
	AgentServer::AgentServer(RpcLoop& _loop, std::uint64_t _incarnation)
	    : loop(_loop)
	    , incarnation(_incarnation)
	{
	}

	void AgentServer::attach(AgentRuns* _runs, RankControl* _rank)
	{
		this->runs = _runs;
		this->rank = _rank;
	}

	void AgentServer::onVerdict(const RunKey& _key, const VerdictEvent& _verdict)
	{
		this->loop.post([this, key = _key, _verdict] {
			const auto it = this->deliveries.find(key);
			if (this->deliveries.end() == it || nullptr == it->second.verdict.get())
			{
				return;
			}
			it->second.verdict->fulfill(kj::cp(_verdict));
			it->second.verdict = nullptr;
			if (!_verdict.accepted)
			{
				this->deliveries.erase(it);
				return;
			}
			it->second.response = this->runs->response(key);
		});
	}

	void AgentServer::onResponseData(const RunKey& _key)
	{
		this->loop.post([this, key = _key] {
			this->pump(key);
		});
	}

	kj::Promise<void> AgentServer::hello(HelloContext _context)
	{
		Session session = readSession(_context.getParams().getSession());
		session.agent = this->incarnation;
		this->runs->open(session);
		_context.getResults().setIncarnation(this->incarnation);
		writeLoad(_context.getResults().initLoad(), this->runs->load());
		const std::vector<Crash> crashes = this->runs->crashesToReport();
		writeCrashes(_context.getResults().initCrashes(unsigned(crashes.size())), crashes);
		return kj::READY_NOW;
	}

	kj::Promise<void> AgentServer::heartbeat(HeartbeatContext _context)
	{
		this->runs->refuse(readRefusals(_context.getParams().getRefused()));
		const std::vector<Crash> crashes = this->runs->crashesToReport();
		writeCrashes(_context.getResults().initCrashes(unsigned(crashes.size())), crashes);
		writeLoad(_context.getResults().initLoad(), this->runs->load());
		return kj::READY_NOW;
	}

	kj::Promise<void> AgentServer::dispatch(DispatchContext _context)
	{
		const rpc::RunSpec::Reader params = _context.getParams().getRun();
		RunSpec run = readRun(params);
		const Session session = readSession(params.getSession());
		if (this->deliveries.contains(run.key))
		{
			writeVerdict(_context.getResults().initVerdict(), {false, RefusalReason::Duplicate, 0}, this->runs->load());
			return kj::READY_NOW;
		}
		auto pair = kj::newPromiseAndFulfiller<VerdictEvent>();
		Delivery& delivery = this->deliveries[run.key];
		delivery.verdict = kj::mv(pair.fulfiller);
		delivery.sink = _context.getParams().getSink();
		this->runs->offer(run, session);
		_context.releaseParams();
		_context.allowCancellation();
		auto onDropped = kj::defer([this, key = run.key] {
			const auto it = this->deliveries.find(key);
			if (this->deliveries.end() != it && nullptr != it->second.verdict.get())
			{
				it->second.orphanedAt = nowMs();
			}
		});
		return pair.promise.then([this, _context](VerdictEvent _verdict) mutable {
			                   writeVerdict(_context.getResults().initVerdict(), _verdict, this->runs->load());
		                   })
		    .attach(kj::mv(onDropped));
	}

	kj::Promise<void> AgentServer::revoke(RevokeContext _context)
	{
		const RunKey key = readKey(_context.getParams().getKey());
		const RevokeState state = this->runs->revoke(key, readSession(_context.getParams().getSession()));
		if (RevokeState::NotRun == state)
		{
			this->deliveries.erase(key);
		}
		_context.getResults().setState(toRpc(state));
		return kj::READY_NOW;
	}

	kj::Promise<void> AgentServer::resume(ResumeContext _context)
	{
		const RunKey key = readKey(_context.getParams().getKey());
		const std::shared_ptr<ResponseBuffer> response = this->runs->open(readSession(_context.getParams().getSession())) ? this->runs->response(key) : nullptr;
		_context.getResults().setKnown(nullptr != response);
		if (nullptr == response)
		{
			return kj::READY_NOW;
		}
		Delivery& delivery = this->deliveries[key];
		delivery.sink = _context.getParams().getSink();
		delivery.sinkNumber += 1;
		delivery.response = response;
		delivery.sentBytes = _context.getParams().getOffset();
		delivery.sending = false;
		delivery.orphanedAt = 0;
		this->pump(key);
		return kj::READY_NOW;
	}

	kj::Promise<void> AgentServer::cancel(CancelContext _context)
	{
		const RunKey key = readKey(_context.getParams().getKey());
		this->runs->cancel(key);
		this->deliveries.erase(key);
		return kj::READY_NOW;
	}

	namespace
	{
		/// Result that another thread provides.
		template <typename Result>
		struct DeferredResult
		{
			explicit DeferredResult(RpcLoop& _loop)
			    : loop(_loop)
			    , pair(kj::newPromiseAndFulfiller<Result>())
			    , fulfiller(std::make_shared<kj::Own<kj::PromiseFulfiller<Result>>>(kj::mv(this->pair.fulfiller)))
			{
			}

			/// @returns Callback that delivers the result; called from the other thread.
			std::function<void(const Result&)> callback() const
			{
				return [&target = this->loop, shared = this->fulfiller](const Result& _result) {
					target.post([shared, _result] {
						(*shared)->fulfill(kj::cp(_result));
					});
				};
			}

			RpcLoop& loop;
			kj::PromiseFulfillerPair<Result> pair;
			std::shared_ptr<kj::Own<kj::PromiseFulfiller<Result>>> fulfiller;
		};

		kj::Exception noRankError()
		{
			return KJ_EXCEPTION(FAILED, "this agent's upstream is no engine rank");
		}

		using MaybeReport = std::optional<RankReport>;

		struct StageResult
		{
			bool done = false;
			MaybeReport report;
		};
	} // namespace

	kj::Promise<void> AgentServer::report(ReportContext _context)
	{
		if (nullptr == this->rank)
		{
			return noRankError();
		}
		DeferredResult<MaybeReport> deferred(this->loop);
		this->rank->report(_context.getParams().getWithLoad(), deferred.callback());
		return deferred.pair.promise.then([_context](MaybeReport _report) mutable {
			if (!_report)
			{
				kj::throwFatalException(noRankError());
			}
			writeReport(_context.getResults().initReport(), *_report);
		});
	}

	kj::Promise<void> AgentServer::stageMap(StageMapContext _context)
	{
		if (nullptr == this->rank)
		{
			return noRankError();
		}
		DeferredResult<StageResult> deferred(this->loop);
		const auto params = _context.getParams();
		this->rank->stage(params.getFence(), params.getMap().cStr(), [complete = deferred.callback()](bool _done, MaybeReport _report) {
			complete({_done, std::move(_report)});
		});
		return deferred.pair.promise.then([_context](const StageResult& _result) mutable {
			_context.getResults().setDone(_result.done);
			writeReport(_context.getResults().initReport(), _result.report.value_or(RankReport{}));
		});
	}

	kj::Promise<void> AgentServer::exchangeVotes(ExchangeVotesContext _context)
	{
		if (nullptr == this->rank)
		{
			return noRankError();
		}
		DeferredResult<VoteReply> deferred(this->loop);
		this->rank->receiveVotes(readVotes(_context.getParams().getMine()), deferred.callback());
		return deferred.pair.promise.then([_context](const VoteReply& _reply) mutable {
			_context.getResults().setRefusal(std::uint16_t(_reply.refusal));
			writeVotes(_context.getResults().initTheirs(), _reply.theirs);
		});
	}

	void AgentServer::pump(const RunKey& _key)
	{
		const auto it = this->deliveries.find(_key);
		if (this->deliveries.end() == it || it->second.sending || nullptr == it->second.response)
		{
			return;
		}
		Delivery& delivery = it->second;
		const ResponseFrame frame = delivery.response->frameAt(delivery.sentBytes);
		if (frame.bytes.empty() && !frame.head.end)
		{
			return;
		}
		KJ_IF_MAYBE (sink, delivery.sink)
		{
			auto request = sink->frameRequest();
			writeFrame(request.initFrame(), frame, this->runs->load());
			delivery.sending = true;
			const std::uint64_t number = delivery.sinkNumber;
			const std::uint64_t upTo = frame.head.offset + frame.head.size;
			this->loop.spawn(request.send().then([this, self = kj::addRef(*this), key = _key, number, upTo, end = frame.head.end] {
				this->onFrameSent(key, number, upTo, end);
			},
			                                     [this, self = kj::addRef(*this), key = _key, number](kj::Exception&&) {
				this->onSinkLost(key, number);
			}));
		}
	}

	void AgentServer::onFrameSent(const RunKey& _key, std::uint64_t _sinkNumber, std::uint64_t _upTo, bool _end)
	{
		const auto it = this->deliveries.find(_key);
		if (this->deliveries.end() == it || _sinkNumber != it->second.sinkNumber)
		{
			return;
		}
		if (_end)
		{
			this->deliveries.erase(it);
			this->runs->recordDelivered(_key);
			return;
		}
		it->second.sending = false;
		it->second.sentBytes = _upTo;
		this->pump(_key);
	}

	void AgentServer::onSinkLost(const RunKey& _key, std::uint64_t _sinkNumber)
	{
		const auto it = this->deliveries.find(_key);
		if (this->deliveries.end() == it || _sinkNumber != it->second.sinkNumber)
		{
			return;
		}
		it->second.sink = nullptr;
		it->second.sending = false;
		it->second.orphanedAt = nowMs();
	}

	void AgentServer::sweep()
	{
		const Millis now = nowMs();
		std::vector<RunKey> orphans;
		for (const auto& [key, delivery] : this->deliveries)
		{
			if (0 != delivery.orphanedAt && kOrphanRunTimeoutMs < now - delivery.orphanedAt)
			{
				orphans.push_back(key);
			}
		}
		for (const RunKey& key : orphans)
		{
			this->runs->cancel(key);
			this->deliveries.erase(key);
		}
	}

	std::size_t AgentServer::undelivered() const
	{
		return this->deliveries.size();
	}
} // namespace archdyke
