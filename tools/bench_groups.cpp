/// What the choice of a group and a rank costs as workers and groups grow, and how far it herds.
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

		/// Size of a service.
		struct Shape
		{
			std::size_t groups = 0;
			std::size_t ranks = 0; ///< Of each group.
		};

		std::string addressOf(std::size_t _group, std::size_t _rank)
		{
			return fmt::format("10.{}.{}.{}:80", _group, _rank / 200, _rank % 200);
		}

		void fill(gateway::UpstreamRegistry& _board, const Shape& _shape)
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
					_board.learn({address, kService, address, fmt::format("zone-{}", group % 17), 12, false}, 0);
					report.ranks.push_back({address, 3, 1.0});
				}
				_board.report(report, 1);
			}
		}

		/// @returns Time of one choice of a group and of a rank in it, us.
		double timeOfChoice(const gateway::UpstreamRegistry& _board)
		{
			Random random(7);
			const auto begin = std::chrono::steady_clock::now();
			for (int choice = 0; choice < kChoices; ++choice)
			{
				const std::vector<gateway::GroupRef>& groups = _board.groupsOf(kService);
				std::vector<GroupCandidate> candidates;
				for (const gateway::GroupRef& group : groups)
				{
					const double load = gateway::meanLoad(*group, 2);
					candidates.push_back({GroupStatus::InTime, true, (load + 1.0) / 12.0, (12.0 - load) * double(group->availableMembers), double(group->availableInZone) / double(group->availableMembers), false});
				}
				_board.choose(*groups[*chooseGroup(candidates, random)], {}, random, 2);
			}
			return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count() * kUsPerS / kChoices;
		}

		/// @returns The fullest of equal groups after the arrivals of one report, over the mean.
		template <typename Choose>
		double herdOf(std::size_t _groups, std::uint64_t _seed, Choose _choose)
		{
			Random random(_seed);
			std::vector<GroupCandidate> seen;
			for (std::size_t group = 0; group < _groups; ++group)
			{
				const double utilization = 0.5 + 0.1 * double(randomBelow(random, 100)) / 100.0;
				seen.push_back({GroupStatus::InTime, true, utilization, 100.0 * (1.0 - utilization), 0.0, false});
			}
			std::vector<int> arrivals(_groups, 0);
			const int requests = 40 * int(_groups);
			for (int request = 0; request < requests; ++request)
			{
				arrivals[*_choose(seen, random)] += 1;
			}
			return double(*std::max_element(arrivals.begin(), arrivals.end())) * double(_groups) / double(requests);
		}

		Table costTable()
		{
			Table table{"Time of one choice, us", {"groups", "ranks of a group", "workers", "us"}, {}};
			for (const Shape& shape : {Shape{1, 12}, Shape{1, 128}, Shape{3, 24}, Shape{3, 128}, Shape{94, 12}, Shape{94, 128}})
			{
				gateway::UpstreamRegistry registry("zone-0");
				fill(registry, shape);
				std::vector<double> times;
				for (int seed = 0; seed < kSeeds; ++seed)
				{
					times.push_back(timeOfChoice(registry));
				}
				table.rows.push_back({std::to_string(shape.groups), std::to_string(shape.ranks), std::to_string(shape.groups * shape.ranks), show(spreadOf(times), 1)});
			}
			return table;
		}

		Table herdTable()
		{
			Table table{"Fullest group over the mean, 40 requests a group on one report", {"groups", "drawn by room", "always the emptiest"}, {}};
			for (const std::size_t groups : {3, 17, 94})
			{
				std::vector<double> drawn;
				std::vector<double> emptiest;
				for (int seed = 1; seed <= kSeeds; ++seed)
				{
					drawn.push_back(herdOf(groups, std::uint64_t(seed), chooseGroup));
					emptiest.push_back(herdOf(groups, std::uint64_t(seed), [](const std::vector<GroupCandidate>& _seen, Random&) {
						return chooseLeastUtilizedGroup(_seen);
					}));
				}
				table.rows.push_back({std::to_string(groups), show(spreadOf(drawn), 2), show(spreadOf(emptiest), 2)});
			}
			return table;
		}
	} // namespace

	std::vector<Table> benchGroups()
	{
		return {costTable(), herdTable()};
	}
} // namespace archdyke::bench
