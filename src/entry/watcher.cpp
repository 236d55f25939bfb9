#include "entry/watcher.h"

#include <absl/time/time.h>
#include <algorithm>

#include "archdyke/route.h"
#include "base/config.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// How often an entry that is not its zone's poller looks at the platform itself, ms.
		constexpr Millis kSlowPollMs = 2'000;
		constexpr Millis kPeerTimeoutMs = 400;
		/// Peers that are asked at each look.
		constexpr std::size_t kZonePeersPerLook = 2;
		constexpr std::size_t kFarPeersPerLook = 1;
		/// Peers are asked at every second look while nothing changes.
		constexpr std::uint64_t kLooksPerPeerLook = 2;
		/// Shortest time between two looks, ms.
		constexpr Millis kLeastPauseMs = 20;
	} // namespace

	Watcher::Watcher(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, PauseGuard& _guard, Metrics& _metrics)
	    : settings(_settings)
	    , incarnation(_incarnation)
	    , keeper(_keeper)
	    , directory(_directory)
	    , guard(_guard)
	    , platformErrors(_metrics.counter("archdyke_entry_platform_errors_total", "Looks at the platform that failed."))
	    , peers(_loop)
	    , platform(_settings.platform, _settings.zone, kPlatformTimeoutMs)
	    , thread([this] {
		    this->work();
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

	PeerState Watcher::myState()
	{
		absl::MutexLock lock(&this->mutex);
		return {this->settings.name, this->settings.zone, this->incarnation, this->leaving, this->keeper.held()};
	}

	void Watcher::hearPeer(const PeerState& _peer)
	{
		const HeldConfig held = this->keeper.held();
		absl::MutexLock lock(&this->mutex);
		this->heard[_peer.name] = _peer;
		this->hurry = this->hurry || isNewer(held, _peer.held.head) || _peer.held.staged.version > std::max(held.staged.version, held.head.version);
	}

	void Watcher::leave()
	{
		absl::MutexLock lock(&this->mutex);
		this->leaving = true;
	}

	bool Watcher::platformUp()
	{
		absl::MutexLock lock(&this->mutex);
		return this->up;
	}

	Millis Watcher::inDoubtMs()
	{
		const bool staged = 0 != this->keeper.held().staged.version;
		absl::MutexLock lock(&this->mutex);
		return staged && !this->up && 0 != this->stagedSince ? nowMs() - this->stagedSince : 0;
	}

	bool Watcher::isZonePoller(const std::vector<Vm>& _entries) const
	{
		const std::uint64_t mine = stableHash(this->settings.name);
		return std::none_of(_entries.begin(), _entries.end(), [&](const Vm& _vm) {
			return this->settings.zone == _vm.zone && stableHash(_vm.name) > mine;
		});
	}

	std::vector<std::string> Watcher::peersToAsk(const std::vector<Vm>& _entries, bool _spreading) const
	{
		std::vector<std::string> near;
		std::vector<std::string> far;
		for (const Vm& vm : _entries)
		{
			(this->settings.zone == vm.zone ? near : far).push_back(vm.rpc);
		}
		std::vector<std::string> addresses;
		const std::string salt = this->settings.name + std::to_string(this->lookNumber);
		for (const std::size_t index : chooseSample(salt, near, _spreading ? near.size() : kZonePeersPerLook))
		{
			addresses.push_back(near[index]);
		}
		for (const std::size_t index : chooseSample(salt, far, kFarPeersPerLook))
		{
			addresses.push_back(far[index]);
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
		const bool wanted = _accepted ? isNewer(held, _mark) : _mark.version > held.head.version && _mark != held.staged;
		if (!wanted)
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

	void Watcher::lookAtTable()
	{
		const std::string confirmation = confirmKey(this->settings.zone);
		const TableResult result = this->platform.transact({{kHeadKey, kStageKey, confirmation}, {}, {}});
		const std::optional<HeadRow> head = decodeHead(rowOf(result, kHeadKey));
		this->stage = decodeStage(rowOf(result, kStageKey));
		const TableRow confirmationRow = rowOf(result, confirmation);
		this->confirmation = decodeConfirmation(confirmationRow);
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

	bool Watcher::lookAtPlatform()
	{
		try
		{
			this->lookAtTable();
			this->directory.hearVms(this->platform.vmsSince(this->directory.revision()));
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
		const ZoneConfirmation mine{this->settings.zone, this->stage->mark, this->stage->nonce};
		if (this->confirmation == mine)
		{
			return;
		}
		std::vector<PeerConfig> holdings;
		for (const Vm& vm : this->directory.liveEntries())
		{
			if (this->settings.zone == vm.zone)
			{
				absl::MutexLock lock(&this->mutex);
				const auto it = this->heard.find(vm.name);
				holdings.push_back({vm.name, this->heard.end() == it ? ConfigMark{} : it->second.held.head, this->heard.end() == it ? ConfigMark{} : it->second.held.staged});
			}
		}
		if (mayConfirmStaged(this->keeper.held(), holdings, this->stage->mark))
		{
			const std::string key = confirmKey(this->settings.zone);
			this->platform.transact({{}, {{key, this->confirmationVersion}}, {{key, encodeConfirmation(mine), 0}}});
			logInfo("config_confirmed", {{"version", mine.mark.version}, {"zone", this->settings.zone}});
		}
	}

	void Watcher::lookAtPeers()
	{
		const HeldConfig held = this->keeper.held();
		const bool spreading = 0 != held.staged.version || held != this->toldHeld;
		const bool due = spreading || 0 == this->lookNumber % kLooksPerPeerLook || !this->guard.isFresh();
		if (!due)
		{
			return;
		}
		this->toldHeld = held;
		const std::vector<Vm> entries = this->directory.liveEntries();
		const std::vector<PeerAnswer> answers = this->peers.exchange(this->peersToAsk(entries, spreading), this->myState(), kPeerTimeoutMs);
		for (const PeerAnswer& answer : answers)
		{
			{
				absl::MutexLock lock(&this->mutex);
				this->heard[answer.state.name] = answer.state;
			}
			try
			{
				this->fetch(answer.state.held.head, true, {answer.address});
				this->fetch(answer.state.held.staged, false, {answer.address});
			}
			catch (const PlatformError&)
			{
				// The peer didn't hand it over and the platform is away: the next look.
			}
		}
	}

	void Watcher::look()
	{
		const std::uint64_t pauses = this->guard.pauses();
		this->lookNumber += 1;
		const bool due = this->isZonePoller(this->directory.liveEntries()) || kSlowPollMs <= nowMs() - this->lastPlatformLook || !this->guard.isFresh();
		this->lookAtPeers();
		if (due)
		{
			this->lastPlatformLook = nowMs();
			const bool answered = this->lookAtPlatform();
			absl::MutexLock lock(&this->mutex);
			if (answered && !this->up)
			{
				logInfo("platform_up", {{"address", this->settings.platform}});
			}
			this->up = answered;
		}
		const std::shared_ptr<const ActiveConfig> active = this->keeper.active();
		const std::uint64_t revision = this->directory.revision();
		if (nullptr != active && (this->builtVersion != active->mark.version || this->builtRevision != revision))
		{
			this->directory.rebuild(*active);
			this->builtVersion = active->mark.version;
			this->builtRevision = revision;
		}
		if (nullptr != active)
		{
			this->guard.looked(pauses);
		}
	}

	void Watcher::work()
	{
		while (true)
		{
			this->look();
			absl::MutexLock lock(&this->mutex);
			if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kLeastPauseMs)))
			{
				return;
			}
			const auto awake = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
				return this->stopping || this->hurry;
			};
			this->mutex.AwaitWithTimeout(absl::Condition(&awake), absl::Milliseconds(kConfigPollMs - kLeastPauseMs));
			this->hurry = false;
			if (this->stopping)
			{
				return;
			}
		}
	}
} // namespace archdyke
