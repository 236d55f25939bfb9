/// Whether a switch of the expert map serves callers better than going on with the map in use.
///
/// Answers the load of full groups under shifts of demand. A switch makes passes longer while experts
/// are copied, and its hold is a pause in all streams of the group; what it saves lasts until demand
/// has changed. Both sides are counted in streams: a pass over the longest pause that callers accept
/// makes the running streams late, and a pass within it serves nobody better by being shorter. Skew of
/// one window is in part chance: how much of a planned saving later windows show is learnt from the
/// group's own counts, also by plans that weren't carried out.
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
	/// Ages at which a plan is compared with what demand has become, ms. The last one is several lives of a
	/// stream: what a switch saves after that can't be told from now.
	constexpr std::array<Millis, 6> kSavingAges{250, 500, 1'000, 2'000, 4'000, 8'000};

	/// What a plan would have saved, as later counts show.
	struct PlanTrial
	{
		Millis at = 0;
		ExpertHosts before;
		ExpertHosts after;
		double planned = 0.0;    ///< Skew that it was to save.
		std::size_t nextAge = 0; ///< Of kSavingAges.

		bool operator==(const PlanTrial&) const = default;
	};

	/// Moving sums of the skew that plans were to save and did, by their age.
	struct SavingRecord
	{
		std::array<double, kSavingAges.size()> planned{};
		std::array<double, kSavingAges.size()> saved{};
		std::deque<PlanTrial> trials; ///< Not yet of the last age, oldest first.
	};

	/// What is left of a planned saving, and for how long.
	struct SavingOutlook
	{
		double keptShare = 0.0; ///< Of the planned skew, once the switch is over.
		double lastsMs = 0.0;   ///< From then on, as if it stayed at that share and then ended.

		bool operator==(const SavingOutlook&) const = default;
	};

	/// Starts to follow a plan, unless the last one is too young to tell more.
	void addTrial(SavingRecord& _record, const ExpertHosts& _before, const MapDecision& _plan, Millis _now);

	/// Compares the plans that have come of age with the counts of now.
	/// @param[in] _paces As in PlacementInput.
	void takeCounts(SavingRecord& _record, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces, Millis _now);

	/// @param[in] _streamMs Mean life of a stream. Where little has been seen, demand is expected to
	/// change as streams end and others take their places.
	/// @param[in] _delayMs Time until the switch is over.
	SavingOutlook outlookOf(const SavingRecord& _record, double _streamMs, double _delayMs);

	/// What a switch of a group takes.
	struct SwitchTimes
	{
		double stoodMs = 0.0;    ///< Longer than a pass, at the boundary.
		double overheadMs = 0.0; ///< From the plan until in force, without the copies.

		bool operator==(const SwitchTimes&) const = default;
	};

	/// Moving means of the switches that were seen.
	struct SwitchRecord
	{
		SwitchTimes mean;
		Millis seenAt = 0; ///< The last one; 0: none.

		bool operator==(const SwitchRecord&) const = default;
	};

	/// @returns What the next switch is expected to take: as the last ones, and with time again what the
	/// engine's figures let expect. Without that, one that stood for long would be the last.
	SwitchTimes expectedTimes(const EngineModel& _model, const SwitchRecord& _record, Millis _now);

	/// Takes in a switch that came into force.
	void noteSwitch(const EngineModel& _model, SwitchRecord& _record, const SwitchTimes& _seen, Millis _now);

	/// A group as its ranks were last seen.
	struct GroupPressure
	{
		PassPressure passes;
		double active = 0.0;  ///< Requests that are running, mean of the ranks.
		double waiting = 0.0; ///< Share of the ranks where requests wait for a place.
		bool leaving = false; ///< A rank drains; the group forms anew with the first map when it ends.

		bool operator==(const GroupPressure&) const = default;
	};

	/// What speaks against a switch.
	enum class SwitchDoubt
	{
		None,
		LittleSkew,  ///< Less than is tolerated.
		NoBetterMap, ///< Within what ranks can copy.
		CostsMore,   ///< It makes more streams late than it keeps in time.
		NonePays,    ///< The same for any map: not even one without skew or copies would pay. None was planned.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(SwitchDoubt _doubt);

	/// What a switch is expected to bring, in ms of the group's whole service: the answers that it gives in that
	/// time if all are in time.
	struct SwitchWorth
	{
		double savedMs = 0.0;
		double costMs = 0.0;
		double expectedMs = 0.0; ///< How long the saving is expected to last.
		double keptShare = 0.0;  ///< Of the planned saving, see SavingOutlook.
		double madeLate = 0.0;   ///< Probability that it makes a running stream late that is in time so far.
		double copyMs = 0.0;     ///< Time of the copies of the rank with most of them.

		bool operator==(const SwitchWorth&) const = default;
	};

	/// @returns Whether switches of a group can be weighed, and copies take long enough for it; else skew alone decides.
	bool isWeighed(const EngineModel& _model, Millis _gapObjectiveMs);

	/// @param[in] _copyMs Time of the copies of the rank with most of them.
	SwitchWorth worthOf(const EngineModel& _model, const GroupPressure& _group, const MapDecision& _plan, double _copyMs, const SavingRecord& _record, const SwitchTimes& _times);

	/// What was decided, and why.
	struct SwitchChoice
	{
		SwitchDoubt doubt = SwitchDoubt::LittleSkew; ///< None: switch.
		MapDecision plan;
		SwitchWorth worth;

		bool operator==(const SwitchChoice&) const = default;
	};

	/// Plans a large switch and a small one that takes the largest savings alone, and chooses the one that
	/// serves more. Follows what is planned in the record.
	SwitchChoice chooseSwitch(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const GroupPressure& _group, const std::vector<double>& _paces, const SwitchRecord& _switches, SavingRecord& _record, Millis _now);
} // namespace archdyke
