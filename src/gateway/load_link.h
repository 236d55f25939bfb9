/// Follows the coordinators of all groups of engine ranks: finds each, and asks it for the loads of
/// its group and for its news of the store.
#pragma once

#include <map>
#include <set>

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
		/// A group whose coordinator is known.
		struct FollowedGroup
		{
			std::unique_ptr<group::RankLink> link; ///< To its coordinator.
			std::size_t ranks = 0;                 ///< As last told.
			Millis askedAt = 0;
			bool asking = false;
		};

		/// Service and name.
		using GroupKey = std::pair<std::string, std::string>;

		aio::Task<void> watch();
		void askGroups(const std::string& _service);
		/// One question to the coordinator of a group.
		aio::Task<void> ask(GroupKey _key);
		/// Asks a daemon of a group that wasn't heard of lately who coordinates it.
		aio::Task<void> search(std::string _service);
		aio::Task<group::GroupLoads> question(group::RankLink& _link);
		/// Follows the coordinator that a daemon named.
		/// @returns Whether it is another one than before.
		bool follow(const std::string& _service, const group::Coordination& _newest);
		void take(const std::string& _service, const group::GroupLoads& _loads);
		void lose(const GroupKey& _key, const std::string& _failure);
		std::string daemonOf(const Upstream& _upstream) const;

		GatewayState& state;
		StoreWatch& storeWatch;
		std::map<GroupKey, std::shared_ptr<FollowedGroup>> groups;
		std::set<std::string> searching; ///< Services in which a search is under way.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
	};
} // namespace archdyke::gateway
