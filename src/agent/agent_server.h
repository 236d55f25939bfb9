/// The agent's side of the protocol: takes runs from entries and sends their answers.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <capnp/rpc-twoparty.h>
#include <memory>

#include "agent/agent_runs.h"
#include "generated/rpc.capnp.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	class RankControl;

	/// Lives on its loop's thread; hearVerdict and hearAnswer may be called from any.
	class AgentServer final : public rpc::Agent::Server, public kj::Refcounted
	{
	public:
		AgentServer(RpcLoop& _loop, std::uint64_t _incarnation);

		/// Sets what it serves. Before the first call.
		void attach(AgentRuns* _runs, RankControl* _rank);

		void hearVerdict(const RunKey& _key, const VerdictEvent& _verdict);
		void hearAnswer(const RunKey& _key);

		/// Ends runs whose entry has been lost for too long. On the loop's thread.
		void sweep();

		/// @returns Runs whose answer isn't fully sent. On the loop's thread.
		std::size_t undelivered() const;

	protected:
		kj::Promise<void> hello(HelloContext _context) override;
		kj::Promise<void> heartbeat(HeartbeatContext _context) override;
		kj::Promise<void> dispatch(DispatchContext _context) override;
		kj::Promise<void> revoke(RevokeContext _context) override;
		kj::Promise<void> resume(ResumeContext _context) override;
		kj::Promise<void> cancel(CancelContext _context) override;
		kj::Promise<void> report(ReportContext _context) override;
		kj::Promise<void> stageMap(StageMapContext _context) override;
		kj::Promise<void> exchangeVotes(ExchangeVotesContext _context) override;

	private:
		/// How far the answer of one run has been sent, and where to.
		struct Delivery
		{
			kj::Own<kj::PromiseFulfiller<VerdictEvent>> verdict;
			kj::Maybe<rpc::Sink::Client> sink;
			std::uint64_t sinkNumber = 0; ///< Rises with each new sink.
			std::shared_ptr<AnswerBuffer> answer;
			std::uint64_t sent = 0;
			bool sending = false;
			Millis orphanSince = 0;
		};

		void pump(const RunKey& _key);
		void sent(const RunKey& _key, std::uint64_t _sinkNumber, std::uint64_t _upTo, bool _end);
		void loseSink(const RunKey& _key, std::uint64_t _sinkNumber);

		RpcLoop& loop;
		const std::uint64_t incarnation;
		AgentRuns* runs = nullptr;
		RankControl* rank = nullptr;
		absl::flat_hash_map<RunKey, Delivery> deliveries;
	};
} // namespace archdyke
