#!/usr/bin/env bash
# Ablation: disables one mechanism at a time in a scratch copy and plays days of a deployment with the
# bench of the users' platform. Prints the worth of each run, by day.
#   ARCHDYKE_BENCH=PROGRAM scripts/ablation.sh SITE "DAY..." "SEED..." [NAME]...
# Without names, plays "none" (nothing disabled) and then all ablations. ARCHDYKE_ABLATION: directory of
# the scratch copy, which is kept.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$PWD
bench=${ARCHDYKE_BENCH:?set it to the program that plays days}
site=$(realpath "$1") days=$2 seeds=$3
shift 3
wanted=" $* "
copy=${ARCHDYKE_ABLATION:-$(mktemp -d)}
[ -d "$copy/.git" ] || git clone -q "$source" "$copy"
cd "$copy"

play()
{
	local name=$1 day seed worth
	for day in $days; do
		printf '%s %s %s:' "$name" "$(basename "$site" .toml)" "$day"
		for seed in $seeds; do
			"$bench" run "$site" "$day" --no-cpu --seed "$seed" --why "Ablation: without $name, seed $seed" >play.log 2>&1 || true
			worth=$(sed -nE "s/^$day +[^ ]+ +[^ ]+ +([-0-9.]+) .*/\1/p" play.log | head -n 1)
			printf ' %s' "${worth:-failed}"
		done
		printf '\n'
	done
}

# without NAME FILE SEARCH REPLACE [SEARCH REPLACE]...
without()
{
	local name=$1 file=$2
	shift 2
	[ "$wanted" = "  " ] || [[ "$wanted" == *" $name "* ]] || return 0
	while [ $# -gt 0 ]; do
		SEARCH=$1 REPLACE=$2 perl -0pi -e 's/\Q$ENV{SEARCH}\E/$ENV{REPLACE}/ or die "not found: $ENV{SEARCH}\n"' "$file"
		shift 2
	done
	play "$name"
	git checkout -q -- "$file"
}

[ "$wanted" != "  " ] && [[ "$wanted" != *" none "* ]] || play none
without map-switching src/decide/map_policy.cpp 'decision.worthwhile = decision.skewBefore - plan.skewAfter >= kMinSkewGain;' 'decision.worthwhile = false;'
without skew-tolerance-by-pressure src/decide/map_policy.cpp 'return kMaxToleratedSkew + share * (kSkewTolerance - kMaxToleratedSkew);' 'return kSkewTolerance + 0.0 * share * kMaxToleratedSkew;'
without two-choices src/decide/upstream_choice.cpp 'const std::size_t second = usable[randomBelow(_random, usable.size())];' 'const std::size_t second = first;'
without own-zone-rank src/decide/upstream_choice.cpp 'constexpr double kZoneAdvantage = 0.02;' 'constexpr double kZoneAdvantage = 0.0;'
without own-zone-group src/decide/group_choice.cpp 'local.empty() ? best : local' 'best'
without groups-in-time-first src/decide/group_choice.cpp 'GroupStatus::InTime != _candidate.standing};' 'false};'
without admission src/decide/batch_admission.cpp 'return _view.meanLoad + 1.0 <= limit' 'return true || _view.meanLoad + 1.0 <= limit'
without waiting-for-room src/decide/batch_admission.cpp 'constexpr double kWaitShare = ' 'constexpr double kWaitShare = 0.0 * '
without room-for-returning src/decide/batch_admission.cpp 'constexpr double kMoreForReturning = 2.0;' 'constexpr double kMoreForReturning = 0.0;'
without times-to-come-back src/decide/come_back.cpp 'return std::max(kMinDelayMs, std::min(delay, _patienceMs / kHonouredDivisor));' 'return std::max(kMinDelayMs, std::min<Millis>(0 * delay, _patienceMs / kHonouredDivisor));'
without resends src/gateway/dispatch.cpp 'constexpr double kUsedBudgetShare = 0.8;' 'constexpr double kUsedBudgetShare = 0.0;'
without outlier-suspension src/decide/upstream_choice.cpp 'kFailuresToSuspend = 3;' 'kFailuresToSuspend = 1'"'"'000'"'"'000;'
without silence src/decide/silence.cpp 'return quiet && ' 'return false && quiet && '
without pace-of-slow-ranks src/decide/slow_rank.cpp 'constexpr double kSlowPace = 2.0;' 'constexpr double kSlowPace = 1e9;'
without direct-questions src/group/coordinator_search.cpp 'return 0 != _rank.daemonHeardAt && ' 'return false && 0 != _rank.daemonHeardAt && '
without news-through-coordinators src/gateway/watch_news.cpp 'return relayed && !rowsAreLate' 'return false && relayed && !rowsAreLate' 'return known && _now - this->lastUpdateAt <= kMaxUpdateAgeMs &&' 'return false && known && _now - this->lastUpdateAt <= kMaxUpdateAgeMs &&'
without doubt-after-return src/gateway/watch_rows.cpp 'constexpr Millis kRowRecoveryMs = 1'"'"'900;' 'constexpr Millis kRowRecoveryMs = 0;'
without resumed-streams src/gateway/dispatch.cpp 'const bool resumable = _context.route->stream && _context.route->resumable;' 'const bool resumable = false;'
