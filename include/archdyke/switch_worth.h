/// Estimates whether switching the expert map serves callers better than keeping the map in use.
///
/// Matters for fully loaded groups when demand shifts. A switch lengthens passes while experts are copied,
/// and its hold pauses all streams of the group; the saving lasts until demand changes again. Cost and
/// saving are both measured in streams: a pass longer than the longest pause that callers accept makes the
/// running streams late, while a pass within it brings no benefit by being shorter. The skew of a single
/// window is partly random, so the share of a planned saving that persists is learned from later counts of
/// the group, also for plans that weren't executed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "archdyke/catalog.h"
#include "archdyke/map_policy.h"
#include "archdyke/placement.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Ages at which a plan is compared with the current demand, ms. The last one is several stream durations;
	/// savings beyond it can't be predicted.
	constexpr std::array<Millis, 6> kPlanAgesMs{250, 500, 1'000, 2'000, 4'000, 8'000};

	/// A plan whose saving is evaluated against later counts.
	struct TrackedPlan
	{
		Millis at = 0;
		ExpertHosts before;
		ExpertHosts after;
		double planned = 0.0;    ///< Skew reduction that was planned.
		std::size_t nextAge = 0; ///< Index into kPlanAgesMs of the next comparison.

		bool operator==(const TrackedPlan&) const = default;
	};

	/// Decaying sums of planned and actual skew reductions, by age of the plan.
	struct SavingStats
	{
		std::array<double, kPlanAgesMs.size()> planned{};
		std::array<double, kPlanAgesMs.size()> saved{};
		std::deque<TrackedPlan> trackedPlans; ///< Plans that haven't reached the last age, oldest first.
	};

	/// Expected remaining share of a planned saving, and its duration.
	struct SavingForecast
	{
		double keptShare = 0.0; ///< Of the planned skew reduction, when the switch is complete.
		double lastsMs = 0.0;   ///< From then on, as if the saving stayed at keptShare and then ended.

		bool operator==(const SavingForecast&) const = default;
	};

	/// Starts to evaluate a plan, unless the previous one was added too recently.
	void trackPlan(SavingStats& _record, const ExpertHosts& _before, const MapDecision& _plan, Millis _now);

	/// Compares the plans that have reached their next age with the current counts.
	/// @param[in] _paces As in PlacementInput.
	void evaluateTrackedPlans(SavingStats& _record, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces, Millis _now);

	/// Predicts how much of a planned saving remains. With few comparisons so far, demand is expected to change
	/// as streams end and others replace them.
	/// @param[in] _streamMs Mean duration of a stream.
	/// @param[in] _delayMs Time until the switch is complete.
	SavingForecast forecastSaving(const SavingStats& _record, double _streamMs, double _delayMs);

	/// Durations of a map switch.
	struct SwitchDurations
	{
		double stoodMs = 0.0;    ///< Stall at the boundary, beyond the pass itself.
		double overheadMs = 0.0; ///< From the plan until the map is in force, without the time for copies.

		bool operator==(const SwitchDurations&) const = default;
	};

	/// Moving means over the observed switches.
	struct SwitchDurationStats
	{
		SwitchDurations mean;
		Millis seenAt = 0; ///< Time of the last one; 0: none.

		bool operator==(const SwitchDurationStats&) const = default;
	};

	/// @returns Expected durations of the next switch: those of the last switches, returning over time to the values
	/// derived from the engine model. Otherwise no switch would be made any more after one long stall.
	SwitchDurations expectedDurations(const EngineModel& _model, const SwitchDurationStats& _record, Millis _now);

	/// Records a switch that came into force.
	void recordSwitch(const EngineModel& _model, SwitchDurationStats& _record, const SwitchDurations& _seen, Millis _now);

	/// Load of a group as its ranks were last observed.
	struct GroupLoad
	{
		PassTiming passes;
		double active = 0.0;  ///< Running requests, mean over the ranks.
		double waiting = 0.0; ///< Share of the ranks with queued requests.
		bool leaving = false; ///< A rank is draining; once it ends, the group forms anew with the initial map.

		bool operator==(const GroupLoad&) const = default;
	};

	/// The reason against a switch.
	enum class SwitchRejection
	{
		None,
		LittleSkew,  ///< Skew is below the tolerated one.
		NoBetterMap, ///< None within the copy limits of the ranks.
		CostsMore,   ///< It makes more streams late than it keeps in time.
		NonePays,    ///< Not even a map without skew and without copies would pay off, so none was planned.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(SwitchRejection _doubt);

	/// Estimated benefit and cost of a switch, in ms of full service: the responses that the group gives in that
	/// time if all of them are in time.
	struct SwitchEstimate
	{
		double savedMs = 0.0;
		double costMs = 0.0;
		double expectedMs = 0.0;            ///< Expected duration of the saving.
		double keptShare = 0.0;             ///< Of the planned saving; see SavingForecast.
		double lateStreamProbability = 0.0; ///< Probability that the switch makes a running stream late that has been in time so far.
		double copyMs = 0.0;                ///< Copying time of the rank with the most copies.

		bool operator==(const SwitchEstimate&) const = default;
	};

	/// @returns Whether cost and benefit of switches can be estimated and copies take long enough for it to matter;
	/// otherwise skew alone decides.
	bool usesEstimate(const EngineModel& _model, Millis _gapObjectiveMs);

	/// Estimates benefit and cost of a planned switch.
	/// @param[in] _copyMs Copying time of the rank with the most copies.
	SwitchEstimate estimateSwitch(const EngineModel& _model, const GroupLoad& _group, const MapDecision& _plan, double _copyMs, const SavingStats& _record, const SwitchDurations& _times);

	/// A decision, with its reason.
	struct SwitchChoice
	{
		SwitchRejection doubt = SwitchRejection::LittleSkew; ///< None: make the switch.
		MapDecision plan;
		SwitchEstimate worth;

		bool operator==(const SwitchChoice&) const = default;
	};

	/// Plans a large switch and a small one limited to the largest savings, and chooses the one with the greater
	/// benefit. Adds the large plan to the record.
	SwitchChoice chooseSwitch(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const GroupLoad& _group, const std::vector<double>& _paces, const SwitchDurationStats& _switches, SavingStats& _record, Millis _now);
} // namespace archdyke
