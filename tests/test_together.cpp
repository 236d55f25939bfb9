/// Checks all seven guarantees together in short seeded chaos runs; scripts/chaos.sh has the long ones.
#include "chaos.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	void runSeed(std::uint64_t _seed)
	{
		lab::ChaosOptions options;
		options.file = std::string(ARCHDYKE_SOURCE_DIR) + "/examples/small.json";
		options.seed = _seed;
		options.faults = 10;
		const lab::ChaosResult result = lab::runChaos(options);
		for (const std::string& note : result.notes)
		{
			std::printf("seed %d: %s\n", int(_seed), note.c_str());
		}
		expectNoViolation(result.calls);
		cr_assert(0 == result.violations(), "map violations %d, config reverts %d, late configurations %d, work after leaving %d, dirty stops %d, settled %d", result.mapViolations, result.configReverts, result.configLate, result.workAfterLeaving, result.dirtyStops, int(result.settled));
	}
} // namespace

Test(together, first_seed)
{
	runSeed(1);
}

Test(together, second_seed)
{
	runSeed(2);
}

Test(together, the_seed_gives_the_schedule)
{
	lab::ChaosOptions options;
	options.seed = 5;
	cr_assert(lab::planFaults(options) == lab::planFaults(options));
	lab::ChaosOptions other = options;
	other.seed = 6;
	cr_assert(lab::planFaults(options) != lab::planFaults(other));
}
