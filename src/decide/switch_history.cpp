/// Begins a switch and tracks what one coordinator did in it that the row doesn't contain.
#include <algorithm>

#include "archdyke/forward_switch.h"

namespace archdyke
{
	namespace
	{
		BoundaryId boundaryIdOf(const SwitchIntent& _intent)
		{
			return {_intent.version, _intent.boundary};
		}
	} // namespace

	namespace
	{
		/// More terms than a copy of the store can lack: a take-over takes a second, a copy is seconds old.
		constexpr std::uint64_t kTermsPerEra = 1'000;

		std::uint64_t lostTerms(std::uint64_t _eraBefore, std::uint64_t _era)
		{
			return _eraBefore < _era ? kTermsPerEra * (_era - _eraBefore) : 0;
		}
	} // namespace

	SwitchHistory initialHistory(const SwitchIntent& _row)
	{
		SwitchHistory history;
		history.inherited = SwitchPhase::Switching == _row.phase ? boundaryIdOf(_row) : BoundaryId();
		return history;
	}

	SwitchHistory historyAfter(const SwitchHistory& _history, const SwitchIntent& _intent, const SwitchDecision& _step)
	{
		SwitchHistory history = _history;
		const bool sendsArm = std::any_of(_step.orders.begin(), _step.orders.end(), [](const RankOrderPlan& _order) {
			return RankOrderKind::Arm == _order.kind;
		});
		history.armed = sendsArm ? boundaryIdOf(_intent) : history.armed;
		for (const RankOrderPlan& order : _step.orders)
		{
			const bool preparesAgain = RankOrderKind::Prepare == order.kind && order.version != _intent.version;
			history.version = preparesAgain ? std::max(history.version, order.version) : history.version;
		}
		const bool abandons = _step.next && _step.store && SwitchPhase::Idle == _step.next->phase;
		history.abandonSent = abandons ? boundaryIdOf(_intent) : history.abandonSent;
		return history;
	}

	SwitchConditions applyHistory(const SwitchConditions& _conditions, const SwitchIntent& _intent, const SwitchHistory& _history)
	{
		SwitchConditions conditions = _conditions;
		const BoundaryId boundaryId = boundaryIdOf(_intent);
		const bool switching = SwitchPhase::Switching == _intent.phase;
		conditions.noRankArmed = switching && boundaryId != _history.inherited && boundaryId != _history.armed;
		conditions.giveUp = conditions.giveUp || (switching && boundaryId == _history.abandonSent);
		return conditions;
	}

	std::optional<SwitchIntent> beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, ExpertHosts _map, std::uint64_t _used)
	{
		SwitchIntent intent = _idle;
		intent.phase = SwitchPhase::Preparing;
		intent.epoch = _epoch;
		intent.version = std::max(voidingVersion(_idle), _used + 1);
		intent.boundary = _idle.epoch == _epoch ? _idle.boundary : 0;
		intent.map = std::move(_map);
		const bool versionsLeft = intent.version < (_idle.term + 1) * kVersionsPerTerm;
		return versionsLeft ? std::optional(intent) : std::nullopt;
	}

	std::uint64_t voidingVersion(const SwitchIntent& _intent)
	{
		return std::max(_intent.version, _intent.term * kVersionsPerTerm) + 1;
	}

	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator, std::uint64_t _era)
	{
		SwitchIntent row = _row;
		row.term += 1 + lostTerms(_row.era, _era);
		row.coordinator = std::move(_coordinator);
		return row;
	}

	SwitchIntent rewrittenRow(const SwitchIntent& _intent, std::uint64_t _eraBefore, std::uint64_t _era)
	{
		SwitchIntent row = _intent;
		row.term += lostTerms(_eraBefore, _era);
		row.era = _intent.era < _eraBefore ? _intent.era : _era; // a row that wasn't known to be the newest still isn't
		return row;
	}

	std::vector<RankOrderPlan> endLostSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, Millis _quietMs)
	{
		/// Time after which no order of a coordinator takes effect any more, ms; engines may carry out
		/// an order some seconds after it was given up.
		constexpr Millis kMaxOrderDelayMs = 15'000;
		const std::vector<RankOrderPlan> releases = releaseStrayHolds(_intent, _ranks);
		std::vector<RankOrderPlan> disarms;
		for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
		{
			if (_ranks[rank].seen && _ranks[rank].armed)
			{
				disarms.push_back({rank, RankOrderKind::Disarm, _ranks[rank].epoch, *_ranks[rank].armed, 0});
			}
		}
		const bool isLost = !releases.empty() || (SwitchPhase::Idle == _intent.phase && !disarms.empty());
		const bool allSeen = std::all_of(_ranks.begin(), _ranks.end(), [](const RankView& _rank) {
			return _rank.seen;
		});
		if (!isLost || !allSeen)
		{
			return {};
		}
		const bool allArmed = std::all_of(_ranks.begin(), _ranks.end(), [&](const RankView& _rank) {
			return _rank.armed && _rank.armed == _ranks.front().armed;
		});
		if (allArmed)
		{
			return releases;
		}
		if (_quietMs < kMaxOrderDelayMs)
		{
			return {};
		}
		return disarms.empty() ? releases : disarms;
	}
} // namespace archdyke
