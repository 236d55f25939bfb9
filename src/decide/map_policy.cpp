#include "archdyke/map_policy.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Skew below which a map is left alone: a pass is then this share of the experts' work
		/// longer than it need be.
		constexpr double kSkewTolerance = 0.15;
		/// Tolerated skew where passes take no time against the objective. A hot expert takes
		/// skew from near 0 to 2 within some passes, so more would come too late.
		constexpr double kMostTolerated = 1.2;
		/// Share of the objective from which on the least skew counts. While maps are copied all
		/// passes take longer, which costs more streams than the skew that it takes away: from
		/// 0.45 (and 0.6 tolerated) to 1.0 (and 1.2) worth rose on all sites played, on the
		/// grown ones' scale-1 from 0.339 to 0.452 and from 0.211 to 0.556.
		constexpr double kTightShare = 1.0;
		/// Twice the skew at which planning stops: the last copies of a plan save little each, and
		/// each is paid for.
		constexpr double kPlannedSkew = 0.3;
		/// Skew that a switch must save at least. One takes 0.3 to 0.5 s, and the group copies
		/// meanwhile.
		constexpr double kLeastGain = 0.12;
		/// Experts that one switch copies at most, for each rank. An expert that draws a quarter of a
		/// set's choices needs a host on a quarter of the ranks, in each set: 4 a rank with 16 sets. More
		/// is seldom planned, and planning a copy takes 0.02 ms of a core.
		constexpr double kMostCopiesPerRank = 6.0;
	} // namespace

	double toleratedSkew(const PassPressure& _pressure)
	{
		if (_pressure.passMs <= 0.0 || _pressure.gapObjectiveMs <= 0)
		{
			return kSkewTolerance;
		}
		const double share = std::min(1.0, _pressure.passMs / (kTightShare * double(_pressure.gapObjectiveMs)));
		return kMostTolerated + share * (kSkewTolerance - kMostTolerated);
	}

	MapDecision decideMap(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const PassPressure& _pressure, const std::vector<double>& _paces, double _copyBudgetMs)
	{
		PlacementInput input;
		input.ranks = _ranks;
		input.slots = _model.places;
		input.hosts = _hosts;
		input.load = _load;
		input.paces = _paces;
		input.budget = kMostCopiesPerRank * double(_ranks);
		input.arrivalsPerLayer = _model.spare;
		input.arrivalsPerRank = 0.0 < _model.expertCopyMs ? std::max<std::uint32_t>(1, std::uint32_t(_copyBudgetMs / _model.expertCopyMs)) : 0;
		MapDecision decision;
		decision.skewBefore = skewOf(_hosts, _load, _ranks, _paces);
		if (decision.skewBefore < toleratedSkew(_pressure) || tokensOf(_load) <= 0.0)
		{
			return decision;
		}
		PlacementPlan plan = planMoves(input, kPlannedSkew);
		decision.skewAfter = plan.skewAfter;
		decision.copies = plan.staged;
		decision.worthwhile = decision.skewBefore - plan.skewAfter >= kLeastGain;
		decision.hosts = std::move(plan.hosts);
		return decision;
	}
} // namespace archdyke
