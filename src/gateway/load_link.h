/// Asks the coordinators of engine groups for the loads of their ranks.
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
		aio::Task<void> watch();
		/// One question to the coordinator of a service's group.
		aio::Task<void> ask(std::string _service);
		/// @returns Address of a daemon of the group, drawn at random; none when no upstream is known.
		std::optional<std::string> anyDaemon(const std::string& _service);
		void take(const std::string& _service, const group::GroupLoads& _loads);
		void noteCoordinator(const std::string& _service, const group::RankLink* _link, const std::string& _failure);

		GatewayState& state;
		StoreWatch& storeWatch;
		std::map<std::string, std::unique_ptr<group::RankLink>> links; ///< By service; null until a daemon is known.
		std::size_t mostRanks = 0;                                     ///< Of the groups asked.
		std::set<std::string> asking;                                  ///< Services whose question is under way.
		std::map<std::string, bool> up;                                ///< By service: whether the coordinator answers.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
	};
} // namespace archdyke::gateway
