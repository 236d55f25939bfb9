#include "entry/watcher.h"

#include <absl/time/time.h>
#include <algorithm>

#include "archdyke/route.h"
#include "base/config.h"
#include "base/crash_rows.h"
#include "base/log.h"
#include "base/process.h"
#include "entry/crash_publisher.h"

namespace archdyke
{
	namespace
	{
		/// Interval at which an entry that is not its zone's poller polls the platform itself, ms.
		constexpr Millis kNonPollerIntervalMs = 2'000;
		constexpr Millis kPeerTimeoutMs = 400;
		/// Peers that are polled in one round.
		constexpr std::size_t kZonePeersPerPoll = 2;
		constexpr std::size_t kOtherZonePeersPerPoll = 1;
		/// Peers are polled in every second round while nothing changes.
		constexpr std::uint64_t kPollsPerPeerPoll = 2;
		/// Minimum interval between polls, ms.
		constexpr Millis kMinPollIntervalMs = 20;

		/// Reads a row that others write; one that is invalid is logged and counts as absent.
		template <typename Row>
		std::optional<Row> readValidRow(const TableRow& _row, std::optional<Row> (*_decode)(const TableRow&))
		{
			try
			{
				return _decode(_row);
			}
			catch (const PlatformError& error)
			{
				logWarning("row_invalid", {{"key", _row.key}, {"version", _row.version}, {"error", error.what()}});
				return std::nullopt;
			}
		}
	} // namespace

	Watcher::Watcher(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, CrashRecord& _crashes, PauseGuard& _guard, Metrics& _metrics)
	    : settings(_settings)
	    , incarnation(_incarnation)
	    , keeper(_keeper)
	    , directory(_directory)
	    , crashes(_crashes)
	    , guard(_guard)
	    , platformErrors(_metrics.counter("archdyke_entry_platform_errors_total", "Failed polls of the platform."))
	    , peers(_loop)
	    , platform(_settings.platform, _settings.zone, kPlatformTimeoutMs, platformBodyLimit(_settings.memoryMb))
	    , thread([this] {
		    this->threadMain();
	    })
	{
	}

