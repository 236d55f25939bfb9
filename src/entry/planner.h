/// The planner of a zone's expert maps: one entry of the zone does it, the holder of the
/// zone's lease in the platform's table.
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
	/// What the planner knows of one group, for dumps.
	struct GroupView
	{
		std::string group;
		std::uint64_t epoch = 0;
		double skew = 0.0; ///< By the last window's counts.
		std::uint64_t proposals = 0;
		std::string last; ///< What happened last.

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

		/// Gives the lease back, if held, and plans no more.
		void stop();

	private:
		/// The agents of a group, by rank.
		struct Group
		{
			std::string name;
			std::vector<std::string> agents;
			const Service* service = nullptr;
		};

		/// What is remembered of a group from window to window.
		struct Memory
		{
			ExpertLoad lastCounts;
			PlacementState placement;
			Millis lookedAt = 0;
			std::uint64_t proposed = 0;
			GroupView view;
		};

		void work();
		void renewLease();
		bool isCandidate() const;
		std::vector<Group> groups(const ActiveConfig& _config) const;
		void planGroup(const Group& _group, std::uint64_t _fence);
		std::vector<RankReport> reports(const Group& _group);
		void propose(const Group& _group, Memory& _memory, const std::vector<RankReport>& _reports, const PlacementPlan& _plan, std::uint64_t _fence);
		bool stageAll(const Group& _group, std::uint64_t _fence, const std::string& _map);
		void note(Memory& _memory, const std::string& _what);

		const EntrySettings settings;
		const std::uint64_t incarnation;
		ConfigKeeper& keeper;
		Directory& directory;
		RpcPool<rpc::Agent> agents;
		prometheus::Counter& proposals;
		prometheus::Counter& stagedExperts;

		// The thread's own:
		PlatformClient platform;
		LeaseView lease;
		std::map<std::string, Memory> memories;

		absl::Mutex mutex;
		std::vector<GroupView> published ABSL_GUARDED_BY(mutex);
		bool holds ABSL_GUARDED_BY(mutex) = false;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
