/// Asks the coordinators of engine groups for the loads of their ranks.
#pragma once

#include <map>
#include <set>

#include "gateway/state.h"
#include "group/rank_link.h"

namespace archdyke::gateway
{
	class LoadLink
	{
	public:
		explicit LoadLink(GatewayState& _state);

	private:
		aio::Task<void> watch();
		aio::Task<void> ask(std::string _service);
		std::optional<std::string> anyDaemon(const std::string& _service);
		void take(const std::string& _service, const group::GroupLoads& _loads);

		GatewayState& state;
		std::map<std::string, std::unique_ptr<group::RankLink>> links; ///< By service.
		std::size_t mostRanks = 0;                                     ///< Of the groups asked.
		std::set<std::string> asking;
		std::map<std::string, bool> up; ///< By service: whether the coordinator answers.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
	};
} // namespace archdyke::gateway
