/// An entry's eyes on the platform and its peers: configuration and VM list.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <thread>

#include "base/config_rows.h"
#include "base/metrics.h"
#include "base/pause_guard.h"
#include "base/platform_client.h"
#include "base/settings.h"
#include "entry/config_keeper.h"
#include "entry/directory.h"
#include "entry/peers.h"

namespace archdyke
{
	class Watcher
	{
	public:
		Watcher(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, PauseGuard& _guard, Metrics& _metrics);
		~Watcher();
		Watcher(const Watcher&) = delete;
		Watcher& operator=(const Watcher&) = delete;

		/// @returns This entry's state for peers.
		PeerState myState();

		/// Takes in what a peer says of itself; looks around soon if it knows more.
		void hearPeer(const PeerState& _peer);

		/// From now on tells peers that this entry leaves.
		void leave();

		/// @returns Whether the platform answered at the last look.
		bool platformUp();

		/// @returns Since when a staged version has been held without news of it, ms; 0 for
		/// none. Its acceptance is in doubt then.
		Millis inDoubtMs();

	private:
		void work();
		void look();
		bool lookAtPlatform();
		void lookAtTable();
		void lookAtPeers();
		void fetch(const ConfigMark& _mark, bool _accepted, const std::vector<std::string>& _addresses);
		std::optional<std::string> fetchBytes(const ConfigMark& _mark, const std::vector<std::string>& _addresses);
		void confirm();
		bool isZonePoller(const std::vector<Vm>& _entries) const;
		std::vector<std::string> peersToAsk(const std::vector<Vm>& _entries, bool _spreading) const;

		const EntrySettings settings;
		const std::uint64_t incarnation;
		ConfigKeeper& keeper;
		Directory& directory;
		PauseGuard& guard;
		prometheus::Counter& platformErrors;
		PeerCalls peers;

		// The thread's own:
		PlatformClient platform;
		Millis lastPlatformLook = 0;
		std::uint64_t lookNumber = 0;
		HeldConfig toldHeld; ///< What peers were last told.
		std::optional<StageRow> stage;
		std::optional<ZoneConfirmation> confirmation;
		std::uint64_t confirmationVersion = 0;
		std::uint64_t builtVersion = 0;
		std::uint64_t builtRevision = 0;

		absl::Mutex mutex;
		absl::flat_hash_map<std::string, PeerState> heard ABSL_GUARDED_BY(mutex); ///< By name.
		bool leaving ABSL_GUARDED_BY(mutex) = false;
		bool up ABSL_GUARDED_BY(mutex) = false;
		bool hurry ABSL_GUARDED_BY(mutex) = false;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		Millis stagedSince ABSL_GUARDED_BY(mutex) = 0;
		std::thread thread;
	};
} // namespace archdyke
