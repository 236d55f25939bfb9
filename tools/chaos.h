/// A seeded run of a whole office under load where faults come together and twice. The
/// seed gives the schedule of faults; the records of all sides judge it at the end.
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
		// Of the programs for the users' platform, see soak.h.
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
		// Of series only, see planSeries().
		AskBackOff, ///< An upstream turns requests away and says for how long.
		SayLeaving, ///< An upstream says in its answers that it leaves; its row doesn't.
		HangUpGateway,
		Count
	};

	/// Which faults a schedule draws from.
	enum class Scene
	{
		Office,   ///< archdyke's own interface.
		Platform, ///< The programs for the users' platform.
		Count
	};

	/// @returns The name used in reports.
	std::string_view toString(FaultKind _kind);

	/// A fault of the schedule.
	struct PlannedFault
	{
		FaultKind kind = FaultKind::Drift;
		Millis startMs = 0; ///< Since the run began.
		Millis lastMs = 0;
		std::uint64_t dice = 0; ///< Chooses the target.

		bool operator==(const PlannedFault&) const = default;
	};

	struct ChaosOptions
	{
		Scene scene = Scene::Office;
		std::string file;
		std::uint64_t seed = 1;
		std::uint32_t faults = 12;
		std::uint32_t series = 0; ///< Of one kind in a row each, beside the faults.
		bool large = false;       ///< As many processes as a machine bears beside others.
		double perSecond = 80.0;
		Millis everyMs = 700; ///< Mean time between the starts of faults.
	};

	struct ChaosResult
	{
		std::map<std::string, int> faults; ///< By kind.
		LoadFigures load;
		Violations calls;
		int mapViolations = 0;    ///< Steps on different maps.
		int configReverts = 0;    ///< An entry went back to an older version.
		int configLate = 0;       ///< An entry served without a version accepted 4 s before.
		int configInDoubt = 0;    ///< The same, and it says that it is in doubt.
		int workAfterLeaving = 0; ///< Calls that began on a leaving agent after 3 s.
		int dirtyStops = 0;       ///< Planned stops that ended with something unfinished.
		int applies = 0;          ///< Accepted.
		bool settled = false;     ///< All healed and on one configuration and one map.
		std::vector<std::string> notes;

		int violations() const;
	};

	/// @returns The faults of a seed, in the order of their starts.
	std::vector<PlannedFault> planFaults(const ChaosOptions& _options);

	/// @returns Series of signals, restarts, changes and self-reports of upstreams. They overlap each other and the
	/// faults of the seed, whose schedule stays as it is without them.
	std::vector<PlannedFault> planSeries(const ChaosOptions& _options);

	ChaosResult runChaos(const ChaosOptions& _options);
} // namespace archdyke::lab
