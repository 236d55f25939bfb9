/// Learns the loads of all groups of engine ranks, and the news of the store, from daemons of the
/// groups: each has what its coordinator told, at most some 100 ms old. A gateway asks one daemon a
/// group, in its own zone where there is one, so that what is asked of a daemon doesn't grow with the
/// number of gateways: they grow together.
#pragma once

#include <map>

#include "gateway/state.h"
#include "gateway/watch.h"
#include "group/rank_link.h"

namespace archdyke::gateway
{
	/// Runs as long as it lives.
	class LoadLink
	{
	public:
		/// @param[in] _watch Gets the coordinators' news of the store.
		LoadLink(GatewayState& _state, StoreWatch& _watch);

	private:
		/// A group that was found.
		struct FollowedGroup
		{
			std::unique_ptr<group::RankLink> source; ///< The daemon that is asked; null: one is to be drawn.
			group::Roster roster;
			Millis askAt = 0;   ///< When to ask next.
			Millis heardAt = 0; ///< When news last came.
			Millis pauseMs = 0; ///< After the next failure.
			bool asking = false;
			bool failing = false;
		};

		/// Service and name.
		using GroupKey = std::pair<std::string, std::string>;

		/// A search for groups that weren't heard of.
		struct Search
		{
			bool underWay = false;
			Millis nextAt = 0;
			Millis pauseMs = 0; ///< After the next one that finds nothing.
		};

		aio::Task<void> watch();
		void askGroups(const std::string& _service);
		/// Asks a daemon of any service, before the configuration is known that names the services with groups.
		void askAny();
		/// One question to a daemon of a group.
		aio::Task<void> ask(GroupKey _key);
		/// Asks a daemon of a group that wasn't heard of lately.
		aio::Task<void> search(std::string _service);
		/// @param[in] _name By which the daemon counts this gateway; empty: not at all.
		aio::Task<group::NewsAnswer> question(group::RankLink& _source, const group::Roster& _roster, const std::string& _name);
		/// @returns The name of this gateway in a question to a daemon that it may not follow.
		std::string nameInSearch() const;
		/// Takes news in, if they are fresh.
		/// @returns Whether they are.
		bool take(const GroupKey& _key, FollowedGroup& _followed, const group::NewsAnswer& _answer);
		/// Leaves a source that told nothing; the next one is drawn when it is time.
		void leaveSource(const GroupKey& _key, FollowedGroup& _followed, const std::string& _reason);
		/// @returns A pause, spread so that gateways that failed together don't try together.
		Millis spread(Millis _pauseMs);
		std::string daemonOf(const Upstream& _upstream) const;

		GatewayState& state;
		StoreWatch& storeWatch;
		std::map<GroupKey, std::shared_ptr<FollowedGroup>> groups;
		std::map<std::string, Search> searches; ///< By service.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
	};
} // namespace archdyke::gateway
