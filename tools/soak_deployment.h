/// The deployment of a soak run: store, upstreams, groups of engine ranks, sidecars and gateways as
/// separate processes, and the actions of the operator and of the platform.
#pragma once

#include <absl/synchronization/mutex.h>
#include <atomic>

#include "archdyke/random.h"
#include "platform_lab.h"
#include "soak.h"

namespace archdyke::lab
{
	/// Size of a request that takes longer to write than an upstream takes to answer, bytes.
	constexpr std::size_t kMaxUploadBytes = 2'000'000;

	/// A gateway or a sidecar. It is restarted after it has exited.
	struct SoakPart
	{
		std::string name;
		std::unique_ptr<ChildProcess> process;
		std::string callers;       ///< Gateways only: IP:port of the link for callers.
		std::string metrics;       ///< Gateways only: IP:port of the metrics.
		Millis stoppedAt = 0;      ///< Time of the stop signal; 0: none.
		std::uint64_t version = 0; ///< Gateways only: last reported version of the configuration.
		int starts = 0;            ///< Number of starts.
		bool wasKilled = false;    ///< A fault killed it since its start.
	};

	/// A plain upstream. It is replaced by a new one when it exits or leaves.
	struct SoakWorker
	{
		std::string id;
		std::string link;
		std::string address; ///< Address of its link.
		std::unique_ptr<ChildProcess> process;
		Millis removeAt = 0; ///< Time at which its row expires; 0: it does not.
		bool isLeaving = false;
	};

	/// A group of engine ranks, all simulated by one process.
	struct SoakGroup
	{
		std::string name;
		std::unique_ptr<ChildProcess> ranks;
		std::vector<std::string> engines; ///< IP:port of each rank.
	};

	/// Size of a deployment.
	struct SoakSize
	{
		std::size_t gateways = 0;
		std::size_t workers = 0;
		std::vector<std::size_t> groups; ///< Number of ranks of each group.
	};

	/// Name and address of a gateway.
	struct SoakGatewayAddress
	{
		std::string name;
		std::string address; ///< IP:port.
	};

	/// Only pickGateway() and pickKey() are thread-safe.
	class SoakDeployment
	{
	public:
		/// @param[in] _large Starts about a hundred processes: as many as fit on a machine beside other runs.
		SoakDeployment(std::uint64_t _seed, bool _large);

		/// Starts all parts and does not wait until they are ready.
		void start();

		/// Writes a configuration with the next version and the current keys.
		void configure();

		/// Revokes the rotating key and adds its successor.
		void revokeKey();

		/// Records that a fault starts to affect a part.
		/// @returns Index of the span in the record.
		std::size_t beginSpan(const std::string& _part, FaultKind _kind);

		/// Restarts the gateways and sidecars that have exited and replaces lost upstreams. Does not wait for a gateway
		/// that is still stopping.
		void restartExitedParts();

		/// Marks an upstream as draining in the store and records when the store confirmed it.
		void drainWorker(SoakWorker& _worker);

		/// @returns The newest upstream that runs and is not leaving.
		SoakWorker& newestActiveWorker();

		/// Emulates the platform: removes expired rows, replaces lost upstreams, and kills gateways that did not stop
		/// in time.
		void emulatePlatform();

		/// Ends the faults that are still active and restarts what has exited.
		void recover();

		/// Writes an entry that is no valid one among the rows of the upstreams.
		void putOddRow(std::uint64_t _randomValue);

		/// @returns The key of such an entry.
		static std::string oddRowKey(std::uint64_t _randomValue);

		/// Sends a control message to all groups of ranks.
		void controlRanks(const Json& _control);

		/// Sends a control message to one group of ranks.
		void controlGroup(std::size_t _group, const Json& _control);

		/// @returns A random gateway. Thread-safe.
		SoakGatewayAddress pickGateway(Random& _random);

		/// @returns The key that is valid throughout the run.
		static std::string permanentKey();

		/// @returns A random key: valid (the most frequent case), revoked or unknown. Thread-safe.
		std::string pickKey(Random& _random) const;

		const std::string directory; ///< Directory of settings and logs.
		const SoakBounds bounds;
		const SoakSize size;
		StoreStub store;
		ProxyStub proxy;
		std::vector<SoakGroup> groups;     ///< Groups of different sizes.
		std::vector<SoakPart> sidecars;    ///< One for each rank, in the order of the groups and their ranks.
		std::vector<SoakWorker> workers;   ///< Includes those that have exited.
		std::vector<SoakPart> gateways;    ///< The addresses for callers are guarded by the mutex.
		std::uint64_t version = 0;         ///< Version of the newest configuration.
		std::size_t maxBodyBytes = 65'536; ///< Of the requests that gateways take.
		bool withinLength = false;         ///< Upstreams that stutter also send bytes within bodies that have a length.
		Millis configuredAt = 0;           ///< When the store confirmed the newest configuration.
		SoakRecord record;

	private:
		std::string ipOf(std::size_t _sidecar) const;
		std::string rotatingKey() const;
		void startRanks(const std::string& _group, std::size_t _ranks);
		std::unique_ptr<ChildProcess> startDaemon(SoakPart& _part, const std::string& _program, Json _settings);
		void startSidecar(std::size_t _sidecar);
		/// @returns Address of the engine beside a sidecar.
		const std::string& engineOf(std::size_t _sidecar) const;
		void startGateway(SoakPart& _gateway);
		void addWorker();
		std::size_t activeWorkers() const;
		/// Records that a part exited, unless a fault killed it or asked it to stop.
		void recordExit(SoakPart& _part);

		std::atomic<std::uint64_t> rotations{0};
		absl::Mutex mutex;
	};

	/// @returns The state dump of a gateway; no object when there is no response.
	Json dumpOf(const SoakPart& _gateway);
} // namespace archdyke::lab
