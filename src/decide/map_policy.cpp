#include "archdyke/map_policy.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Skew below which the map is always kept: the expert part of a pass is at most this share longer than with
		/// even load.
		constexpr double kSkewTolerance = 0.15;
		/// Tolerated skew for passes that are negligibly short against the objective. A hot expert raises skew from
		/// near 0 to 2 within a few passes, so with a higher value the switch would come too late.
		constexpr double kMaxToleratedSkew = 1.2;
		/// Pass duration, as a share of the objective, from which on only kSkewTolerance is tolerated. Copying lengthens
		/// all passes, which makes more streams late than the removed skew. Raising this share from 0.45 to 1.0,
		/// and kMaxToleratedSkew from 0.6 to 1.2, raised worth on all simulated sites; in scale-1 of the large ones from
		/// 0.339 to 0.452 and from 0.211 to 0.556.
		constexpr double kFullPressureShare = 1.0;
		/// Twice the skew at which planning stops: the last copies of a plan save little, and each has a cost.
		constexpr double kPlanningTolerance = 0.3;
		/// Minimum skew reduction of a switch, which takes 0.3 to 0.5 s and copies experts meanwhile.
		constexpr double kMinSkewGain = 0.12;
		/// Maximum copies in one switch, per rank. An expert that receives a quarter of the choices of a set needs
		/// hosts on a quarter of the ranks: with 16 sets, 4 copies per rank. More is rarely planned, and planning one
		/// copy takes 0.02 ms of CPU time.
		constexpr double kMaxCopiesPerRank = 6.0;
	} // namespace

	double toleratedSkew(const PassTiming& _pressure)
	{
		if (_pressure.passMs <= 0.0 || _pressure.gapObjectiveMs <= 0)
		{
			return kSkewTolerance;
		}
		const double share = std::min(1.0, _pressure.passMs / (kFullPressureShare * double(_pressure.gapObjectiveMs)));
		return kMaxToleratedSkew + share * (kSkewTolerance - kMaxToleratedSkew);
	}

	MapDecision planMap(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const PassTiming& _pressure, const std::vector<double>& _paces, double _copyBudgetMs)
	{
		PlacementInput input;
		input.ranks = _ranks;
		input.slots = _model.places;
		input.hosts = _hosts;
		input.load = _load;
		input.paces = _paces;
		input.budget = kMaxCopiesPerRank * double(_ranks);
		input.maxNewExpertsPerLayer = _model.spare;
		input.maxNewExpertsPerRank = 0.0 < _model.expertCopyMs ? std::max<std::uint32_t>(1, std::uint32_t(_copyBudgetMs / _model.expertCopyMs)) : 0;
		MapDecision decision;
		decision.skewBefore = skewOf(_hosts, _load, _ranks, _paces);
		if (decision.skewBefore < toleratedSkew(_pressure) || meanTokensPerLayer(_load) <= 0.0)
		{
			return decision;
		}
		PlacementPlan plan = planMoves(input, kPlanningTolerance);
		decision.skewAfter = plan.skewAfter;
		decision.copies = plan.staged;
		decision.worthwhile = decision.skewBefore - plan.skewAfter >= kMinSkewGain;
		decision.hosts = std::move(plan.hosts);
		return decision;
	}
} // namespace archdyke