	Watcher::~Watcher()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		this->thread.join();
	}

	PeerState Watcher::ownState()
	{
		absl::MutexLock lock(&this->mutex);
		return {this->settings.name, this->settings.zone, this->incarnation, this->leaving, this->keeper.held()};
	}

	void Watcher::recordPeerState(const PeerState& _peer)
	{
		const HeldConfig held = this->keeper.held();
		absl::MutexLock lock(&this->mutex);
		this->peerStates[_peer.name] = _peer;
		this->pollRequested = this->pollRequested || isNewer(held, _peer.held.head) || _peer.held.staged.version > std::max(held.staged.version, held.head.version);
	}

	void Watcher::leave()
	{
		absl::MutexLock lock(&this->mutex);
		this->leaving = true;
	}

	bool Watcher::platformUp()
	{
		absl::MutexLock lock(&this->mutex);
		return this->platformReachable;
	}

	Millis Watcher::inDoubtMs()
	{
		const bool staged = 0 != this->keeper.held().staged.version;
		absl::MutexLock lock(&this->mutex);
		return staged && !this->platformReachable && 0 != this->stagedSince ? nowMs() - this->stagedSince : 0;
	}

	bool Watcher::isZonePoller(const std::vector<Vm>& _entries) const
	{
		const std::uint64_t ownHash = stableHash(this->settings.name);
		return std::none_of(_entries.begin(), _entries.end(), [&](const Vm& _vm) {
			return this->settings.zone == _vm.zone && stableHash(_vm.name) > ownHash;
		});
	}

	std::vector<std::string> Watcher::choosePeers(const std::vector<Vm>& _entries, bool _propagating) const
	{
		std::vector<std::string> ownZone;
		std::vector<std::string> otherZones;
		for (const Vm& vm : _entries)
		{
			(this->settings.zone == vm.zone ? ownZone : otherZones).push_back(vm.rpc);
		}
		std::vector<std::string> addresses;
		const std::string salt = this->settings.name + std::to_string(this->pollCount);
		for (const std::size_t index : chooseSample(salt, ownZone, _propagating ? ownZone.size() : kZonePeersPerPoll))
		{
			addresses.push_back(ownZone[index]);
		}
		for (const std::size_t index : chooseSample(salt, otherZones, kOtherZonePeersPerPoll))
		{
			addresses.push_back(otherZones[index]);
		}
		if (_entries.empty())
		{
			addresses = this->settings.peers;
		}
		return addresses;
	}

	std::optional<std::string> Watcher::fetchBytes(const ConfigMark& _mark, const std::vector<std::string>& _addresses)
	{
		std::optional<std::string> bytes = this->keeper.bytes(_mark.digest);
		for (const std::string& address : _addresses)
		{
			if (!bytes)
			{
				bytes = this->peers.document(address, _mark.digest, kPeerTimeoutMs);
			}
		}
		return bytes ? bytes : this->platform.getObject(objectName(_mark));
	}

	void Watcher::fetch(const ConfigMark& _mark, bool _accepted, const std::vector<std::string>& _addresses)
	{
		const HeldConfig held = this->keeper.held();
		const bool isNeeded = _accepted ? isNewer(held, _mark) : _mark.version > held.head.version && _mark != held.staged;
		if (!isNeeded)
		{
			return;
		}
		try
		{
			const std::optional<std::string> bytes = this->fetchBytes(_mark, _addresses);
			if (!bytes)
			{
				return;
			}
			if (_accepted)
			{
				this->keeper.accept(_mark, *bytes);
			}
			else
			{
				this->keeper.stage(_mark, *bytes);
				absl::MutexLock lock(&this->mutex);
				this->stagedSince = nowMs();
			}
		}
		catch (const InvalidInputError& error)
		{
			logError("config_unusable", {{"version", _mark.version}, {"error", error.what()}});
		}
	}

	void Watcher::pollCrashes(std::uint64_t _mark)
	{
		const Millis now = nowMs();
		if (this->crashes.needsRows(_mark, now))
		{
			this->crashes.applyRows(readCrashRows(this->platform.scan(kCrashPrefix)), _mark, now);
		}
	}

	void Watcher::pollTable()
	{
		const std::string confirmationKey = confirmKey(this->settings.zone);
		const TableResult result = this->platform.transact({{kHeadKey, kStageKey, confirmationKey, kCrashMarkKey}, {}, {}});
		this->pollCrashes(rowOf(result, kCrashMarkKey).version);
		const std::optional<HeadRow> head = readValidRow(rowOf(result, kHeadKey), decodeHead);
		this->stage = readValidRow(rowOf(result, kStageKey), decodeStage);
		const TableRow confirmationRow = rowOf(result, confirmationKey);
		this->confirmation = readValidRow(confirmationRow, decodeConfirmation);
		this->confirmationVersion = confirmationRow.version;
		if (head)
		{
			this->fetch(head->mark, true, {});
		}
		if (this->stage)
		{
			this->fetch(this->stage->mark, false, {});
		}
	}

	bool Watcher::pollPlatform()
	{
		try
		{
			this->pollTable();
			this->directory.applyVmChanges(this->platform.vmsSince(this->directory.revision()));
			this->confirm();
			return true;
		}
		catch (const PlatformError& error)
		{
			this->platformErrors.Increment();
			if (this->platformUp())
			{
				logWarning("platform_lost", {{"error", error.what()}});
			}
			return false;
		}
	}

	void Watcher::confirm()
	{
		if (!this->stage || this->keeper.held().staged != this->stage->mark)
		{
			return;
		}
		const ZoneConfirmation ownConfirmation{this->settings.zone, this->stage->mark, this->stage->nonce};
		if (this->confirmation == ownConfirmation)
		{
			return;
		}
		std::vector<PeerConfig> peerConfigs;
		for (const Vm& vm : this->directory.liveEntries())
		{
			if (this->settings.zone == vm.zone)
			{
				absl::MutexLock lock(&this->mutex);
				const auto it = this->peerStates.find(vm.name);
				peerConfigs.push_back({vm.name, this->peerStates.end() == it ? ConfigMark{} : it->second.held.head, this->peerStates.end() == it ? ConfigMark{} : it->second.held.staged});
			}
		}
		if (mayConfirmStaged(this->keeper.held(), peerConfigs, this->stage->mark))
		{
			const std::string key = confirmKey(this->settings.zone);
			this->platform.transact({{}, {{key, this->confirmationVersion}}, {{key, encodeConfirmation(ownConfirmation), 0}}});
			logInfo("config_confirmed", {{"version", ownConfirmation.mark.version}, {"zone", this->settings.zone}});
		}
	}

	void Watcher::pollPeers()
	{
		const HeldConfig held = this->keeper.held();
		const bool propagating = 0 != held.staged.version || held != this->lastSentHeld;
		const bool due = propagating || 0 == this->pollCount % kPollsPerPeerPoll || !this->guard.isFresh();
		if (!due)
		{
			return;
		}
		this->lastSentHeld = held;
		const std::vector<Vm> entries = this->directory.liveEntries();
		const std::vector<PeerResponse> responses = this->peers.exchange(this->choosePeers(entries, propagating), this->ownState(), kPeerTimeoutMs);
		for (const PeerResponse& response : responses)
		{
			{
				absl::MutexLock lock(&this->mutex);
				this->peerStates[response.state.name] = response.state;
			}
			try
			{
				this->fetch(response.state.held.head, true, {response.address});
				this->fetch(response.state.held.staged, false, {response.address});
			}
			catch (const PlatformError&)
			{
				// Neither the peer nor the platform sent the document: the next poll tries again.
			}
		}
	}

	void Watcher::poll()
	{
		const std::uint64_t detectedPauses = this->guard.detectedPauses();
		this->pollCount += 1;
		const bool due = this->isZonePoller(this->directory.liveEntries()) || kNonPollerIntervalMs <= nowMs() - this->lastPlatformPollAt || !this->guard.isFresh();
		this->pollPeers();
		if (due)
		{
			this->lastPlatformPollAt = nowMs();
			const bool responded = this->pollPlatform();
			absl::MutexLock lock(&this->mutex);
			if (responded && !this->platformReachable)
			{
				logInfo("platform_up", {{"address", this->settings.platform}});
			}
			this->platformReachable = responded;
		}
		const std::shared_ptr<const ActiveConfig> active = this->keeper.active();
		const std::uint64_t revision = this->directory.revision();
		if (nullptr != active && (this->appliedVersion != active->mark.version || this->appliedRevision != revision))
		{
			this->directory.rebuild(*active);
			this->appliedVersion = active->mark.version;
			this->appliedRevision = revision;
		}
		if (nullptr != active)
		{
			this->guard.recordRefresh(detectedPauses);
		}
	}

	void Watcher::threadMain()
	{
		while (true)
		{
			this->poll();
			absl::MutexLock lock(&this->mutex);
			if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kMinPollIntervalMs)))
			{
				return;
			}
			const auto shouldPoll = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
				return this->stopping || this->pollRequested;
			};
			this->mutex.AwaitWithTimeout(absl::Condition(&shouldPoll), absl::Milliseconds(kConfigPollIntervalMs - kMinPollIntervalMs));
			this->pollRequested = false;
			if (this->stopping)
			{
				return;
			}
		}
	}
} // namespace archdyke
