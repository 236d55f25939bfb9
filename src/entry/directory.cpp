#include "entry/directory.h"

#include <algorithm>

#include "base/config.h"

namespace archdyke
{
	namespace
	{
		std::vector<std::string> namesOf(const std::vector<Upstream>& _upstreams)
		{
			std::vector<std::string> names;
			for (const Upstream& upstream : _upstreams)
			{
				names.push_back(upstream.name);
			}
			return names;
		}

		/// Returns the heartbeat interval that keeps all links together within kMaxHeartbeatsPerSecond, ms.
		Millis heartbeatIntervalMs(std::size_t _links)
		{
			constexpr Millis kMsPerSecond = 1000;
			return std::max<Millis>(kMinHeartbeatIntervalMs, Millis(_links) * kMsPerSecond / kMaxHeartbeatsPerSecond);
		}
	} // namespace

	Directory::Directory(std::vector<RpcLoop*> _loops, std::string _name, std::string _zone, std::uint64_t _incarnation, CrashRecord& _crashes)
	    : loops(std::move(_loops))
	    , name(std::move(_name))
	    , zone(std::move(_zone))
	    , incarnation(_incarnation)
	    , crashes(_crashes)
	{
	}

	void Directory::applyVmChanges(const VmChanges& _changes)
	{
		absl::MutexLock lock(&this->mutex);
		this->vmRevision = _changes.revision;
		for (const Vm& vm : _changes.vms)
		{
			if (ListState::Gone == vm.state)
			{
				this->vms.erase(vm.name);
			}
			else
			{
				this->vms[vm.name] = vm;
			}
			const auto link = this->links.find(vm.name);
			if (this->links.end() != link)
			{
				link->second->applyListState(vm.rpc, vm.state);
			}
		}
	}

	std::uint64_t Directory::revision() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->vmRevision;
	}

	std::vector<std::string> Directory::zoneEntries() const
	{
		std::vector<std::string> entries{this->name};
		for (const auto& [vmName, vm] : this->vms)
		{
			if (VmRole::Entry == vm.role && this->zone == vm.zone && this->name != vm.name)
			{
				entries.push_back(vm.name);
			}
		}
		return entries;
	}

	std::vector<Upstream> Directory::chooseUpstreams(const ActiveConfig& _config) const
	{
		std::vector<Upstream> ownZone;
		std::vector<Upstream> otherZones;
		for (const Upstream& upstream : _config.document.upstreams)
		{
			if (this->vms.contains(upstream.name))
			{
				(this->zone == upstream.zone ? ownZone : otherZones).push_back(upstream);
			}
		}
		std::vector<Upstream> result;
		const std::uint32_t coverage = ownZone.size() <= kMaxFullMeshAgents ? std::uint32_t(this->zoneEntries().size()) : kAgentCoverage;
		for (const std::size_t index : chooseSubset(this->name, this->zoneEntries(), namesOf(ownZone), coverage))
		{
			result.push_back(ownZone[index]);
		}
		for (const std::size_t index : chooseSample(this->name, namesOf(otherZones), kMaxOtherZoneLinks))
		{
			result.push_back(otherZones[index]);
		}
		return result;
	}

	std::shared_ptr<AgentLink> Directory::openLink(const Upstream& _upstream)
	{
		RpcLoop& loop = *this->loops[stableHash(_upstream.name) % this->loops.size()];
		auto link = std::make_shared<AgentLink>(loop, AgentIdentity{_upstream.name, _upstream.zone, _upstream.service}, this->incarnation, this->crashes);
		const Vm& vm = this->vms.at(_upstream.name);
		link->applyListState(vm.rpc, vm.state);
		link->open();
		return link;
	}

	void Directory::rebuild(const ActiveConfig& _config)
	{
		absl::MutexLock lock(&this->mutex);
		Links newLinks;
		for (const Upstream& upstream : this->chooseUpstreams(_config))
		{
			const auto old = this->links.find(upstream.name);
			const bool keep = this->links.end() != old && old->second->identity() == AgentIdentity{upstream.name, upstream.zone, upstream.service};
			newLinks[upstream.name] = keep ? old->second : this->openLink(upstream);
		}
		for (const auto& [linkName, link] : this->links)
		{
			const auto it = newLinks.find(linkName);
			if (newLinks.end() == it || it->second != link)
			{
				link->close();
			}
		}
		this->links = std::move(newLinks);
		for (const auto& [linkName, link] : this->links)
		{
			link->setHeartbeat(heartbeatIntervalMs(this->links.size()));
		}
		this->publish(_config);
	}

	void Directory::publish(const ActiveConfig& _config)
	{
		absl::flat_hash_map<std::string, RouteTargets> targets;
		double distanceMs = 0.0;
		for (const Zone& item : _config.document.zones)
		{
			distanceMs = this->zone == item.name ? item.distanceMs : distanceMs;
		}
		for (const auto& [linkName, link] : this->links)
		{
			const bool ownZone = this->zone == link->identity().zone;
			targets[link->identity().service].push_back({link, stableHash(linkName), ownZone, ownZone ? 0.0 : distanceMs});
		}
		this->targetsByService.clear();
		for (auto& [service, list] : targets)
		{
			this->targetsByService[service] = std::make_shared<const RouteTargets>(std::move(list));
		}
	}

	std::shared_ptr<const RouteTargets> Directory::targets(const std::string& _service) const
	{
		absl::MutexLock lock(&this->mutex);
		const auto it = this->targetsByService.find(_service);
		return this->targetsByService.end() == it ? nullptr : it->second;
	}

	std::vector<Vm> Directory::liveEntries() const
	{
		absl::MutexLock lock(&this->mutex);
		std::vector<Vm> entries;
		for (const auto& [vmName, vm] : this->vms)
		{
			if (VmRole::Entry == vm.role && ListState::Live == vm.state && this->name != vm.name)
			{
				entries.push_back(vm);
			}
		}
		return entries;
	}

	std::uint32_t Directory::entryCount() const
	{
		return std::uint32_t(this->liveEntries().size() + 1);
	}

	std::vector<Vm> Directory::liveAgents(const std::string& _zone) const
	{
		absl::MutexLock lock(&this->mutex);
		std::vector<Vm> agents;
		for (const auto& [vmName, vm] : this->vms)
		{
			if (VmRole::Agent == vm.role && _zone == vm.zone && ListState::Live == vm.state)
			{
				agents.push_back(vm);
			}
		}
		return agents;
	}

	std::vector<AgentLinkView> Directory::views() const
	{
		absl::MutexLock lock(&this->mutex);
		std::vector<AgentLinkView> result;
		for (const auto& [linkName, link] : this->links)
		{
			result.push_back(link->view());
		}
		return result;
	}

	void Directory::close()
	{
		absl::MutexLock lock(&this->mutex);
		for (const auto& [linkName, link] : this->links)
		{
			link->close();
		}
		this->links.clear();
		this->targetsByService.clear();
	}
} // namespace archdyke
