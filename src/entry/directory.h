/// The VMs of the VM list, and an entry's links to agents.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <memory>
#include <string>
#include <vector>

#include "base/platform_client.h"
#include "entry/agent_link.h"
#include "entry/config_keeper.h"

namespace archdyke
{
	/// An agent to which requests of a service may be dispatched.
	struct RouteTarget
	{
		std::shared_ptr<AgentLink> link;
		std::uint64_t id = 0;
		bool ownZone = false;
		double distanceMs = 0.0;
	};

	using RouteTargets = std::vector<RouteTarget>;

	class Directory
	{
	public:
		Directory(std::vector<RpcLoop*> _loops, std::string _name, std::string _zone, std::uint64_t _incarnation, CrashRecord& _crashes);

		/// Applies changes of the VM list.
		void applyVmChanges(const VmChanges& _changes);

		/// @returns Revision of the VM list that was applied last.
		std::uint64_t revision() const;

		/// Opens and closes links to match the configuration and the VM list.
		void rebuild(const ActiveConfig& _config);

		/// @returns The agents for a service; may be null.
		std::shared_ptr<const RouteTargets> targets(const std::string& _service) const;

		/// @returns Entries that are live in the VM list, without this one.
		std::vector<Vm> liveEntries() const;

		/// @returns Number of live entries in all zones, including this one.
		std::uint32_t entryCount() const;

		/// @returns VMs of the live agents in a zone.
		std::vector<Vm> liveAgents(const std::string& _zone) const;

		std::vector<AgentLinkView> views() const;

		/// Closes all links.
		void close();

	private:
		using Links = absl::btree_map<std::string, std::shared_ptr<AgentLink>>;

		std::vector<Upstream> chooseUpstreams(const ActiveConfig& _config) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		std::vector<std::string> zoneEntries() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		std::shared_ptr<AgentLink> openLink(const Upstream& _upstream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void publish(const ActiveConfig& _config) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

		const std::vector<RpcLoop*> loops;
		const std::string name;
		const std::string zone;
		const std::uint64_t incarnation;
		CrashRecord& crashes;

		mutable absl::Mutex mutex;
		std::uint64_t vmRevision ABSL_GUARDED_BY(mutex) = 0;
		absl::btree_map<std::string, Vm> vms ABSL_GUARDED_BY(mutex);
		Links links ABSL_GUARDED_BY(mutex);
		absl::flat_hash_map<std::string, std::shared_ptr<const RouteTargets>> targetsByService ABSL_GUARDED_BY(mutex);
	};
} // namespace archdyke
