/// The agent's side of the RPC protocol: receives runs from entries and sends their responses.
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

	/// Runs on its loop's thread; only onVerdict and onResponseData may be called from any thread.
	class AgentServer final : public rpc::Agent::Server, public kj::Refcounted
	{
	public:
		AgentServer(RpcLoop& _loop, std::uint64_t _incarnation);

		/// Sets the runs and the rank that it serves; called before the first RPC call. _rank may be null.
		void attach(AgentRuns* _runs, RankControl* _rank);

		void onVerdict(const RunKey& _key, const VerdictEvent& _verdict);
		void onResponseData(const RunKey& _key);

		/// Cancels runs whose entry has been lost for longer than kOrphanRunTimeoutMs. Called on the loop's thread.
		void sweep();

		/// @returns Number of runs whose response isn't completely sent. Called on the loop's thread.
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
		/// Delivery state of the response of one run.
		struct Delivery
		{
			kj::Own<kj::PromiseFulfiller<VerdictEvent>> verdict;
			kj::Maybe<rpc::Sink::Client> sink;
			std::uint64_t sinkNumber = 0; ///< Increases with each new sink.
			std::shared_ptr<ResponseBuffer> response;
			std::uint64_t sentBytes = 0;
			bool sending = false;
			Millis orphanedAt = 0; ///< When the entry was lost; 0 while it is connected.
		};

		void pump(const RunKey& _key);
		void onFrameSent(const RunKey& _key, std::uint64_t _sinkNumber, std::uint64_t _upTo, bool _end);
		void onSinkLost(const RunKey& _key, std::uint64_t _sinkNumber);

		RpcLoop& loop;
		const std::uint64_t incarnation;
		AgentRuns* runs = nullptr;
		RankControl* rank = nullptr;
		absl::flat_hash_map<RunKey, Delivery> deliveries;
	};
} // namespace archdyke
