/// The deployment that a soak strikes: store, upstreams, groups of engine ranks, sidecars and
/// gateways as processes of their own, and what an operator and the platform do to them.
#pragma once

#include <absl/synchronization/mutex.h>
#include <atomic>

#include "archdyke/random.h"
#include "platform_lab.h"
#include "soak.h"

namespace archdyke::lab
{
	/// A gateway or sidecar, which is started again when it has ended.
	struct SoakPart
	{
		std::string name;
		std::unique_ptr<ChildProcess> process;
		std::string callers;       ///< Of a gateway: IP:port of the link for callers.
		std::string metrics;       ///< Of a gateway: IP:port.
		Millis stoppedAt = 0;      ///< When it got the stop signal; 0: it didn't.
		std::uint64_t version = 0; ///< Of the configuration that a gateway last said it has.
		int starts = 0;            ///< How often it was started.
	};

	/// A plain upstream, in place of which another one comes when it goes.
	struct SoakWorker
	{
		std::string id;
		std::string link;
		std::string address; ///< Of its link.
		std::unique_ptr<ChildProcess> process;
		Millis removeAt = 0; ///< When its row lapses; 0: it stays.
		bool leaves = false;
	};

	/// A group of engine ranks; one process plays all of them.
	struct SoakGroup
	{
		std::string name;
		std::unique_ptr<ChildProcess> ranks;
		std::vector<std::string> engines; ///< IP:port of each rank.
	};

	/// How many of each a deployment has.
	struct SoakSize
	{
		std::size_t gateways = 0;
		std::size_t workers = 0;
		std::vector<std::size_t> groups; ///< Ranks of each.
	};

	/// A gateway as a caller knows it.
	struct SoakDoor
	{
		std::string gateway; ///< Its name.
		std::string address; ///< IP:port.
	};

	/// All but door() and drawKey() is for one thread.
	class SoakDeployment
	{
	public:
		/// @param[in] _large As many processes as a machine bears beside others.
		SoakDeployment(std::uint64_t _seed, bool _large);

		/// Starts all parts, without waiting until they are ready.
		void start();

		/// Writes a newer configuration with the keys that are held now.
		void configure();

		/// Replaces the changing key by another one.
		void revokeKey();

		/// Notes that something begins to happen to a part.
		/// @returns Index of the span in the record.
		std::size_t beginSpan(const std::string& _part, FaultKind _kind);

		/// Starts again what has ended; a stopped gateway ends by itself.
		void revive();

		/// Does what the platform does by itself: removes rows that lapse, and kills gateways that
		/// were told to stop and didn't in time.
		void actAsPlatform();

		/// Ends all faults that last, and starts again what has ended.
		void heal();

		/// Sends an order to all groups of ranks.
		void controlRanks(const Json& _order);

		/// Sends an order to one of them.
		void controlGroup(std::size_t _group, const Json& _order);

		/// @returns A gateway to call. For any thread.
		SoakDoor door(Random& _random);

		/// @returns A key that is held throughout.
		static std::string steadyKey();

		/// @returns Mostly a key that is held, else one that was withdrawn or nobody's. For any thread.
		std::string drawKey(Random& _random) const;

		const std::string directory; ///< Of settings and logs.
		const SoakBounds bounds;
		const SoakSize size;
		StoreStub store;
		ProxyStub proxy;
		std::vector<SoakGroup> groups;   ///< Of unlike sizes.
		std::vector<SoakPart> sidecars;  ///< One for each rank of all groups, in their order.
		std::vector<SoakWorker> workers; ///< Those that are gone stay.
		std::vector<SoakPart> gateways;  ///< What callers need is under the mutex.
		std::uint64_t version = 0;       ///< Of the newest configuration.
		Millis configuredAt = 0;         ///< When the store confirmed it.
		SoakRecord record;

	private:
		std::string ipOf(std::size_t _sidecar) const;
		std::string changingKey() const;
		void startRanks(const std::string& _group, std::size_t _ranks);
		std::unique_ptr<ChildProcess> startDaemon(SoakPart& _part, const std::string& _program, Json _settings);
		void startSidecar(std::size_t _sidecar);
		/// @returns Address of the engine beside a sidecar.
		const std::string& engineOf(std::size_t _sidecar) const;
		void startGateway(SoakPart& _gateway);
		void addWorker();
		std::size_t livingWorkers() const;

		std::atomic<std::uint64_t> keysMade{0};
		absl::Mutex mutex;
	};

	/// @returns What a gateway says of itself; no object when it doesn't answer.
	Json dumpOf(const SoakPart& _gateway);
} // namespace archdyke::lab
