#include "entry/planner.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "archdyke/route.h"
#include "base/config.h"
#include "base/foreign_json.h"
#include "base/log.h"
#include "base/process.h"
#include "rpc/rpc_convert_map.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Interval between checks of a group's counts, ms.
		constexpr Millis kPlanIntervalMs = 1'000;
		constexpr Millis kCallTimeoutMs = 800;
		constexpr Millis kStageTimeoutMs = 10'000;
		/// Tokens per layer below which a window has too few counts to plan with.
		constexpr double kMinTokensPerLayer = 200.0;
		/// Experts of a layer that a rank can hold in addition to its even share.
		constexpr std::uint32_t kSpareSlots = 1;
		/// Low bits of a proposal number, which hold a count; the high bits hold the fence.
		constexpr unsigned kNumberCountBits = 24;

		std::string encodeLease(const LeaseRow& _row)
		{
			return Json{{"holder", _row.holder}, {"fence", _row.fence}, {"renewal", _row.renewal}}.dump();
		}

		std::optional<LeaseRow> decodeLease(const TableRow& _row)
		{
			if (0 == _row.version)
			{
				return std::nullopt;
			}
			try
			{
				const Json json = parseForeignJson(_row.value).value_or(Json());
				return LeaseRow{readCount(json, "holder"), readCount(json, "fence"), readCount(json, "renewal")};
			}
			catch (const ArchdykeError& error)
			{
				// Not replaced: the next fence must be above the last one.
				logWarning("row_invalid", {{"key", _row.key}, {"version", _row.version}, {"error", error.what()}});
				throw PlatformError(error.what());
			}
		}

		ExpertLoad sumCounts(const std::vector<RankReport>& _reports)
		{
			ExpertLoad sum;
			for (const RankReport& report : _reports)
			{
				const ExpertLoad counts = Json::parse(report.load).at("counts").get<ExpertLoad>();
				sum.resize(std::max(sum.size(), counts.size()));
				for (std::size_t layer = 0; layer < counts.size(); ++layer)
				{
					sum[layer].resize(std::max(sum[layer].size(), counts[layer].size()), 0.0);
					for (std::size_t expert = 0; expert < counts[layer].size(); ++expert)
					{
						sum[layer][expert] += counts[layer][expert];
					}
				}
			}
			return sum;
		}
	} // namespace

	Planner::Planner(const EntrySettings& _settings, std::uint64_t _incarnation, RpcLoop& _loop, ConfigKeeper& _keeper, Directory& _directory, Metrics& _metrics)
	    : settings(_settings)
	    , incarnation(_incarnation)
	    , keeper(_keeper)
	    , directory(_directory)
	    , agents(_loop)
	    , proposals(_metrics.counter("archdyke_entry_map_proposals_total", "Map switches proposed by this entry."))
	    , stagedExperts(_metrics.counter("archdyke_entry_map_experts_staged_total", "Experts staged on ranks for proposed maps."))
	    , platform(_settings.platform, _settings.zone, kPlatformTimeoutMs, platformBodyLimit(_settings.memoryMb))
	    , thread([this] {
		    this->threadMain();
	    })
	{
		this->lease.self = _incarnation;
	}

	Planner::~Planner()
	{
		this->stop();
	}

	void Planner::stop()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		if (!this->thread.joinable())
		{
			return;
		}
		this->thread.join();
		if (!this->lease.seen || this->incarnation != this->lease.seen->holder)
		{
			return;
		}
		try
		{
			const std::string key = "lease/planner/" + this->settings.zone;
			const TableRow row = rowOf(this->platform.transact({{key}, {}, {}}), key);
			const std::optional<LeaseRow> held = decodeLease(row);
			if (held && this->incarnation == held->holder)
			{
				this->platform.transact({{}, {{key, row.version}}, {{key, encodeLease({0, held->fence, held->renewal + 1}), 0}}});
			}
		}
		catch (const PlatformError&)
		{
			// The lease expires by itself.
		}
	}

	bool Planner::acting()
	{
		absl::MutexLock lock(&this->mutex);
		return this->leaseHeld;
	}

	std::vector<GroupView> Planner::views()
	{
		absl::MutexLock lock(&this->mutex);
		return this->publishedViews;
	}

	/// Only kLeaseCandidates entries of the zone compete for the lease, which limits the load on the table.
	bool Planner::isCandidate() const
	{
		const std::uint64_t ownHash = stableHash(this->settings.name);
		std::size_t higherRanked = 0;
		for (const Vm& vm : this->directory.liveEntries())
		{
			higherRanked += this->settings.zone == vm.zone && stableHash(vm.name) > ownHash ? 1 : 0;
		}
		return higherRanked < kLeaseCandidates;
	}

	void Planner::renewLease()
	{
		if (!this->isCandidate())
		{
			return;
		}
		const std::string key = "lease/planner/" + this->settings.zone;
		const TableRow row = rowOf(this->platform.transact({{key}, {}, {}}), key);
		const LeaseStep step = decideLease(this->lease, decodeLease(row), nowMs());
		if (!step.write)
		{
			return;
		}
		const Millis begunAt = nowMs();
		if (this->platform.transact({{}, {{key, row.version}}, {{key, encodeLease(step.row), 0}}}).committed)
		{
			recordLeaseWrite(this->lease, step.row, begunAt, nowMs());
		}
	}

	std::vector<Planner::Group> Planner::completeGroups(const ActiveConfig& _config) const
	{
		std::map<std::string, std::string> addresses;
		for (const Vm& vm : this->directory.liveAgents(this->settings.zone))
		{
			addresses[vm.name] = vm.rpc;
		}
		std::map<std::string, Group> groupsByName;
		for (const Upstream& upstream : _config.document.upstreams)
		{
			if (this->settings.zone != upstream.zone || upstream.group.empty())
			{
				continue;
			}
			Group& group = groupsByName[upstream.group];
			group.name = upstream.group;
			group.service = findService(_config.document, upstream.service);
			group.agents.resize(std::max<std::size_t>(group.agents.size(), upstream.rank + 1));
			group.agents[upstream.rank] = addresses[upstream.name];
		}
		std::vector<Group> result;
		for (auto& [name, group] : groupsByName)
		{
			const bool complete = group.agents.end() == std::find(group.agents.begin(), group.agents.end(), "");
			if (complete)
			{
				result.push_back(std::move(group));
			}
		}
		return result;
	}

	std::vector<RankReport> Planner::fetchReports(const Group& _group)
	{
		using RankedReport = std::pair<std::size_t, RankReport>;
		auto collector = std::make_shared<ResponseCollector<RankedReport>>(_group.agents.size());
		for (std::size_t rank = 0; rank < _group.agents.size(); ++rank)
		{
			const auto request = [collector, rank](rpc::Agent::Client& _agent) {
				auto call = _agent.reportRequest();
				call.setWithLoad(true);
				return call.send().then([collector, rank](capnp::Response<rpc::Agent::ReportResults>&& _response) {
					collector->add(RankedReport{rank, readReport(_response.getReport())});
				});
			};
			this->agents.call(_group.agents[rank], kCallTimeoutMs, request, [collector] {
				collector->add(std::nullopt);
			});
		}
		std::vector<RankedReport> rankedReports = collector->wait(kCallTimeoutMs);
		std::sort(rankedReports.begin(), rankedReports.end(), [](const RankedReport& _a, const RankedReport& _b) {
			return _a.first < _b.first;
		});
		std::vector<RankReport> result;
		for (RankedReport& item : rankedReports)
		{
			result.push_back(std::move(item.second));
		}
		return result;
	}

	bool Planner::stageAll(const Group& _group, std::uint64_t _fence, const std::string& _map)
	{
		auto collector = std::make_shared<ResponseCollector<bool>>(_group.agents.size());
		for (const std::string& agent : _group.agents)
		{
			const auto request = [collector, _fence, map = _map](rpc::Agent::Client& _agent) {
				auto call = _agent.stageMapRequest();
				call.setFence(_fence);
				call.setMap(map);
				return call.send().then([collector](capnp::Response<rpc::Agent::StageMapResults>&& _response) {
					collector->add(_response.getDone());
				});
			};
			this->agents.call(agent, kStageTimeoutMs, request, [collector] {
				collector->add(std::nullopt);
			});
		}
		const std::vector<bool> done = collector->wait(kStageTimeoutMs);
		return done.size() == _group.agents.size() && done.end() == std::find(done.begin(), done.end(), false);
	}

	void Planner::recordEvent(GroupHistory& _history, const std::string& _event)
	{
		_history.view.lastEvent = _event;
	}

	void Planner::propose(const Group& _group, GroupHistory& _history, const std::vector<RankReport>& _reports, const PlacementPlan& _plan, std::uint64_t _fence)
	{
		const RankReport& first = _reports.front();
		std::uint64_t number = (_fence << kNumberCountBits) + 1;
		std::uint64_t step = 0;
		for (const RankReport& report : _reports)
		{
			number = std::max(number, report.lastNumber + 1);
			step = std::max(step, report.state.step);
		}
		const Json hosts(_plan.hosts);
		const std::uint64_t digest = stableHash(hosts.dump(), number);
		const Json map{{"epoch", first.state.epoch + 1}, {"digest", digest}, {"hosts", hosts}};
		if (!this->stageAll(_group, _fence, map.dump()))
		{
			this->recordEvent(_history, "staging failed");
			return;
		}
		// Staging took time: the boundary is set ahead of the ranks' current steps.
		for (const RankReport& report : this->fetchReports(_group))
		{
			step = std::max(step, report.state.step);
		}
		VoteMessage message;
		message.group.proposal = {_group.name, number, _fence, first.state.formation, first.state.epoch, step + kProposalLeadSteps, digest, std::uint32_t(_group.agents.size())};
		message.group.peers = _group.agents;
		auto collector = std::make_shared<ResponseCollector<bool>>(_group.agents.size());
		for (std::size_t rank = 0; rank < _group.agents.size(); ++rank)
		{
			message.group.rank = std::uint32_t(rank);
			const auto request = [collector, message](rpc::Agent::Client& _agent) {
				auto call = _agent.exchangeVotesRequest();
				writeVotes(call.initMine(), message);
				return call.send().then([collector](capnp::Response<rpc::Agent::ExchangeVotesResults>&&) {
					collector->add(true);
				});
			};
			this->agents.call(_group.agents[rank], kCallTimeoutMs, request, [collector] {
				collector->add(std::nullopt);
			});
		}
		const std::size_t responses = collector->wait(kCallTimeoutMs).size();
		_history.view.proposals += 1;
		this->proposals.Increment();
		this->stagedExperts.Increment(double(_plan.staged));
		this->recordEvent(_history, "proposed " + std::to_string(number));
		logInfo("map_proposed", {{"group", _group.name}, {"number", number}, {"boundary", message.group.proposal.boundary}, {"experts", _plan.staged}, {"responses", responses}, {"skewBefore", fmt::format("{:.3f}", _plan.skewBefore)}, {"skewAfter", fmt::format("{:.3f}", _plan.skewAfter)}});
	}

	void Planner::planGroup(const Group& _group, std::uint64_t _fence)
	{
		GroupHistory& history = this->histories[_group.name];
		history.view.group = _group.name;
		const std::vector<RankReport> ranks = this->fetchReports(_group);
		if (ranks.size() != _group.agents.size())
		{
			this->recordEvent(history, "not all ranks respond");
			return;
		}
		const bool pending = std::any_of(ranks.begin(), ranks.end(), [](const RankReport& _report) {
			return _report.pending;
		});
		history.view.epoch = ranks.front().state.epoch;
		const ExpertLoad counts = sumCounts(ranks);
		const std::optional<ExpertLoad> window = countsSince(history.lastCounts, counts);
		history.lastCounts = counts;
		if (pending || !window || meanTokensPerLayer(*window) < kMinTokensPerLayer)
		{
			return;
		}
		PlacementInput input;
		input.ranks = std::uint32_t(_group.agents.size());
		input.hosts = Json::parse(ranks.front().load).at("hosts").get<ExpertHosts>();
		input.slots = (std::uint32_t(window->front().size()) + input.ranks - 1) / input.ranks + kSpareSlots;
		input.load = *window;
		const PlacementPlan plan = decidePlacement(history.placement, input, _group.service->placement, nowMs());
		history.view.skew = plan.skewBefore;
		if (0 < plan.staged)
		{
			this->propose(_group, history, ranks, plan, _fence);
		}
	}

	void Planner::threadMain()
	{
		Millis plannedAt = 0;
		while (true)
		{
			{
				absl::MutexLock lock(&this->mutex);
				if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kLeaseRenewIntervalMs)))
				{
					return;
				}
			}
			try
			{
				this->renewLease();
			}
			catch (const PlatformError&)
			{
				// Without the platform the lease expires and no entry plans; the current maps stay in use.
			}
			const std::optional<std::uint64_t> fence = actingFence(this->lease, nowMs());
			const std::shared_ptr<const ActiveConfig> config = this->keeper.active();
			if (fence && nullptr != config && kPlanIntervalMs <= nowMs() - plannedAt)
			{
				plannedAt = nowMs();
				for (const Group& group : this->completeGroups(*config))
				{
					this->planGroup(group, *fence);
				}
			}
			absl::MutexLock lock(&this->mutex);
			if (this->leaseHeld != fence.has_value())
			{
				logInfo(fence ? "lease_acquired" : "lease_lost", {{"zone", this->settings.zone}, {"fence", fence.value_or(0)}});
			}
			this->leaseHeld = fence.has_value();
			this->publishedViews.clear();
			for (const auto& [name, history] : this->histories)
			{
				this->publishedViews.push_back(history.view);
			}
		}
	}
} // namespace archdyke
