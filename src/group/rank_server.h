/// The daemon's side of the protocol between the daemons of engine ranks: src/rank.capnp.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "base/process.h"
#include "group/coordinator.h"
#include "group/fan_out.h"

namespace archdyke::group
{
	/// State of the sidecar, on its one event loop.
	struct SidecarState
	{
		Coordination newest; ///< Of the engine's group, with the highest term that was heard.
		Millis heardAt = 0;  ///< When a coordinator that reaches the store was last heard.
		std::optional<EngineReport> lastReport;
		bool engineUp = true;
		GroupKnowledge knowledge;                 ///< What the coordinator told of the group, for gateways and as a relay.
		std::unique_ptr<Coordinator> coordinator; ///< Null while another process coordinates.
	};

	/// Takes in what the engine says of itself. What was heard of the group that it was in before
	/// is forgotten.
	void takeReport(SidecarState& _state, EngineReport _report);

	/// Serves the coordinator of the group, as a relay too, and gateways.
	class RankServer final : public rpc::RankDaemon::Server
	{
	public:
		RankServer(SidecarState& _state, Engine& _engine, FanOut& _fanOut, std::string _service);

		kj::Promise<void> observe(ObserveContext _context) override;
		kj::Promise<void> relay(RelayContext _context) override;
		kj::Promise<void> order(OrderContext _context) override;
		kj::Promise<void> relayOrders(RelayOrdersContext _context) override;
		kj::Promise<void> news(NewsContext _context) override;
		kj::Promise<void> join(JoinContext _context) override;

	private:
		/// Passes over coordinators of groups that the engine isn't in.
		void hearCoordinator(const Coordination& _coordination);
		/// Takes in news of the group that the engine is in.
		void hearNews(const NewsBundle& _bundle);
		/// @returns Whether it is the coordinator to follow: of the engine's group, and of no old term.
		bool follows(const Coordination& _coordination) const;
		/// Asks the engine for its group, when that isn't known to be this one.
		aio::Task<void> learnGroup(std::string _group);
		aio::Task<void> answerRelay(RelayContext _context);
		aio::Task<void> answerRelayOrders(RelayOrdersContext _context);
		aio::Task<void> answerObserve(ObserveContext _context);
		/// @param[in] _held Sample that the coordinator has.
		ChoiceSample takeSample(EngineCounts _counts, std::uint64_t _held);
		/// Makes the map of a prepare of its difference from one that was given before.
		/// @returns false when that one isn't known here.
		bool buildMap(EngineOrder& _order, const MapDifference& _difference);
		aio::Task<void> answerOrder(OrderContext _context);
		/// Tells the engine's state with the answer to an order, which saves the coordinator a look.
		aio::Task<void> reportAfterOrder(OrderContext _context);

		SidecarState& state;
		Engine& engine;
		FanOut& fanOut;
		std::string service;
		std::uint64_t lastSample = randomId() >> 1; ///< Numbers of another run don't fit.
		EngineCounts lastCounts;
		std::map<std::uint64_t, RankExperts> maps; ///< By version, the newest.
	};
} // namespace archdyke::group
