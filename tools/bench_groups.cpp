/// Bench of the choice of a group and a rank: its cost by numbers of workers and groups, and its herding.
#include <algorithm>
#include <chrono>
#include <fmt/format.h>

#include "archdyke/group_choice.h"
#include "base/log.h"
#include "bench.h"
#include "gateway/board.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr const char* kService = "svc";
		constexpr int kChoices = 2'000;
		constexpr double kUsPerS = 1e6;

		/// Dimensions of a service.
		struct Shape
		{
			std::size_t groups = 0;
			std::size_t ranks = 0; ///< Of each group.
		};

		std::string addressOf(std::size_t _group, std::size_t _rank)
		{
			return fmt::format("10.{}.{}.{}:80", _group, _rank / 200, _rank % 200);
		}

		void fill(gateway::UpstreamRegistry& _registry, const Shape& _shape)
		{
			for (std::size_t group = 0; group < _shape.groups; ++group)
			{
				gateway::GroupReport report;
				report.service = kService;
				report.name = fmt::format("g-{}", group);
				report.passMs = 60.0;
				for (std::size_t rank = 0; rank < _shape.ranks; ++rank)
				{
					const std::string address = addressOf(group, rank);
					_registry.learn({address, kService, address, fmt::format("zone-{}", group % 17), 12, false}, 0);
					report.ranks.push_back({address, 3, 1.0});
				}
				_registry.report(report, 1);
			}
		}

		/// @returns Time to choose a group and a rank in it, us.
		double timeOfChoice(const gateway::UpstreamRegistry& _registry)
		{
			Random random(7);
			const auto start = std::chrono::steady_clock::now();
			for (int choice = 0; choice < kChoices; ++choice)
			{
				const std::vector<gateway::GroupRef>& groups = _registry.groupsOf(kService);
				std::vector<GroupCandidate> candidates;
				for (const gateway::GroupRef& group : groups)
				{
					const double load = gateway::meanLoad(*group, 2);
					candidates.push_back({GroupStatus::InTime, true, (load + 1.0) / 12.0, (12.0 - load) * double(group->availableMembers), double(group->availableInZone) / double(group->availableMembers), false});
				}
				_registry.choose(*groups[*chooseGroup(candidates, random)], {}, random, 2);
			}
			return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() * kUsPerS / kChoices;
		}

		/// Herding among groups of equal size: requests are assigned while the load report stays unchanged.
		/// @returns Requests of the group that got the most, relative to the mean.
		template <typename Choose>
		double herdingOf(std::size_t _groups, std::uint64_t _seed, Choose _choose)
		{
			Random random(_seed);
			std::vector<GroupCandidate> candidates;
			for (std::size_t group = 0; group < _groups; ++group)
			{
				const double utilization = 0.5 + 0.1 * double(randomBelow(random, 100)) / 100.0;
				candidates.push_back({GroupStatus::InTime, true, utilization, 100.0 * (1.0 - utilization), 0.0, false});
			}
			std::vector<int> arrivals(_groups, 0);
			const int requests = 40 * int(_groups);
			for (int request = 0; request < requests; ++request)
			{
				arrivals[*_choose(candidates, random)] += 1;
			}
			return double(*std::max_element(arrivals.begin(), arrivals.end())) * double(_groups) / double(requests);
		}

		Table costTable()
		{
			Table table{"Time of one choice, us", {"groups", "ranks per group", "workers", "us"}, {}};
			for (const Shape& shape : {Shape{1, 12}, Shape{1, 128}, Shape{3, 24}, Shape{3, 128}, Shape{94, 12}, Shape{94, 128}})
			{
				gateway::UpstreamRegistry registry("zone-0");
				fill(registry, shape);
				std::vector<double> times;
				for (int seed = 0; seed < kSeeds; ++seed)
				{
					times.push_back(timeOfChoice(registry));
				}
				table.rows.push_back({std::to_string(shape.groups), std::to_string(shape.ranks), std::to_string(shape.groups * shape.ranks), formatSpread(spreadOf(times), 1)});
			}
			return table;
		}

		Table herdingTable()
		{
			Table table{"Requests of the busiest group relative to the mean, 40 requests per group on one report", {"groups", "random by free capacity", "always the least utilized"}, {}};
			for (const std::size_t groups : {3, 17, 94})
			{
				std::vector<double> weighted;
				std::vector<double> leastUtilized;
				for (int seed = 1; seed <= kSeeds; ++seed)
				{
					weighted.push_back(herdingOf(groups, std::uint64_t(seed), chooseGroup));
					leastUtilized.push_back(herdingOf(groups, std::uint64_t(seed), [](const std::vector<GroupCandidate>& _candidates, Random&) {
						return chooseLeastUtilizedGroup(_candidates);
					}));
				}
				table.rows.push_back({std::to_string(groups), formatSpread(spreadOf(weighted), 2), formatSpread(spreadOf(leastUtilized), 2)});
			}
			return table;
		}
	} // namespace

	std::vector<Table> benchGroups()
	{
		return {costTable(), herdingTable()};
	}
} // namespace archdyke::bench
