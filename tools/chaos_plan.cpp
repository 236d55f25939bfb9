#include "archdyke/random.h"
#include "chaos.h"

namespace archdyke::lab
{
	std::string_view toString(FaultKind _kind)
	{
		constexpr std::string_view kNames[] = {"kill-agent", "kill-entry", "freeze-agent", "freeze-entry", "reset-links", "cut-zones", "cut-platform", "platform-outage", "platform-slow", "lose-answers", "race-operators", "stop-agent", "stop-entry", "drift", "kill-gateway", "freeze-gateway", "stop-gateway", "kill-worker", "freeze-worker", "drain-worker", "kill-sidecar", "freeze-sidecar", "delay-links", "reset-worker-links", "cut-store-one-way", "store-silent", "store-busy", "store-lose", "store-slow", "store-forget", "revoke-key", "change-configuration", "late-orders", "form-anew"};
		return kNames[std::size_t(_kind)];
	}

	int ChaosResult::violations() const
	{
		return this->calls.total() + this->mapViolations + this->configReverts + this->configLate + this->workAfterLeaving + this->dirtyStops + (this->settled ? 0 : 1);
	}

	std::vector<PlannedFault> planFaults(const ChaosOptions& _options)
	{
		const bool office = Scene::Office == _options.scene;
		const std::uint64_t first = office ? 0 : std::uint64_t(FaultKind::KillGateway);
		const std::uint64_t end = std::uint64_t(office ? FaultKind::KillGateway : FaultKind::Count);
		Random random(_options.seed);
		std::vector<PlannedFault> plan;
		Millis startMs = 500;
		for (std::uint32_t index = 0; index < _options.faults; ++index)
		{
			PlannedFault fault;
			fault.kind = FaultKind(first + randomBelow(random, end - first));
			fault.startMs = startMs;
			fault.lastMs = 200 + Millis(randomBelow(random, 2'800));
			fault.dice = random();
			plan.push_back(fault);
			// Now and then two begin together.
			startMs += 0 == randomBelow(random, 4) ? 0 : Millis(randomBelow(random, std::uint64_t(2 * _options.everyMs)));
		}
		return plan;
	}
} // namespace archdyke::lab
