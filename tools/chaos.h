/// A seeded run of an office under load with faults that overlap and repeat. The seed determines the
/// schedule of faults; at the end the records of callers, daemons and stand-ins are checked for violations.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load.h"

namespace archdyke::lab
{
	enum class FaultKind
	{
		KillAgent,
		KillEntry,
		FreezeAgent,
		FreezeEntry,
		ResetLinks,
		CutZones,
		CutPlatform,
		PlatformOutage,
		PlatformSlow,
		LoseAnswers,
		RaceOperators,
		StopAgent,
		StopEntry,
		Drift,
		// Faults of the programs for the users' platform, see soak.h.
		KillGateway,
		FreezeGateway,
		StopGateway,
		KillWorker,
		FreezeWorker,
		DrainWorker,
		KillSidecar,
		FreezeSidecar,
		DelayLinks,
		ResetWorkerLinks,
		CutStoreOneWay,
		StoreSilent,
		StoreBusy,
		StoreLose,
		StoreSlow,
		StoreForget,
		RevokeKey,
		ChangeConfiguration,
		LateOrders,
		FormAnew,
		// Faults that occur only in series, see planSeries().
		AskBackOff,    ///< An upstream rejects requests and asks to be sent none for some time.
		SayLeaving,    ///< An upstream's responses say that it is leaving, but its row does not.
		HangUpGateway, ///< A gateway receives SIGHUP.
		// Faults with schedules of their own.
		NameLimit,    ///< An upstream names a limit of requests per second from all gateways together, see planLimits().
		RestoreStore, ///< The store is away for a moment and comes back from a copy some seconds old, see planRestores().
		Stutter,      ///< Upstreams send bytes that belong to no exchange, and disturb answers, see planStutters().
		OddRow,       ///< Another writer puts an entry that is no valid one among the rows of the upstreams, see planOddRows().
		Count
	};

	/// What a run deploys, and thus which faults its schedule chooses from.
	enum class ChaosTarget
	{
		Office,   ///< archdyke's own interface.
		Platform, ///< The programs for the users' platform.
		Count
	};

	/// @returns The name of a fault in reports.
	std::string_view toString(FaultKind _kind);

	/// A scheduled fault.
	struct PlannedFault
	{
		FaultKind kind = FaultKind::Drift;
		Millis startMs = 0; ///< Time since the start of the run.
		Millis durationMs = 0;
		std::uint64_t randomValue = 0; ///< Random value that selects the target.

		bool operator==(const PlannedFault&) const = default;
	};

	struct ChaosOptions
	{
		ChaosTarget target = ChaosTarget::Office;
		std::string file;
		std::uint64_t seed = 1;
		std::uint32_t faults = 12;
		std::uint32_t series = 0;     ///< Number of series in addition to the faults; each repeats one kind of fault.
		std::uint32_t limits = 0;     ///< Number of limits that upstreams name, in addition to the faults.
		std::uint32_t restores = 0;   ///< Number of times that the store comes back from a copy, in addition to the faults.
		std::uint32_t stutters = 0;   ///< Number of times that upstreams stutter, in addition to the faults.
		bool withinLength = false;    ///< Upstreams that stutter also send bytes within bodies that have a length.
		std::uint32_t oddRows = 0;    ///< Number of odd entries among the rows of the upstreams, in addition to the faults.
		std::uint32_t crowd = 0;      ///< Number of clients that don't behave.
		std::uint32_t lateBodies = 0; ///< Number of callers whose bodies end late, on routes with long deadlines.
		std::uint32_t uploads = 0;    ///< Number of callers whose long requests upstreams answer early, some with a part of a response and a reset.
		bool large = false;           ///< About a hundred processes: as many as fit on a machine beside other runs.
		double perSecond = 80.0;
		Millis meanIntervalMs = 700; ///< Mean time between the starts of faults.
	};

	struct ChaosResult
	{
		std::map<std::string, int> faults; ///< Number of faults by kind.
		LoadSummary load;
		Violations calls;
		int mapViolations = 0;    ///< Steps on different maps.
		int configReverts = 0;    ///< An entry returned to an older version.
		int configLate = 0;       ///< An entry served without a version that was accepted more than 4 s before.
		int configInDoubt = 0;    ///< As configLate, but the entry reported that its configuration is in doubt.
		int workAfterLeaving = 0; ///< Calls that started more than 3 s after their agent began to leave.
		int dirtyStops = 0;       ///< Planned stops that left work unfinished.
		int applies = 0;          ///< Accepted configurations.
		bool settled = false;     ///< After the faults, all daemons recovered and agree on one configuration and one map.
		std::vector<std::string> notes;

		int violations() const;
	};

	/// @returns The faults of a seed, ordered by start.
	std::vector<PlannedFault> planFaults(const ChaosOptions& _options);

	/// @returns Series of signals, restarts, configuration changes and self-reports of upstreams, ordered by start.
	/// They overlap each other and the result of planFaults(), which does not depend on them.
	std::vector<PlannedFault> planSeries(const ChaosOptions& _options);

	/// @returns Limits that upstreams name, ordered by start. They overlap the other faults, which do not depend on them.
	std::vector<PlannedFault> planLimits(const ChaosOptions& _options);

	/// @returns Restorations of the store, ordered by start. They overlap the other faults, which do not depend on them.
	std::vector<PlannedFault> planRestores(const ChaosOptions& _options);

	/// @returns Times in which upstreams stutter, ordered by start. They overlap the other faults, which do not depend on them.
	std::vector<PlannedFault> planStutters(const ChaosOptions& _options);

	/// @returns Odd entries among rows, ordered by start. They overlap the other faults, which do not depend on them.
	std::vector<PlannedFault> planOddRows(const ChaosOptions& _options);

	ChaosResult runChaos(const ChaosOptions& _options);
} // namespace archdyke::lab
