#include <algorithm>
#include <iterator>

#include "archdyke/random.h"
#include "chaos.h"

namespace archdyke::lab
{
	namespace
	{
		/// @returns Faults of one kind at random times of a run, ordered by start.
		std::vector<PlannedFault> planOneKind(FaultKind _kind, std::uint32_t _count, Millis _minMs, Millis _maxMs, const ChaosOptions& _options, std::uint64_t _seed)
		{
			Random random(_seed);
			std::vector<PlannedFault> plan;
			for (std::uint32_t index = 0; index < _count; ++index)
			{
				PlannedFault fault;
				fault.kind = _kind;
				fault.startMs = 500 + Millis(randomBelow(random, std::uint64_t(_options.meanIntervalMs) * std::max<std::uint32_t>(1, _options.faults)));
				fault.durationMs = _minMs + Millis(randomBelow(random, std::uint64_t(_maxMs - _minMs)));
				fault.randomValue = random();
				plan.push_back(fault);
			}
			std::stable_sort(plan.begin(), plan.end(), [](const PlannedFault& _a, const PlannedFault& _b) {
				return _a.startMs < _b.startMs;
			});
			return plan;
		}
	} // namespace

	std::string_view toString(FaultKind _kind)
	{
		constexpr std::string_view kNames[] = {"kill-agent", "kill-entry", "freeze-agent", "freeze-entry", "reset-links", "cut-zones", "cut-platform", "platform-outage", "platform-slow", "lose-answers", "race-operators", "stop-agent", "stop-entry", "drift", "kill-gateway", "freeze-gateway", "stop-gateway", "kill-worker", "freeze-worker", "drain-worker", "kill-sidecar", "freeze-sidecar", "delay-links", "reset-worker-links", "cut-store-one-way", "store-silent", "store-busy", "store-lose", "store-slow", "store-forget", "revoke-key", "change-configuration", "late-orders", "form-anew", "ask-back-off", "say-leaving", "hang-up-gateway", "name-limit", "restore-store", "stutter", "odd-row"};
		return kNames[std::size_t(_kind)];
	}

	int ChaosResult::violations() const
	{
		return this->calls.total() + this->mapViolations + this->configReverts + this->configLate + this->workAfterLeaving + this->dirtyStops + (this->settled ? 0 : 1);
	}

	std::vector<PlannedFault> planFaults(const ChaosOptions& _options)
	{
		const bool office = ChaosTarget::Office == _options.target;
		const std::uint64_t first = office ? 0 : std::uint64_t(FaultKind::KillGateway);
		const std::uint64_t end = std::uint64_t(office ? FaultKind::KillGateway : FaultKind::AskBackOff);
		Random random(_options.seed);
		std::vector<PlannedFault> plan;
		Millis startMs = 500;
		for (std::uint32_t index = 0; index < _options.faults; ++index)
		{
			PlannedFault fault;
			fault.kind = FaultKind(first + randomBelow(random, end - first));
			fault.startMs = startMs;
			fault.durationMs = 200 + Millis(randomBelow(random, 2'800));
			fault.randomValue = random();
			plan.push_back(fault);
			// One in four faults starts together with its predecessor.
			startMs += 0 == randomBelow(random, 4) ? 0 : Millis(randomBelow(random, std::uint64_t(2 * _options.meanIntervalMs)));
		}
		return plan;
	}

	std::vector<PlannedFault> planSeries(const ChaosOptions& _options)
	{
		constexpr FaultKind kKinds[] = {FaultKind::AskBackOff, FaultKind::SayLeaving, FaultKind::HangUpGateway, FaultKind::StopGateway, FaultKind::KillGateway, FaultKind::ChangeConfiguration, FaultKind::RevokeKey, FaultKind::KillSidecar};
		constexpr std::uint64_t kMinSeriesLength = 2;
		constexpr std::uint64_t kSeriesLengthRange = 3;
		constexpr std::uint64_t kMaxGapMs = 400; // less than a restart takes, so that the next fault hits a restarting process
		constexpr std::uint64_t kSeedOffset = 1'000'003;
		Random random(_options.seed + kSeedOffset);
		std::vector<PlannedFault> plan;
		for (std::uint32_t series = 0; series < _options.series; ++series)
		{
			PlannedFault fault;
			fault.kind = kKinds[randomBelow(random, std::size(kKinds))];
			fault.startMs = 500 + Millis(randomBelow(random, std::uint64_t(_options.meanIntervalMs) * std::max<std::uint32_t>(1, _options.faults)));
			const std::uint64_t length = kMinSeriesLength + randomBelow(random, kSeriesLengthRange);
			for (std::uint64_t index = 0; index < length; ++index)
			{
				fault.durationMs = 400 + Millis(randomBelow(random, 2'600));
				fault.randomValue = random();
				plan.push_back(fault);
				fault.startMs += Millis(randomBelow(random, kMaxGapMs));
			}
		}
		std::stable_sort(plan.begin(), plan.end(), [](const PlannedFault& _a, const PlannedFault& _b) {
			return _a.startMs < _b.startMs;
		});
		return plan;
	}

	std::vector<PlannedFault> planLimits(const ChaosOptions& _options)
	{
		constexpr std::uint64_t kSeedOffset = 2'000'003;
		constexpr Millis kMinDurationMs = 5'000; // limits apply some seconds after they were first named
		constexpr Millis kMaxDurationMs = 11'000;
		return planOneKind(FaultKind::NameLimit, _options.limits, kMinDurationMs, kMaxDurationMs, _options, _options.seed + kSeedOffset);
	}

	std::vector<PlannedFault> planRestores(const ChaosOptions& _options)
	{
		constexpr std::uint64_t kSeedOffset = 3'000'017;
		constexpr Millis kMinAwayMs = 100;
		constexpr Millis kMaxAwayMs = 900;
		return planOneKind(FaultKind::RestoreStore, _options.restores, kMinAwayMs, kMaxAwayMs, _options, _options.seed + kSeedOffset);
	}

	std::vector<PlannedFault> planStutters(const ChaosOptions& _options)
	{
		constexpr std::uint64_t kSeedOffset = 4'000'037;
		constexpr Millis kMinDurationMs = 2'000;
		constexpr Millis kMaxDurationMs = 6'000;
		return planOneKind(FaultKind::Stutter, _options.stutters, kMinDurationMs, kMaxDurationMs, _options, _options.seed + kSeedOffset);
	}

	std::vector<PlannedFault> planOddRows(const ChaosOptions& _options)
	{
		constexpr std::uint64_t kSeedOffset = 5'000'011;
		constexpr Millis kMinDurationMs = 1'000;
		constexpr Millis kMaxDurationMs = 5'000;
		return planOneKind(FaultKind::OddRow, _options.oddRows, kMinDurationMs, kMaxDurationMs, _options, _options.seed + kSeedOffset);
	}
} // namespace archdyke::lab
