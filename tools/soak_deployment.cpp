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
		/// Little, so that clients that don't behave make it short.
		constexpr double kGatewayMemoryMb = 24.0;
		constexpr Millis kMaxCrashDetectionMs = 500;  ///< Upper bound of the time between a crash and its detection, with a margin.
		constexpr Millis kCrashedRowExpiryMs = 1'500; ///< Until the row of a crashed upstream expires.
		const SoakSize kDefaultSize{3, 4, {4, 3}};
		/// About a hundred processes, which leaves room for other runs on the machine.
		const SoakSize kLargeSize{16, 40, {24, 12, 8}};
		/// Timeout of a state dump, ms. Short because a frozen gateway does not respond.
		constexpr Millis kDumpTimeoutMs = 200;
		constexpr Millis kMsPerS = 1'000;
		/// Timeout of the routes for requests whose bodies end late, ms: longer than a grace period.
		constexpr Millis kLateTimeoutMs = 12'000;
		constexpr const char* kPermanentKey = "key-steady";
		constexpr const char* kUnknownKey = "key-of-nobody";

		std::string makeDirectory(std::uint64_t _seed)
		{
			std::string pattern = (std::filesystem::temp_directory_path() / fmt::format("archdyke-soak-{}-XXXXXX", _seed)).string();
			if (nullptr == mkdtemp(pattern.data()))
			{
				throw std::runtime_error("cannot create a directory for the logs of a soak run; check the free space for temporary files");
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
	    , size(_large ? kLargeSize : kDefaultSize)
	    , store(this->directory + "/store.log")
	    , proxy(this->directory + "/proxy.log")
	{
		this->record.knownKeys = {kPermanentKey};
	}

	/// Derives loopback addresses from the process id, so that runs on the same machine don't share them.
	std::string SoakDeployment::ipOf(std::size_t _sidecar) const
	{
		const int process = getpid();
		return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + _sidecar);
	}

	std::string SoakDeployment::rotatingKey() const
	{
		return keyName(this->rotations);
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
		throw std::out_of_range("the deployment has no sidecar with this index");
	}

	std::unique_ptr<ChildProcess> SoakDeployment::startDaemon(SoakPart& _part, const std::string& _program, Json _settings)
	{
		const std::string path = fmt::format("{}/{}.json", this->directory, _part.name);
		_part.wasKilled = false;
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
		auto process = this->startDaemon(_gateway, "archdyke-gateway", {{"ip", "127.0.0.1"}, {"metrics", "127.0.0.1:0"}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", this->bounds.revocationMs}, {"graceS", this->bounds.graceMs / kMsPerS}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", 6'400.0}, {"memoryMb", kGatewayMemoryMb}});
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
		Json lateSafe = routeJson("/latesafe/", "idempotent");
		Json lateOnce = routeJson("/lateonce/", "non_idempotent");
		lateSafe["timeoutMs"] = kLateTimeoutMs;
		lateOnce["timeoutMs"] = kLateTimeoutMs;
		Json configuration = configurationJson(this->version, {kPermanentKey, this->rotatingKey()}, Json::array({routeJson(fmt::format("/extra-{}/", this->version), "idempotent"), lateSafe, lateOnce}));
		configuration["limits"]["maxBodyBytes"] = this->maxBodyBytes;
		configuration["services"].push_back({{"name", "maps"}, {"engine", rankEngineJson()}});
		this->record.knownKeys.insert(this->rotatingKey());
		this->store.put("op", "config", configuration);
		this->configuredAt = nowMs();
	}

	void SoakDeployment::revokeKey()
	{
		const std::string before = this->rotatingKey();
		this->rotations += 1;
		this->configure();
		this->record.revokedAt[before] = nowMs();
	}

	std::size_t SoakDeployment::beginSpan(const std::string& _part, FaultKind _kind)
	{
		this->record.spans.push_back({_part, _kind, nowMs(), std::numeric_limits<Millis>::max()});
		return this->record.spans.size() - 1;
	}

	void SoakDeployment::restartExitedParts()
	{
		for (SoakPart& gateway : this->gateways)
		{
			if (!gateway.process->running())
			{
				this->recordExit(gateway);
				const std::size_t span = this->beginSpan(gateway.name, FaultKind::KillGateway); // no process reads requests until it listens
				this->startGateway(gateway);
				this->record.spans[span].until = nowMs();
			}
		}
		for (std::size_t rank = 0; rank < this->sidecars.size(); ++rank)
		{
			if (!this->sidecars[rank].process->running())
			{
				this->recordExit(this->sidecars[rank]);
				this->startSidecar(rank);
			}
		}
		while (this->activeWorkers() < this->size.workers)
		{
			this->addWorker();
		}
	}

	void SoakDeployment::recordExit(SoakPart& _part)
	{
		if (!_part.wasKilled && 0 == _part.stoppedAt)
		{
			this->record.exits.push_back({_part.name, nowMs(), _part.process->waitForExit(0).value_or(0)});
		}
	}

	void SoakDeployment::putOddRow(std::uint64_t _randomValue)
	{
		constexpr std::size_t kDeepNesting = 100'000;
		const std::string worker = R"({"service":"svc","zone":"here","state":"ready",)";
		const std::string values[] = {
		    std::string(kDeepNesting, '['),
		    worker + R"("slots":4,"address":)" + std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']') + "}",
		    worker + R"("address":"127.0.0.1:9","slots":99999999999999999999999})",
		    worker + R"("address":"127.0.0.1:9","slots":1e400})",
		    worker + R"("address":"127.0.0.1:9","slots":-1,"coldLeftMs":-1e308})",
		    worker + R"("address":"127.0.0.1:99999","slots":4})",
		    worker + R"("address":"127.0.0.1:18446744073709551617","slots":4})",
		    worker + R"("address":":0","slots":4})",
		    worker + R"("address":7,"slots":"many"})",
		    "not an entry",
		    ""};
		this->store.putIn("servers", "", oddRowKey(_randomValue), values[_randomValue % std::size(values)]);
	}

	std::string SoakDeployment::oddRowKey(std::uint64_t _randomValue)
	{
		return fmt::format("odd-{:x}", _randomValue);
	}

	std::size_t SoakDeployment::activeWorkers() const
	{
		return std::size_t(std::count_if(this->workers.begin(), this->workers.end(), [](const SoakWorker& _worker) {
			return !_worker.isLeaving && 0 == _worker.removeAt;
		}));
	}

	void SoakDeployment::drainWorker(SoakWorker& _worker)
	{
		_worker.isLeaving = true;
		this->store.put("servers", _worker.id, upstreamJson("svc", _worker.address, "draining"));
		this->record.leavingAt[_worker.id] = nowMs();
	}

	SoakWorker& SoakDeployment::newestActiveWorker()
	{
		const auto found = std::find_if(this->workers.rbegin(), this->workers.rend(), [](const SoakWorker& _worker) {
			return !_worker.isLeaving && 0 == _worker.removeAt && _worker.process->running();
		});
		if (this->workers.rend() == found)
		{
			throw std::runtime_error("no upstream runs; see the logs in " + this->directory);
		}
		return *found;
	}

	void SoakDeployment::emulatePlatform()
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
				// It exited by itself, at an unknown time since the last check.
				const std::size_t span = this->beginSpan(worker.id, FaultKind::KillWorker);
				this->record.spans[span].until = nowMs();
				this->record.spans[span].from -= kMaxCrashDetectionMs;
				worker.removeAt = nowMs() + kCrashedRowExpiryMs;
			}
		}
		while (this->activeWorkers() + 1 < this->size.workers)
		{
			this->addWorker(); // one may be missing until its fault ends
		}
		for (SoakPart& gateway : this->gateways)
		{
			const bool stopsLate = 0 != gateway.stoppedAt && nowMs() > gateway.stoppedAt + this->bounds.graceMs;
			if (stopsLate && gateway.process->running())
			{
				gateway.wasKilled = true;
				gateway.process->kill(); // it may have been frozen in the meantime
			}
		}
	}

	void SoakDeployment::recover()
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
		this->restartExitedParts();
	}

	void SoakDeployment::controlRanks(const Json& _control)
	{
		for (std::size_t group = 0; group < this->groups.size(); ++group)
		{
			this->controlGroup(group, _control);
		}
	}

	void SoakDeployment::controlGroup(std::size_t _group, const Json& _control)
	{
		clientOf(this->groups[_group].engines.front()).Post("/control", _control.dump(), "application/json");
	}

	SoakGatewayAddress SoakDeployment::pickGateway(Random& _random)
	{
		absl::MutexLock lock(&this->mutex);
		const SoakPart& gateway = this->gateways[randomBelow(_random, this->gateways.size())];
		return {gateway.name, gateway.callers};
	}

	std::string SoakDeployment::permanentKey()
	{
		return kPermanentKey;
	}

	std::string SoakDeployment::pickKey(Random& _random) const
	{
		constexpr std::uint64_t kKeyChoices = 20;
		const std::uint64_t pick = randomBelow(_random, kKeyChoices);
		if (0 == pick)
		{
			return kUnknownKey;
		}
		const std::uint64_t made = this->rotations;
		// Chooses the rotating key or its predecessor, which is revoked.
		return pick < kKeyChoices / 2 ? kPermanentKey : keyName(made - std::min<std::uint64_t>(made, pick % 2));
	}

	Json dumpOf(const SoakPart& _gateway)
	{
		httplib::Client client = clientOf(_gateway.metrics);
		client.set_read_timeout(std::chrono::milliseconds(kDumpTimeoutMs));
		client.set_connection_timeout(std::chrono::milliseconds(kDumpTimeoutMs));
		const httplib::Result result = client.Get("/dump");
		return result ? Json::parse(result->body, nullptr, false) : Json();
	}
} // namespace archdyke::lab
