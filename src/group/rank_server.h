/// The daemon's side of the protocol between the daemons of engine ranks (src/rank.capnp).
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "base/process.h"
#include "group/coordinator.h"
#include "group/fan_out.h"

namespace archdyke::group
{
	/// State of the sidecar, which has a single event loop.
	struct SidecarState
	{
		Coordination newest; ///< The coordinator of the engine's group with the highest term heard so far.
		Millis heardAt = 0;  ///< When a coordinator that reaches the store was last heard.
		std::optional<EngineReport> lastReport;
		bool engineUp = true;
		GroupState groupState;                    ///< From the coordinator's news, for gateways and for daemons that this one relays to.
		std::unique_ptr<Coordinator> coordinator; ///< Null while another process coordinates.
	};

	/// Records the engine's report. Discards the news and the coordinator of the previous group if the
	/// engine has moved to another group.
	void recordEngineReport(SidecarState& _state, EngineReport _report);

	/// Serves the coordinator of the group (as a rank and as a relay) and gateways.
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
		/// Records a message of a coordinator; ignores coordinators of other groups and older terms.
		void recordCoordinator(const Coordination& _coordination);
		/// Applies news of the engine's group; ignores those of other groups.
		void applyGroupNews(const NewsBundle& _bundle);
		/// @returns Whether it is the current coordinator of the engine's group.
		bool isCurrentCoordinator(const Coordination& _coordination) const;
		/// Requests a report from the engine if its last known group isn't this one.
		aio::Task<void> refreshGroup(std::string _group);
		aio::Task<void> handleRelay(RelayContext _context);
		aio::Task<void> handleRelayOrders(RelayOrdersContext _context);
		aio::Task<void> handleObserve(ObserveContext _context);
		/// @param[in] _held The last sample that the caller has, 0 for none.
		ChoiceSample recordSample(EngineCounts _counts, std::uint64_t _held);
		/// Builds the map of a prepare order from its difference to a base map.
		/// @returns false if the base map isn't known here.
		bool buildMap(EngineOrder& _order, const MapDifference& _difference);
		aio::Task<void> handleOrder(OrderContext _context);
		/// Adds the engine's state to the response to an order, which saves the coordinator a poll.
		aio::Task<void> reportAfterOrder(OrderContext _context);

		SidecarState& state;
		Engine& engine;
		FanOut& fanOut;
		std::string service;
		std::uint64_t lastSample = randomId() >> 1; ///< Starts at random, so that samples of another run don't match.
		EngineCounts lastCounts;
	};
} // namespace archdyke::group
