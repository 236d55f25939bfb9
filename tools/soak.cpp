#include "soak.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <thread>
#include <unistd.h>

#include "archdyke/random.h"
#include "platform_lab.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr std::size_t kGateways = 3;
		constexpr std::size_t kWorkers = 4;
		constexpr std::size_t kRanks = 4;
		constexpr std::size_t kClients = 8;
		constexpr int kEvents = 12;             ///< Of a stream of the stand-in.
		constexpr int kCallsOfAConnection = 25; ///< Then a client goes to another gateway.
		constexpr Millis kPatienceMs = 1'500;
		constexpr Millis kTickMs = 25;
		constexpr Millis kRowLapsesMs = 1'500; ///< After a kill; three heartbeats of half a second.
		constexpr Millis kReadyMs = 15'000;
		constexpr Millis kDelayMs = 150;     ///< Of each piece on a delayed link.
		constexpr Millis kSlowStoreMs = 250; ///< Of each answer of a slow store.
		constexpr Millis kInForceMs = 2'000; ///< A configuration, at a gateway in touch.
		constexpr const char* kSteadyKey = "key-steady";
		constexpr const char* kNobodysKey = "key-of-nobody";

		/// A daemon or stand-in that is killed and started again.
		struct Part
		{
			std::string name;
			std::unique_ptr<ChildProcess> process;
			std::string callers; ///< Of a gateway.
			std::string metrics;
			bool down = false;
			Millis stoppedAt = 0; ///< When it got the stop signal; 0: it didn't.
			std::uint64_t version = 0;
		};

		struct Worker
		{
			std::string id;
			std::string link;
			std::unique_ptr<ChildProcess> process;
			Millis removeAt = 0; ///< When its row lapses; 0: it stays.
			bool leaves = false;
		};

		class Soak
		{
		public:
			explicit Soak(const ChaosOptions& _options)
			    : options(_options)
			    , directory(makeDirectory(_options.seed))
			    , store(this->directory + "/store.log")
			    , proxy(this->directory + "/proxy.log")
			    , random(_options.seed)
			{
				this->record.heldKeys = {kSteadyKey};
			}

			SoakResult run()
			{
				this->startAll();
				std::vector<std::thread> clients;
				for (std::size_t index = 0; index < kClients; ++index)
				{
					clients.emplace_back([this, index] {
						this->call(index);
					});
				}
				this->playFaults();
				this->heal();
				const bool settled = this->settle();
				this->over = true;
				for (std::thread& client : clients)
				{
					client.join();
				}
				this->readRuns();
				this->finish(settled);
				return std::move(this->result);
			}

		private:
			static std::string makeDirectory(std::uint64_t _seed)
			{
				std::string pattern = (std::filesystem::temp_directory_path() / fmt::format("archdyke-soak-{}-XXXXXX", _seed)).string();
				if (nullptr == mkdtemp(pattern.data()))
				{
					throw std::runtime_error("no directory for the logs of a soak; make room for temporary files");
				}
				return pattern;
			}

			/// Loopback addresses that no other run on this machine uses.
			std::string ipOf(std::size_t _rank) const
			{
				const int process = getpid();
				return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + _rank);
			}

			void startAll()
			{
				Json addresses = Json::array();
				for (std::size_t rank = 0; rank < kRanks; ++rank)
				{
					addresses.push_back(this->ipOf(rank) + ":0");
				}
				this->ranks = startTool("stub-ranks", {{"addresses", addresses}, {"sets", 2}, {"experts", 8}, {"passMs", 15}}, this->directory + "/ranks.log");
				std::istringstream list(this->ranks->listening("http"));
				for (std::string address; std::getline(list, address, ',');)
				{
					this->store.put("servers", fmt::format("rank-{}", this->engines.size()), upstreamJson("maps", address, "ready"));
					this->engines.push_back(address);
				}
				for (std::size_t index = 0; index < kWorkers; ++index)
				{
					this->addWorker();
				}
				this->configure();
				for (std::size_t rank = 0; rank < kRanks; ++rank)
				{
					this->sidecars.push_back({fmt::format("sidecar-{}", rank), nullptr, "", "", false, 0, 0});
					this->startSidecar(rank);
				}
				for (std::size_t index = 0; index < kGateways; ++index)
				{
					this->gateways.push_back({fmt::format("gateway-{}", index), nullptr, "", "", false, 0, 0});
					this->startGateway(this->gateways.back());
				}
				if (!this->settle())
				{
					throw std::runtime_error("the deployment did not get ready; logs in " + this->directory);
				}
			}

			void startSidecar(std::size_t _rank)
			{
				const std::string path = fmt::format("{}/sidecar-{}.json", this->directory, _rank);
				const std::string way = this->proxy.link(fmt::format("store<sidecar-{}", _rank), this->store.address);
				std::ofstream(path) << Json{{"name", fmt::format("sidecar-{}", _rank)}, {"zone", "here"}, {"ip", this->ipOf(_rank)}, {"peerPort", 7340}, {"metrics", this->ipOf(_rank) + ":7341"}, {"store", way}, {"upstream", this->engines[_rank]}, {"service", "maps"}}.dump();
				this->sidecars[_rank].process = std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-sidecar", std::vector<std::string>{"--settings", path}, this->logPath(this->sidecars[_rank].name));
				this->sidecars[_rank].down = false;
			}

			std::string logPath(const std::string& _name)
			{
				return fmt::format("{}/{}-{}.log", this->directory, _name, this->starts[_name]++);
			}

			void startGateway(Part& _gateway)
			{
				const std::string path = fmt::format("{}/{}.json", this->directory, _gateway.name);
				const std::string way = this->proxy.link("store<" + _gateway.name, this->store.address);
				std::ofstream(path) << Json{{"name", _gateway.name}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", 7340}, {"metrics", "127.0.0.1:0"}, {"store", way}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", this->bounds.revocationMs}, {"graceS", this->bounds.graceMs / 1'000}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", 6'400.0}}.dump();
				auto process = std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-gateway", std::vector<std::string>{"--settings", path}, this->logPath(_gateway.name));
				const std::string callers = process->listening("http");
				absl::MutexLock lock(&this->mutex);
				_gateway.metrics = process->listening("metrics");
				_gateway.callers = this->proxy.link("callers>" + _gateway.name, callers);
				_gateway.process = std::move(process);
				_gateway.version = 0;
				_gateway.stoppedAt = 0;
				_gateway.down = false;
			}

			void addWorker()
			{
				Worker worker;
				worker.id = fmt::format("w{}", this->workersMade++);
				worker.process = startTool("stub-worker", {{"id", worker.id}}, this->directory + "/" + worker.id + ".log");
				worker.link = "worker>" + worker.id;
				const std::string address = this->proxy.link(worker.link, worker.process->listening("http"));
				this->store.put("servers", worker.id, upstreamJson("svc", address, "ready"));
				this->addresses[worker.id] = address;
				this->workers.push_back(std::move(worker));
			}

			/// Writes a newer configuration with the keys that are held now.
			void configure()
			{
				Json configuration = configurationJson(++this->version, {kSteadyKey, this->changingKey()}, Json::array({routeJson(fmt::format("/extra-{}/", this->version), "idempotent")}));
				configuration["services"].push_back({{"name", "maps"}, {"engine", rankEngineJson()}});
				{
					absl::MutexLock lock(&this->mutex);
					this->record.heldKeys.insert(this->changingKey());
				}
				this->store.put("op", "config", configuration);
				this->configuredAt = nowMs();
			}

			std::string changingKey() const
			{
				return fmt::format("key-{}", this->keysMade);
			}

			// Callers.

			std::string drawKey(Random& _random)
			{
				constexpr std::uint64_t kOneIn = 20;
				const std::uint64_t draw = randomBelow(_random, kOneIn);
				if (0 == draw)
				{
					return kNobodysKey;
				}
				const std::uint64_t made = this->keysMade;
				// The changing key, and the one before it, which is withdrawn.
				return draw < kOneIn / 2 ? kSteadyKey : fmt::format("key-{}", made - std::min<std::uint64_t>(made, draw % 2));
			}

			static std::string expectedBody(SoakKind _kind, const std::string& _target)
			{
				if (SoakKind::Stream != _kind)
				{
					return "GET " + _target + " ";
				}
				std::string body;
				for (int event = 1; event <= kEvents; ++event)
				{
					body += fmt::format("id: {}\ndata: piece {}\n\n", event, event);
				}
				return body;
			}

			SoakCall callOnce(httplib::Client& _client, const std::string& _gateway, const std::string& _id, Random& _random)
			{
				SoakCall call;
				call.id = _id;
				call.kind = SoakKind(randomBelow(_random, std::uint64_t(SoakKind::Count)));
				call.key = this->drawKey(_random);
				call.gateway = _gateway;
				const std::string path = SoakKind::Safe == call.kind ? "/safe/x" : (SoakKind::Once == call.kind ? "/once/x" : "/stream/x?do=stream");
				const httplib::Headers headers{{"Host", "office.example"}, {"X-Archdyke-Request-Id", _id}, {"X-Archdyke-Deadline-Ms", std::to_string(kPatienceMs)}, {"X-Api-Key", call.key}};
				call.sentAt = nowMs();
				const httplib::Result got = _client.Get(path, headers);
				call.endedAt = nowMs();
				call.status = got ? got->status : 0;
				call.whole = got && expectedBody(call.kind, path) == got->body;
				return call;
			}

			void call(std::size_t _index)
			{
				Random random(this->options.seed * 1'000 + _index);
				std::uint64_t made = 0;
				while (!this->over)
				{
					std::string gateway;
					std::string address;
					{
						absl::MutexLock lock(&this->mutex);
						const Part& part = this->gateways[randomBelow(random, this->gateways.size())];
						gateway = part.name;
						address = part.callers;
					}
					httplib::Client client = clientOf(address);
					client.set_keep_alive(true);
					client.set_connection_timeout(1);
					client.set_read_timeout(std::chrono::milliseconds(kPatienceMs + 500));
					for (int calls = 0; calls < kCallsOfAConnection && !this->over; ++calls)
					{
						SoakCall call = this->callOnce(client, gateway, fmt::format("c{}-{}", _index, made++), random);
						const bool broken = 0 == call.status;
						{
							absl::MutexLock lock(&this->mutex);
							this->record.calls.push_back(std::move(call));
						}
						pauseMs(broken ? kTickMs : Millis(randomBelow(random, 30)));
						if (broken)
						{
							break;
						}
					}
				}
			}

			// Faults.

			std::size_t beginSpan(const std::string& _part, FaultKind _kind)
			{
				this->record.spans.push_back({_part, _kind, nowMs(), std::numeric_limits<Millis>::max()});
				return this->record.spans.size() - 1;
			}

			void playFaults()
			{
				std::vector<PlannedFault> plan = planFaults(this->options);
				struct Active
				{
					PlannedFault fault;
					std::size_t target = 0;
					std::size_t span = 0;
				};
				std::vector<Active> active;
				const Millis begunAt = nowMs();
				while (!plan.empty() || !active.empty())
				{
					const Millis since = nowMs() - begunAt;
					if (!plan.empty() && plan.front().startMs <= since)
					{
						Active item{plan.front(), std::size_t(plan.front().dice), 0};
						this->result.faults[std::string(toString(item.fault.kind))] += 1;
						item.span = this->begin(item.fault.kind, item.target);
						active.push_back(item);
						plan.erase(plan.begin());
					}
					for (auto it = active.begin(); active.end() != it;)
					{
						const bool ended = it->fault.startMs + it->fault.lastMs <= since;
						if (ended)
						{
							this->end(it->fault.kind, it->target);
							this->record.spans[it->span].until = nowMs();
						}
						it = ended ? active.erase(it) : it + 1;
					}
					this->lookAround();
					pauseMs(kTickMs);
				}
			}

			/// @param[in,out] _target A draw; then the index of what was struck.
			/// @returns Index of its span.
			std::size_t begin(FaultKind _kind, std::size_t& _target)
			{
				switch (_kind)
				{
				case FaultKind::KillGateway:
				case FaultKind::FreezeGateway:
				case FaultKind::StopGateway:
					_target %= this->gateways.size();
					return this->strike(this->gateways[_target], _kind);
				case FaultKind::KillSidecar:
				case FaultKind::FreezeSidecar:
					_target %= this->sidecars.size();
					return this->strike(this->sidecars[_target], _kind);
				case FaultKind::KillWorker:
				case FaultKind::FreezeWorker:
				case FaultKind::DrainWorker:
					_target %= this->workers.size();
					return this->strikeWorker(this->workers[_target], _kind);
				case FaultKind::DelayLinks:
				case FaultKind::ResetWorkerLinks:
					return this->strikeLinks(_kind);
				case FaultKind::CutStoreOneWay:
					_target %= this->gateways.size();
					this->proxy.faults("store<" + this->gateways[_target].name, {{"cutToClient", true}});
					return this->beginSpan(this->gateways[_target].name, _kind);
				case FaultKind::RevokeKey:
					this->revoke();
					return this->beginSpan("-", _kind);
				case FaultKind::ChangeConfiguration:
					this->configure();
					return this->beginSpan("-", _kind);
				case FaultKind::LateOrders:
					clientOf(this->engines.front()).Post("/control", R"({"lateShare":0.35})", "application/json");
					return this->beginSpan("ranks", _kind);
				case FaultKind::FormAnew:
					clientOf(this->engines.front()).Post("/control", R"({"formAnew":true})", "application/json");
					return this->beginSpan("ranks", _kind);
				default:
					return this->strikeStore(_kind);
				}
			}

			std::size_t strike(Part& _part, FaultKind _kind)
			{
				const std::size_t span = this->beginSpan(_part.name, _kind);
				const bool kill = FaultKind::KillGateway == _kind || FaultKind::KillSidecar == _kind;
				const bool freeze = FaultKind::FreezeGateway == _kind || FaultKind::FreezeSidecar == _kind;
				if (kill)
				{
					_part.process->kill();
					_part.down = true;
				}
				else
				{
					_part.process->signal(freeze ? SIGSTOP : SIGTERM);
					_part.stoppedAt = freeze ? _part.stoppedAt : nowMs();
				}
				return span;
			}

			std::size_t strikeWorker(Worker& _worker, FaultKind _kind)
			{
				const std::size_t span = this->beginSpan(_worker.id, _kind);
				if (FaultKind::KillWorker == _kind)
				{
					_worker.process->kill();
					_worker.removeAt = nowMs() + kRowLapsesMs;
				}
				else if (FaultKind::FreezeWorker == _kind)
				{
					_worker.process->signal(SIGSTOP);
				}
				else if (!_worker.leaves)
				{
					_worker.leaves = true;
					this->store.put("servers", _worker.id, upstreamJson("svc", this->addresses[_worker.id], "draining"));
					this->record.leavingAt[_worker.id] = nowMs();
				}
				return span;
			}

			std::size_t strikeLinks(FaultKind _kind)
			{
				const bool delay = FaultKind::DelayLinks == _kind;
				for (const Worker& worker : this->workers)
				{
					this->proxy.faults(worker.link, delay ? Json{{"delayMs", kDelayMs}} : Json{{"reset", true}});
				}
				return this->beginSpan("links", _kind);
			}

			std::size_t strikeStore(FaultKind _kind)
			{
				Json control = Json::object();
				switch (_kind)
				{
				case FaultKind::StoreSilent:
					control["mode"] = "silent";
					break;
				case FaultKind::StoreBusy:
					control["mode"] = "busy";
					break;
				case FaultKind::StoreLose:
					control["mode"] = "lose";
					break;
				case FaultKind::StoreSlow:
					control["delayMs"] = kSlowStoreMs;
					break;
				default:
					control["forget"] = true;
				}
				this->store.control(control);
				return this->beginSpan("store", _kind);
			}

			void revoke()
			{
				const std::string before = this->changingKey();
				this->keysMade += 1;
				this->configure();
				this->record.withdrawnAt[before] = nowMs();
			}

			void end(FaultKind _kind, std::size_t _target)
			{
				switch (_kind)
				{
				case FaultKind::FreezeGateway:
					this->gateways[_target].process->signal(SIGCONT);
					break;
				case FaultKind::FreezeSidecar:
					this->sidecars[_target].process->signal(SIGCONT);
					break;
				case FaultKind::FreezeWorker:
					if (_target < this->workers.size())
					{
						this->workers[_target].process->signal(SIGCONT);
					}
					break;
				case FaultKind::CutStoreOneWay:
					this->proxy.faults("store<" + this->gateways[_target].name, {{"cutToClient", false}});
					break;
				case FaultKind::DelayLinks:
					for (const Worker& worker : this->workers)
					{
						this->proxy.faults(worker.link, {{"delayMs", 0}});
					}
					break;
				case FaultKind::StoreSilent:
				case FaultKind::StoreBusy:
				case FaultKind::StoreLose:
				case FaultKind::StoreSlow:
					this->store.control({{"mode", "up"}, {"delayMs", 0}});
					break;
				case FaultKind::LateOrders:
					clientOf(this->engines.front()).Post("/control", R"({"lateShare":0.0})", "application/json");
					break;
				default:
					break;
				}
				this->revive();
			}

			/// Starts again what has ended; a stopped gateway ends by itself.
			void revive()
			{
				for (Part& gateway : this->gateways)
				{
					const bool ended = !gateway.process->running();
					if (ended)
					{
						this->startGateway(gateway);
						this->beginSpan(gateway.name, FaultKind::KillGateway);
						this->record.spans.back().until = nowMs();
					}
				}
				for (std::size_t rank = 0; rank < this->sidecars.size(); ++rank)
				{
					if (!this->sidecars[rank].process->running())
					{
						this->startSidecar(rank);
					}
				}
				while (this->livingWorkers() < kWorkers)
				{
					this->addWorker();
				}
			}

			std::size_t livingWorkers()
			{
				return std::size_t(std::count_if(this->workers.begin(), this->workers.end(), [](const Worker& _worker) {
					return !_worker.leaves && 0 == _worker.removeAt;
				}));
			}

			/// Rows that lapse, and what gateways say of themselves.
			void lookAround()
			{
				for (Worker& worker : this->workers)
				{
					if (0 != worker.removeAt && worker.removeAt <= nowMs())
					{
						this->store.remove("servers", worker.id);
						worker.removeAt = std::numeric_limits<Millis>::max();
					}
				}
				for (Part& gateway : this->gateways)
				{
					const bool stopsLate = 0 != gateway.stoppedAt && nowMs() > gateway.stoppedAt + this->bounds.graceMs;
					if (stopsLate && gateway.process->running())
					{
						gateway.process->kill(); // as the platform does; it may have been frozen meanwhile
					}
				}
				const Millis now = nowMs();
				if (now - this->lookedAt < 10 * kTickMs)
				{
					return;
				}
				this->lookedAt = now;
				for (Part& gateway : this->gateways)
				{
					this->checkVersion(gateway);
				}
			}

			static Json dumpOf(const Part& _gateway)
			{
				httplib::Client client = clientOf(_gateway.metrics);
				client.set_read_timeout(std::chrono::milliseconds(200));
				client.set_connection_timeout(std::chrono::milliseconds(200));
				const httplib::Result result = client.Get("/dump");
				return result ? Json::parse(result->body, nullptr, false) : Json();
			}

			void checkVersion(Part& _gateway)
			{
				const Millis askedAt = nowMs();
				const Json dump = dumpOf(_gateway);
				if (!dump.is_object())
				{
					return;
				}
				const std::uint64_t version = dump.value("catalog", std::uint64_t(0));
				if (version < _gateway.version)
				{
					this->result.violations.add("configuration_went_back", fmt::format("{} from {} to {}", _gateway.name, _gateway.version, version));
				}
				_gateway.version = version;
				const bool due = askedAt > this->configuredAt + kInForceMs && version < this->version;
				if (due && this->isCalm(_gateway.name, this->configuredAt - this->bounds.contactMs, askedAt))
				{
					this->result.violations.add("configuration_late", fmt::format("{} has version {} of {}, {} ms after it was confirmed", _gateway.name, version, this->version, askedAt - this->configuredAt));
				}
			}

			bool isCalm(const std::string& _gateway, Millis _from, Millis _until) const
			{
				return std::none_of(this->record.spans.begin(), this->record.spans.end(), [&](const SoakSpan& _span) {
					const bool its = _span.part == _gateway || "store" == _span.part;
					return its && _span.from <= _until && _from <= _span.until;
				});
			}

			void heal()
			{
				this->store.control({{"mode", "up"}, {"delayMs", 0}});
				for (auto* parts : {&this->gateways, &this->sidecars})
				{
					for (Part& part : *parts)
					{
						part.process->signal(SIGCONT);
					}
				}
				for (Part& gateway : this->gateways)
				{
					if (0 != gateway.stoppedAt)
					{
						gateway.process->waitForExit(this->bounds.graceMs);
						gateway.process->kill();
					}
				}
				this->revive();
			}

			/// Waits until all gateways are ready, on the newest configuration and know all workers.
			bool settle()
			{
				return waitUntil(kReadyMs, [&] {
					this->lookAround();
					return std::all_of(this->gateways.begin(), this->gateways.end(), [&](const Part& _gateway) {
						const Json dump = dumpOf(_gateway);
						return dump.is_object() && dump.value("ready", false) && this->version == dump.value("catalog", std::uint64_t(0));
					});
				});
			}

			void readRuns()
			{
				for (const Worker& worker : this->workers)
				{
					std::istringstream lines(worker.process->output());
					for (std::string line; std::getline(lines, line);)
					{
						if (line.starts_with("run "))
						{
							this->record.runs.push_back({fieldOf(line, "request"), worker.id, std::stoll(fieldOf(line, "at"))});
						}
					}
				}
			}

			void finish(bool _settled)
			{
				for (const SoakCall& call : this->record.calls)
				{
					this->result.statuses[call.status] += 1;
				}
				SoakViolations judged = judgeSoak(this->record, this->bounds);
				for (const std::string& line : judged.lines)
				{
					this->result.violations.add(line.substr(0, line.find(':')), line.substr(line.find(':') + 2));
				}
				const httplib::Result ranks = clientOf(this->engines.front()).Get("/record");
				const int splits = ranks ? Json::parse(ranks->body).value("splits", 0) : -1;
				if (0 != splits)
				{
					this->result.violations.add("maps_differ", fmt::format("{} passes", splits));
				}
				if (!_settled)
				{
					this->result.violations.add("not_settled", "a gateway isn't ready or not on the newest configuration after all was healed");
				}
				if (0 == this->result.violations.total())
				{
					std::filesystem::remove_all(this->directory);
					return;
				}
				this->result.violations.lines.push_back("logs: " + this->directory);
			}

			const ChaosOptions options;
			const std::string directory;
			const SoakBounds bounds;
			StoreStub store;
			ProxyStub proxy;
			Random random;
			std::unique_ptr<ChildProcess> ranks;
			std::vector<std::string> engines;
			std::vector<Part> sidecars;
			std::vector<Worker> workers;
			std::map<std::string, std::string> addresses; ///< Of workers, by id: their links.
			std::map<std::string, int> starts;            ///< By name.
			std::uint64_t workersMade = 0;
			std::uint64_t version = 0;
			Millis configuredAt = 0;
			Millis lookedAt = 0;
			std::atomic<std::uint64_t> keysMade{0};
			std::atomic<bool> over{false};
			absl::Mutex mutex;
			std::vector<Part> gateways; ///< Their addresses under the mutex.
			SoakRecord record;          ///< Calls and held keys under the mutex while clients run.
			SoakResult result;
		};
	} // namespace

	SoakResult runSoak(const ChaosOptions& _options)
	{
		return Soak(_options).run();
	}
} // namespace archdyke::lab
