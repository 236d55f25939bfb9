#include "soak_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <limits>
#include <sstream>
#include <unistd.h>

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kCrashSeenMs = 500;    ///< Between two looks at the least, with a margin.
		constexpr Millis kCrashedRowMs = 1'500; ///< Until the row of an upstream that crashed lapses.
		const SoakSize kUsualSize{3, 4, {4, 3}};
		/// Some hundred processes: a machine plays other runs beside it.
		const SoakSize kLargeSize{16, 40, {24, 12, 8}};
		/// How long a gateway may take to say what it has, ms: a frozen one doesn't answer.
		constexpr Millis kDumpWaitMs = 200;
		constexpr Millis kMsPerS = 1'000;
		constexpr const char* kSteadyKey = "key-steady";
		constexpr const char* kNobodysKey = "key-of-nobody";

		std::string makeDirectory(std::uint64_t _seed)
		{
			std::string pattern = (std::filesystem::temp_directory_path() / fmt::format("archdyke-soak-{}-XXXXXX", _seed)).string();
			if (nullptr == mkdtemp(pattern.data()))
			{
				throw std::runtime_error("no directory for the logs of a soak; make room for temporary files");
			}
			return pattern;
		}

		std::string keyName(std::uint64_t _number)
		{
			return fmt::format("key-{}", _number);
		}
	} // namespace

	SoakDeployment::SoakDeployment(std::uint64_t _seed, bool _large)
	    : directory(makeDirectory(_seed))
	    , size(_large ? kLargeSize : kUsualSize)
	    , store(this->directory + "/store.log")
	    , proxy(this->directory + "/proxy.log")
	{
		this->record.heldKeys = {kSteadyKey};
	}

	/// Loopback addresses that no other run on this machine uses.
	std::string SoakDeployment::ipOf(std::size_t _sidecar) const
	{
		const int process = getpid();
		return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + _sidecar);
	}

	std::string SoakDeployment::changingKey() const
	{
		return keyName(this->keysMade);
	}

	void SoakDeployment::start()
	{
		for (const std::size_t ranks : this->size.groups)
		{
			this->startRanks(fmt::format("g-{}", this->groups.size()), ranks);
		}
		for (std::size_t index = 0; index < this->size.workers; ++index)
		{
			this->addWorker();
		}
		this->configure();
		for (const SoakGroup& group : this->groups)
		{
			for (std::size_t rank = 0; rank < group.engines.size(); ++rank)
			{
				const std::size_t sidecar = this->sidecars.size();
				this->sidecars.emplace_back().name = fmt::format("sidecar-{}", sidecar);
				this->startSidecar(sidecar);
			}
		}
		for (std::size_t index = 0; index < this->size.gateways; ++index)
		{
			this->gateways.emplace_back().name = fmt::format("gateway-{}", index);
			this->startGateway(this->gateways.back());
		}
	}

	void SoakDeployment::startRanks(const std::string& _group, std::size_t _ranks)
	{
		std::size_t before = 0;
		for (const SoakGroup& other : this->groups)
		{
			before += other.engines.size();
		}
		Json addresses = Json::array();
		for (std::size_t rank = 0; rank < _ranks; ++rank)
		{
			addresses.push_back(this->ipOf(before + rank) + ":0");
		}
		SoakGroup group;
		group.name = _group;
		group.ranks = startTool("stub-ranks", {{"addresses", addresses}, {"group", _group}, {"sets", 2}, {"experts", 8}, {"passMs", 15}}, fmt::format("{}/ranks-{}.log", this->directory, _group));
		std::istringstream list(group.ranks->listening("http"));
		for (std::string address; std::getline(list, address, ',');)
		{
			this->store.put("servers", fmt::format("rank-{}", before + group.engines.size()), upstreamJson("maps", address, "ready"));
			group.engines.push_back(address);
		}
		this->groups.push_back(std::move(group));
	}

	const std::string& SoakDeployment::engineOf(std::size_t _sidecar) const
	{
		std::size_t rank = _sidecar;
		for (const SoakGroup& group : this->groups)
		{
			if (rank < group.engines.size())
			{
				return group.engines[rank];
			}
			rank -= group.engines.size();
		}
		throw std::out_of_range("a soak has no sidecar of that number");
	}

	std::unique_ptr<ChildProcess> SoakDeployment::startDaemon(SoakPart& _part, const std::string& _program, Json _settings)
	{
		const std::string path = fmt::format("{}/{}.json", this->directory, _part.name);
		_settings["name"] = _part.name;
		_settings["zone"] = "here";
		_settings["peerPort"] = 7340;
		_settings["store"] = this->proxy.link("store<" + _part.name, this->store.address);
		std::ofstream(path) << _settings.dump();
		const std::string log = fmt::format("{}/{}-{}.log", this->directory, _part.name, _part.starts++);
		return std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/" + _program, std::vector<std::string>{"--settings", path}, log);
	}

	void SoakDeployment::startSidecar(std::size_t _sidecar)
	{
		SoakPart& sidecar = this->sidecars[_sidecar];
		const std::string ip = this->ipOf(_sidecar);
		sidecar.process = this->startDaemon(sidecar, "archdyke-sidecar", {{"ip", ip}, {"metrics", ip + ":7341"}, {"upstream", this->engineOf(_sidecar)}, {"service", "maps"}});
	}

	void SoakDeployment::startGateway(SoakPart& _gateway)
	{
		auto process = this->startDaemon(_gateway, "archdyke-gateway", {{"ip", "127.0.0.1"}, {"metrics", "127.0.0.1:0"}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", this->bounds.revocationMs}, {"graceS", this->bounds.graceMs / kMsPerS}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", 6'400.0}});
		const std::string callers = process->listening("http");
		absl::MutexLock lock(&this->mutex);
		_gateway.metrics = process->listening("metrics");
		_gateway.callers = this->proxy.link("callers>" + _gateway.name, callers);
		_gateway.process = std::move(process);
		_gateway.version = 0;
		_gateway.stoppedAt = 0;
	}

	void SoakDeployment::addWorker()
	{
		SoakWorker worker;
		worker.id = fmt::format("w{}", this->workers.size());
		worker.process = startTool("stub-worker", {{"id", worker.id}}, this->directory + "/" + worker.id + ".log");
		worker.link = "worker>" + worker.id;
		worker.address = this->proxy.link(worker.link, worker.process->listening("http"));
		this->store.put("servers", worker.id, upstreamJson("svc", worker.address, "ready"));
		this->workers.push_back(std::move(worker));
	}

	void SoakDeployment::configure()
	{
		this->version += 1;
		Json configuration = configurationJson(this->version, {kSteadyKey, this->changingKey()}, Json::array({routeJson(fmt::format("/extra-{}/", this->version), "idempotent")}));
		configuration["services"].push_back({{"name", "maps"}, {"engine", rankEngineJson()}});
		this->record.heldKeys.insert(this->changingKey());
		this->store.put("op", "config", configuration);
		this->configuredAt = nowMs();
	}

	void SoakDeployment::revokeKey()
	{
		const std::string before = this->changingKey();
		this->keysMade += 1;
		this->configure();
		this->record.withdrawnAt[before] = nowMs();
	}

	std::size_t SoakDeployment::beginSpan(const std::string& _part, FaultKind _kind)
	{
		this->record.spans.push_back({_part, _kind, nowMs(), std::numeric_limits<Millis>::max()});
		return this->record.spans.size() - 1;
	}

	void SoakDeployment::revive()
	{
		for (SoakPart& gateway : this->gateways)
		{
			if (!gateway.process->running())
			{
				this->startGateway(gateway);
				const std::size_t span = this->beginSpan(gateway.name, FaultKind::KillGateway);
				this->record.spans[span].until = nowMs();
			}
		}
		for (std::size_t rank = 0; rank < this->sidecars.size(); ++rank)
		{
			if (!this->sidecars[rank].process->running())
			{
				this->startSidecar(rank);
			}
		}
		while (this->livingWorkers() < this->size.workers)
		{
			this->addWorker();
		}
	}

	std::size_t SoakDeployment::livingWorkers() const
	{
		return std::size_t(std::count_if(this->workers.begin(), this->workers.end(), [](const SoakWorker& _worker) {
			return !_worker.leaves && 0 == _worker.removeAt;
		}));
	}

	void SoakDeployment::actAsPlatform()
	{
		for (SoakWorker& worker : this->workers)
		{
			if (0 != worker.removeAt && worker.removeAt <= nowMs())
			{
				this->store.remove("servers", worker.id);
				worker.removeAt = std::numeric_limits<Millis>::max();
			}
			else if (0 == worker.removeAt && !worker.process->running())
			{
				// It ended by itself, at some time since the last look.
				const std::size_t span = this->beginSpan(worker.id, FaultKind::KillWorker);
				this->record.spans[span].until = nowMs();
				this->record.spans[span].from -= kCrashSeenMs;
				worker.removeAt = nowMs() + kCrashedRowMs;
			}
		}
		while (this->livingWorkers() + 1 < this->size.workers)
		{
			this->addWorker(); // one may be gone until a fault is over
		}
		for (SoakPart& gateway : this->gateways)
		{
			const bool stopsLate = 0 != gateway.stoppedAt && nowMs() > gateway.stoppedAt + this->bounds.graceMs;
			if (stopsLate && gateway.process->running())
			{
				gateway.process->kill(); // it may have been frozen meanwhile
			}
		}
	}

	void SoakDeployment::heal()
	{
		this->store.control({{"mode", "up"}, {"delayMs", 0}});
		for (auto* parts : {&this->gateways, &this->sidecars})
		{
			for (SoakPart& part : *parts)
			{
				part.process->signal(SIGCONT);
			}
		}
		for (SoakPart& gateway : this->gateways)
		{
			if (0 != gateway.stoppedAt)
			{
				gateway.process->waitForExit(this->bounds.graceMs);
				gateway.process->kill();
			}
		}
		this->revive();
	}

	void SoakDeployment::controlRanks(const Json& _order)
	{
		for (std::size_t group = 0; group < this->groups.size(); ++group)
		{
			this->controlGroup(group, _order);
		}
	}

	void SoakDeployment::controlGroup(std::size_t _group, const Json& _order)
	{
		clientOf(this->groups[_group].engines.front()).Post("/control", _order.dump(), "application/json");
	}

	SoakDoor SoakDeployment::door(Random& _random)
	{
		absl::MutexLock lock(&this->mutex);
		const SoakPart& gateway = this->gateways[randomBelow(_random, this->gateways.size())];
		return {gateway.name, gateway.callers};
	}

	std::string SoakDeployment::steadyKey()
	{
		return kSteadyKey;
	}

	std::string SoakDeployment::drawKey(Random& _random) const
	{
		constexpr std::uint64_t kOneIn = 20;
		const std::uint64_t draw = randomBelow(_random, kOneIn);
		if (0 == draw)
		{
			return kNobodysKey;
		}
		const std::uint64_t made = this->keysMade;
		// The changing key, and the one before it, which is withdrawn.
		return draw < kOneIn / 2 ? kSteadyKey : keyName(made - std::min<std::uint64_t>(made, draw % 2));
	}

	Json dumpOf(const SoakPart& _gateway)
	{
		httplib::Client client = clientOf(_gateway.metrics);
		client.set_read_timeout(std::chrono::milliseconds(kDumpWaitMs));
		client.set_connection_timeout(std::chrono::milliseconds(kDumpWaitMs));
		const httplib::Result result = client.Get("/dump");
		return result ? Json::parse(result->body, nullptr, false) : Json();
	}
} // namespace archdyke::lab
