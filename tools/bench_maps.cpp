/// Bench of the planner of expert maps by group size: the time of one plan, and its skew compared with
/// the best plan without limits.
#include <chrono>
#include <fmt/format.h>

#include "archdyke/map_policy.h"
#include "archdyke/map_window.h"
#include "archdyke/random.h"
#include "bench.h"

namespace archdyke::bench
{
	namespace
	{
		struct GroupSize
		{
			std::uint32_t ranks = 0;
			EngineModel model;
		};

		EngineModel modelOf(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _places, double _copyMs)
		{
			EngineModel model;
			model.sets = _sets;
			model.experts = _experts;
			model.places = _places;
			model.spare = 2;
			model.expertCopyMs = _copyMs;
			return model;
		}

		/// One expert of each set gets about 24% of the choices, the others get uneven shares.
		ExpertLoad hotLoad(const EngineModel& _model, Random& _random)
		{
			ExpertLoad load;
			for (std::uint32_t set = 0; set < _model.sets; ++set)
			{
				std::vector<double> tokens;
				for (std::uint32_t expert = 0; expert < _model.experts; ++expert)
				{
					tokens.push_back(50.0 + double(randomBelow(_random, 100)));
				}
				tokens[randomBelow(_random, _model.experts)] = 32.0 * double(_model.experts);
				load.push_back(std::move(tokens));
			}
			return load;
		}

		std::vector<std::string> row(const GroupSize& _size)
		{
			std::vector<double> ms;
			std::vector<double> skewAfter;
			std::vector<double> copies;
			std::vector<double> bestSkew;
			double skewBefore = 0.0;
			for (int seed = 1; seed <= kSeeds; ++seed)
			{
				Random random{std::uint64_t(seed)};
				const ExpertLoad load = hotLoad(_size.model, random);
				const ExpertHosts hosts = roundRobinMap(_size.model.sets, _size.model.experts, _size.ranks);
				const auto start = std::chrono::steady_clock::now();
				const MapDecision decision = planMap(_size.model, _size.ranks, hosts, load, {120.0, 120});
				ms.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
				skewAfter.push_back(decision.skewAfter);
				copies.push_back(decision.copies);
				skewBefore = decision.skewBefore;
				PlacementInput unlimited;
				unlimited.ranks = _size.ranks;
				unlimited.slots = _size.model.places;
				unlimited.hosts = hosts;
				unlimited.load = load;
				bestSkew.push_back(planFromScratch(unlimited).skewAfter);
			}
			return {std::to_string(_size.ranks), fmt::format("{:.2f}", skewBefore), formatSpread(spreadOf(skewAfter), 2), formatSpread(spreadOf(bestSkew), 2), formatSpread(spreadOf(copies), 0), formatSpread(spreadOf(ms), 1)};
		}
	} // namespace

	std::vector<Table> benchMaps()
	{
		Table table;
		table.title = "one plan of an expert map, from the round-robin map, by ranks";
		table.columns = {"ranks", "skew before", "after", "best without limits", "copies", "CPU ms"};
		const std::vector<GroupSize> sizes{{12, modelOf(4, 72, 8, 98.0)}, {24, modelOf(16, 96, 5, 76.0)}, {63, modelOf(16, 126, 3, 15.0)}, {129, modelOf(16, 258, 3, 7.0)}};
		for (const GroupSize& size : sizes)
		{
			table.rows.push_back(row(size));
		}
		return {table};
	}
} // namespace archdyke::bench
