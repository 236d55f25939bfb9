/// Plans the expert maps of a zone. One entry of the zone acts as planner: the holder of
/// the zone's lease in the platform's table.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "agent/rank_control.h"
#include "archdyke/lease.h"
#include "archdyke/placement.h"
#include "base/metrics.h"
#include "base/platform_client.h"
#include "base/settings.h"
#include "entry/config_keeper.h"
#include "entry/directory.h"
#include "generated/rpc.capnp.h"
#include "rpc/rpc_pool.h"

namespace archdyke
{
	/// The planner's view of one group, for dumps.
	struct GroupView
	{
		std::string group;
		std::uint64_t epoch = 0;
		double skew = 0.0; ///< Computed from the counts of the last window.
		std::uint64_t proposals = 0;
		std::string lastEvent; ///< Description of the last event.

		bool operator==(const GroupView&) const = default;
	};

	class Planner
	{
	public:
		Planner(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, Metrics& _metrics);
		~Planner();
		Planner(const Planner&) = delete;
		Planner& operator=(const Planner&) = delete;

		/// @returns Whether this entry is its zone's planner now.
		bool acting();

		std::vector<GroupView> views();

		/// Stops planning and releases the lease, if held.
		void stop();

	private:
		/// A group and the addresses of its agents, by rank.
		struct Group
		{
			std::string name;
			std::vector<std::string> agents;
			const Service* service = nullptr;
		};

		/// State of a group that is kept from window to window.
		struct GroupHistory
		{
			ExpertLoad lastCounts;
			PlacementState placement;
			Millis checkedAt = 0;
			std::uint64_t proposed = 0;
			GroupView view;
		};

		void threadMain();
		void renewLease();
		bool isCandidate() const;
		std::vector<Group> completeGroups(const ActiveConfig& _config) const;
		void planGroup(const Group& _group, std::uint64_t _fence);
		std::vector<RankReport> fetchReports(const Group& _group);
		void propose(const Group& _group, GroupHistory& _history, const std::vector<RankReport>& _reports, const PlacementPlan& _plan, std::uint64_t _fence);
		bool stageAll(const Group& _group, std::uint64_t _fence, const std::string& _map);
		void recordEvent(GroupHistory& _history, const std::string& _event);

		const EntrySettings settings;
		const std::uint64_t incarnation;
		ConfigKeeper& keeper;
		Directory& directory;
		RpcPool<rpc::Agent> agents;
		prometheus::Counter& proposals;
		prometheus::Counter& stagedExperts;

		// Used by the planner thread only:
		PlatformClient platform;
		LeaseView lease;
		std::map<std::string, GroupHistory> histories;

		absl::Mutex mutex;
		std::vector<GroupView> publishedViews ABSL_GUARDED_BY(mutex);
		bool leaseHeld ABSL_GUARDED_BY(mutex) = false;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
