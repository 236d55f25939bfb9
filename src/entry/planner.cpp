#include "entry/planner.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "archdyke/route.h"
#include "base/config.h"
#include "base/log.h"
#include "base/process.h"
#include "rpc/rpc_convert_map.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Between two looks at a group's counts, ms.
		constexpr Millis kWindowMs = 1'000;
		constexpr Millis kCallTimeoutMs = 800;
		constexpr Millis kStageTimeoutMs = 10'000;
		/// Tokens of a window below which its counts say nothing.
		constexpr double kLeastTokens = 200.0;
		/// Experts of a layer that a rank can hold beyond its even share.
		constexpr std::uint32_t kSpareSlots = 1;
		/// A number is the fence in the high bits and a count in the low ones.
		constexpr unsigned kNumberBits = 24;

		std::string encodeLease(const LeaseRow& _row)
		{
			return Json{{"holder", _row.holder}, {"fence", _row.fence}, {"renewal", _row.renewal}}.dump();
		}

		std::optional<LeaseRow> decodeLease(const TableRow& _row)
		{
			const Json json = Json::parse(_row.value, nullptr, false);
			if (0 == _row.version || !json.is_object())
			{
				return std::nullopt;
			}
			return LeaseRow{json.value("holder", std::uint64_t(0)), json.value("fence", std::uint64_t(0)), json.value("renewal", std::uint64_t(0))};
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
	    , stagedExperts(_metrics.counter("archdyke_entry_map_experts_staged_total", "Experts that ranks were told to load."))
	    , platform(_settings.platform, _settings.zone, kPlatformTimeoutMs)
	    , thread([this] {
		    this->work();
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
			// It lapses by itself.
		}
	}

	bool Planner::acting()
	{
		absl::MutexLock lock(&this->mutex);
		return this->holds;
	}

	std::vector<GroupView> Planner::views()
	{
		absl::MutexLock lock(&this->mutex);
		return this->published;
	}

	/// A few entries of the zone watch the lease; the rest cost the table nothing.
	bool Planner::isCandidate() const
	{
		const std::uint64_t mine = stableHash(this->settings.name);
		std::size_t before = 0;
		for (const Vm& vm : this->directory.liveEntries())
		{
			before += this->settings.zone == vm.zone && stableHash(vm.name) > mine ? 1 : 0;
		}
		return before < kLeaseCandidates;
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

	std::vector<Planner::Group> Planner::groups(const ActiveConfig& _config) const
	{
		std::map<std::string, std::string> addresses;
		for (const Vm& vm : this->directory.liveAgents(this->settings.zone))
		{
			addresses[vm.name] = vm.rpc;
		}
		std::map<std::string, Group> found;
		for (const Upstream& upstream : _config.document.upstreams)
		{
			if (this->settings.zone != upstream.zone || upstream.group.empty())
			{
				continue;
			}
			Group& group = found[upstream.group];
			group.name = upstream.group;
			group.service = findService(_config.document, upstream.service);
			group.agents.resize(std::max<std::size_t>(group.agents.size(), upstream.rank + 1));
			group.agents[upstream.rank] = addresses[upstream.name];
		}
		std::vector<Group> result;
		for (auto& [name, group] : found)
		{
			const bool complete = group.agents.end() == std::find(group.agents.begin(), group.agents.end(), "");
			if (complete)
			{
				result.push_back(std::move(group));
			}
		}
		return result;
	}

	std::vector<RankReport> Planner::reports(const Group& _group)
	{
		using Numbered = std::pair<std::size_t, RankReport>;
		auto gathering = std::make_shared<Gathering<Numbered>>(_group.agents.size());
		for (std::size_t rank = 0; rank < _group.agents.size(); ++rank)
		{
			const auto request = [gathering, rank](rpc::Agent::Client& _agent) {
				auto call = _agent.reportRequest();
				call.setWithLoad(true);
				return call.send().then([gathering, rank](capnp::Response<rpc::Agent::ReportResults>&& _response) {
					gathering->add(Numbered{rank, readReport(_response.getReport())});
				});
			};
			this->agents.call(_group.agents[rank], kCallTimeoutMs, request, [gathering] {
				gathering->add(std::nullopt);
			});
		}
		std::vector<Numbered> numbered = gathering->wait(kCallTimeoutMs);
		std::sort(numbered.begin(), numbered.end(), [](const Numbered& _a, const Numbered& _b) {
			return _a.first < _b.first;
		});
		std::vector<RankReport> result;
		for (Numbered& item : numbered)
		{
			result.push_back(std::move(item.second));
		}
		return result;
	}

	bool Planner::stageAll(const Group& _group, std::uint64_t _fence, const std::string& _map)
	{
		auto gathering = std::make_shared<Gathering<bool>>(_group.agents.size());
		for (const std::string& agent : _group.agents)
		{
			const auto request = [gathering, _fence, map = _map](rpc::Agent::Client& _agent) {
				auto call = _agent.stageMapRequest();
				call.setFence(_fence);
				call.setMap(map);
				return call.send().then([gathering](capnp::Response<rpc::Agent::StageMapResults>&& _response) {
					gathering->add(_response.getDone());
				});
			};
			this->agents.call(agent, kStageTimeoutMs, request, [gathering] {
				gathering->add(std::nullopt);
			});
		}
		const std::vector<bool> done = gathering->wait(kStageTimeoutMs);
		return done.size() == _group.agents.size() && done.end() == std::find(done.begin(), done.end(), false);
	}

	void Planner::note(Memory& _memory, const std::string& _what)
	{
		_memory.view.last = _what;
	}

	void Planner::propose(const Group& _group, Memory& _memory, const std::vector<RankReport>& _reports, const PlacementPlan& _plan, std::uint64_t _fence)
	{
		const RankReport& first = _reports.front();
		std::uint64_t number = (_fence << kNumberBits) + 1;
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
			this->note(_memory, "staging failed");
			return;
		}
		// Staging took time; the boundary lies ahead of where the ranks are now.
		for (const RankReport& report : this->reports(_group))
		{
			step = std::max(step, report.state.step);
		}
		VoteMessage message;
		message.group.proposal = {_group.name, number, _fence, first.state.formation, first.state.epoch, step + kMapMarginSteps, digest, std::uint32_t(_group.agents.size())};
		message.group.peers = _group.agents;
		auto gathering = std::make_shared<Gathering<bool>>(_group.agents.size());
		for (std::size_t rank = 0; rank < _group.agents.size(); ++rank)
		{
			message.group.rank = std::uint32_t(rank);
			const auto request = [gathering, message](rpc::Agent::Client& _agent) {
				auto call = _agent.exchangeVotesRequest();
				writeVotes(call.initMine(), message);
				return call.send().then([gathering](capnp::Response<rpc::Agent::ExchangeVotesResults>&&) {
					gathering->add(true);
				});
			};
			this->agents.call(_group.agents[rank], kCallTimeoutMs, request, [gathering] {
				gathering->add(std::nullopt);
			});
		}
		const std::size_t heard = gathering->wait(kCallTimeoutMs).size();
		_memory.view.proposals += 1;
		this->proposals.Increment();
		this->stagedExperts.Increment(double(_plan.staged));
		this->note(_memory, "proposed " + std::to_string(number));
		logInfo("map_proposed", {{"group", _group.name}, {"number", number}, {"boundary", message.group.proposal.boundary}, {"experts", _plan.staged}, {"heard", heard}, {"skewBefore", fmt::format("{:.3f}", _plan.skewBefore)}, {"skewAfter", fmt::format("{:.3f}", _plan.skewAfter)}});
	}

	void Planner::planGroup(const Group& _group, std::uint64_t _fence)
	{
		Memory& memory = this->memories[_group.name];
		memory.view.group = _group.name;
		const std::vector<RankReport> ranks = this->reports(_group);
		if (ranks.size() != _group.agents.size())
		{
			this->note(memory, "not all ranks answer");
			return;
		}
		const bool pending = std::any_of(ranks.begin(), ranks.end(), [](const RankReport& _report) {
			return _report.pending;
		});
		memory.view.epoch = ranks.front().state.epoch;
		const ExpertLoad counts = sumCounts(ranks);
		const std::optional<ExpertLoad> window = countsSince(memory.lastCounts, counts);
		memory.lastCounts = counts;
		if (pending || !window || meanTokensPerLayer(*window) < kLeastTokens)
		{
			return;
		}
		PlacementInput input;
		input.ranks = std::uint32_t(_group.agents.size());
		input.hosts = Json::parse(ranks.front().load).at("hosts").get<ExpertHosts>();
		input.slots = (std::uint32_t(window->front().size()) + input.ranks - 1) / input.ranks + kSpareSlots;
		input.load = *window;
		const PlacementPlan plan = decidePlacement(memory.placement, input, _group.service->placement, nowMs());
		memory.view.skew = plan.skewBefore;
		if (0 < plan.staged)
		{
			this->propose(_group, memory, ranks, plan, _fence);
		}
	}

	void Planner::work()
	{
		Millis plannedAt = 0;
		while (true)
		{
			{
				absl::MutexLock lock(&this->mutex);
				if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kLeaseRenewMs)))
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
				// Without the platform the lease lapses, and nobody plans; the maps stay.
			}
			const std::optional<std::uint64_t> fence = actingFence(this->lease, nowMs());
			const std::shared_ptr<const ActiveConfig> config = this->keeper.active();
			if (fence && nullptr != config && kWindowMs <= nowMs() - plannedAt)
			{
				plannedAt = nowMs();
				for (const Group& group : this->groups(*config))
				{
					this->planGroup(group, *fence);
				}
			}
			absl::MutexLock lock(&this->mutex);
			if (this->holds != fence.has_value())
			{
				logInfo(fence ? "lease_acquired" : "lease_lost", {{"zone", this->settings.zone}, {"fence", fence.value_or(0)}});
			}
			this->holds = fence.has_value();
			this->published.clear();
			for (const auto& [name, memory] : this->memories)
			{
				this->published.push_back(memory.view);
			}
		}
	}
} // namespace archdyke
