/// Polls daemons of the groups of engine ranks for the loads of the groups and for updates of the store. Each daemon has
/// the state that its coordinator sent, at most some 100 ms old. A gateway polls one daemon per group, in its own zone
/// where there is one: the number of daemons grows with that of the gateways, so the polls per daemon don't grow.
#pragma once

#include <map>

#include "gateway/state.h"
#include "gateway/watch.h"
#include "group/rank_link.h"

namespace archdyke::gateway
{
	/// Runs from its construction to its destruction.
	class LoadPoller
	{
	public:
		/// @param[in] _watch Receives the coordinators' updates of the store.
		LoadPoller(GatewayState& _state, StoreWatch& _watch);

	private:
		/// A group that is polled.
		struct FollowedGroup
		{
			std::unique_ptr<group::RankLink> source; ///< The daemon that is polled; null: one has to be picked.
			group::Roster roster;
			Millis nextPollAt = 0;   ///< When to poll next.
			Millis lastUpdateAt = 0; ///< When the last recent update arrived.
			Millis pauseMs = 0;      ///< Delay after the next failure.
			bool isPolling = false;
			bool failing = false;
		};

		/// Service and name.
		using GroupKey = std::pair<std::string, std::string>;

		/// A search for groups of a service that have no recent report.
		struct Search
		{
			bool isRunning = false;
			Millis nextAt = 0;
			Millis pauseMs = 0; ///< Delay after the next search that finds nothing.
		};

		aio::Task<void> watch();
		void pollGroups(const std::string& _service);
		/// Polls a daemon of any service, until there is a configuration that names the services with groups.
		void pollAnyGroup();
		/// Polls a daemon of a group once.
		aio::Task<void> pollGroup(GroupKey _key);
		/// Polls a daemon of a group that has no recent report.
		aio::Task<void> search(std::string _service);
		/// @param[in] _name Name by which the daemon counts this gateway; empty: it isn't counted.
		aio::Task<group::NewsResponse> requestNews(group::RankLink& _source, const group::Roster& _roster, const std::string& _name);
		/// @returns The gateway's name to send to a daemon that it may not poll again; empty where it must not be counted.
		std::string nameForSearch() const;
		/// Applies a daemon's update if it is recent.
		/// @returns Whether it is.
		bool applyNews(const GroupKey& _key, FollowedGroup& _followed, const group::NewsResponse& _response);
		/// Drops a daemon that had no recent update; another one is picked for the next poll.
		void dropSource(const GroupKey& _key, FollowedGroup& _followed, const std::string& _reason);
		/// @returns The delay with random jitter, so that gateways that failed together don't retry together.
		Millis withJitter(Millis _pauseMs);
		std::string daemonAddressOf(const Upstream& _upstream) const;

		GatewayState& state;
		StoreWatch& storeWatch;
		std::map<GroupKey, std::shared_ptr<FollowedGroup>> groups;
		std::map<std::string, Search> searches; ///< By service.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
	};
} // namespace archdyke::gateway
