/// Keeps an entry's configuration and VM list up to date by polling the platform and peers.
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
		Watcher(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, CrashRecord& _crashes, PauseGuard& _guard, Metrics& _metrics);
		~Watcher();
		Watcher(const Watcher&) = delete;
		Watcher& operator=(const Watcher&) = delete;

		/// @returns This entry's state for peers.
		PeerState ownState();

		/// Records a peer's state; polls soon if the peer has a newer version.
		void recordPeerState(const PeerState& _peer);

		/// Reports this entry as leaving to peers from now on.
		void leave();

		/// @returns Whether the platform responded to the last poll.
		bool platformUp();

		/// @returns Time since the current staged version was stored here, while the platform is
		/// unreachable and it is unknown whether that version was accepted, ms; else 0.
		Millis inDoubtMs();

	private:
		void threadMain();
		void poll();
		bool pollPlatform();
		void pollTable();
		void pollCrashes(std::uint64_t _mark);
		void pollPeers();
		void fetch(const ConfigMark& _mark, bool _accepted, const std::vector<std::string>& _addresses);
		std::optional<std::string> fetchBytes(const ConfigMark& _mark, const std::vector<std::string>& _addresses);
		void confirm();
		bool isZonePoller(const std::vector<Vm>& _entries) const;
		std::vector<std::string> choosePeers(const std::vector<Vm>& _entries, bool _propagating) const;

		const EntrySettings settings;
		const std::uint64_t incarnation;
		ConfigKeeper& keeper;
		Directory& directory;
		CrashRecord& crashes;
		PauseGuard& guard;
		prometheus::Counter& platformErrors;
		PeerCalls peers;

		// Used by the watcher thread only:
		PlatformClient platform;
		Millis lastPlatformPollAt = 0;
		std::uint64_t pollCount = 0;
		HeldConfig lastSentHeld; ///< State last sent to peers.
		std::optional<StageRow> stage;
		std::optional<ZoneConfirmation> confirmation;
		std::uint64_t confirmationVersion = 0;
		std::uint64_t appliedVersion = 0;
		std::uint64_t appliedRevision = 0;

		absl::Mutex mutex;
		absl::flat_hash_map<std::string, PeerState> peerStates ABSL_GUARDED_BY(mutex); ///< By name.
		bool leaving ABSL_GUARDED_BY(mutex) = false;
		bool platformReachable ABSL_GUARDED_BY(mutex) = false;
		bool pollRequested ABSL_GUARDED_BY(mutex) = false;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		Millis stagedSince ABSL_GUARDED_BY(mutex) = 0;
		std::thread thread;
	};
} // namespace archdyke
