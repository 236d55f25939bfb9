#include "chaos.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

#include "archdyke/random.h"
#include "chaos_versions.h"
#include "lab.h"

namespace archdyke::lab
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr Millis kMaxLeaveMs = 3'000; ///< Until a leaving agent gets no new calls.
		constexpr Millis kTickMs = 50;
		constexpr Millis kPollIntervalMs = 250;
		constexpr Millis kSettleTimeoutMs = 40'000;
		constexpr Millis kExitTimeoutMs = 60'000;

		/// A fault in progress.
		struct ActiveFault
		{
			PlannedFault plan;
			Daemon* daemon = nullptr;
			pid_t pid = -1; ///< Process of the daemon when the fault started.
			std::string zone;
			std::string otherZone;
			std::vector<std::unique_ptr<ChildProcess>> commands;
		};

		/// Time in which an agent is leaving because of a planned stop.
		struct LeavingPeriod
		{
			std::string upstream;
			Millis fromMs = 0;
			Millis untilMs = 0; ///< Time of its restart; 0: not restarted yet.
		};

		class Chaos
		{
		public:
			explicit Chaos(const ChaosOptions& _options)
			    : options(_options)
			    , office(makeOptions(_options))
			    , random(_options.seed)
			{
			}

			ChaosResult run()
			{
				if (0 != this->office.apply().exitCode || !this->office.waitReady())
				{
					this->result.notes.emplace_back("the office did not get ready");
					return this->result;
				}
				this->begunAt = nowMs();
				std::atomic<bool> stop{false};
				LoadResult load;
				const LoadOptions loadOptions = this->makeLoad(stop);
				std::thread loadThread([&] {
					load = runLoad(loadOptions);
				});
				this->runFaults();
				this->recover();
				stop = true;
				loadThread.join();
				this->result.settled = this->waitUntilSettled();
				this->checkRecords(load);
				return this->result;
			}

		private:
			static OfficeOptions makeOptions(const ChaosOptions& _options)
			{
				OfficeOptions office;
				office.file = _options.file;
				office.entriesPerZone = 2;
				office.viaProxy = true;
				return office;
			}

			LoadOptions makeLoad(const std::atomic<bool>& _stop)
			{
				LoadOptions load = this->office.loadOptions();
				load.perSecond = this->options.perSecond;
				load.requests = 1'000'000;
				load.seed = this->options.seed;
				load.threads = 96;
				load.stop = &_stop;
				return load;
			}

			Millis since() const
			{
				return nowMs() - this->begunAt;
			}

			void runFaults()
			{
				std::vector<PlannedFault> plan = planFaults(this->options);
				std::vector<ActiveFault> active;
				Millis polledAt = 0;
				while (!plan.empty() || !active.empty())
				{
					if (!plan.empty() && plan.front().startMs <= this->since())
					{
						active.push_back(this->begin(plan.front()));
						plan.erase(plan.begin());
					}
					std::erase_if(active, [&](ActiveFault& _fault) {
						const bool isOver = _fault.plan.startMs + _fault.plan.durationMs <= this->since();
						if (isOver)
						{
							this->end(_fault);
						}
						return isOver;
					});
					if (kPollIntervalMs <= this->since() - polledAt)
					{
						polledAt = this->since();
						this->versions.look();
					}
					pauseMs(kTickMs);
				}
			}

			Daemon& pick(std::vector<std::unique_ptr<Daemon>>& _daemons, std::uint64_t _randomValue)
			{
				return *_daemons[_randomValue % _daemons.size()];
			}

			ActiveFault begin(const PlannedFault& _plan)
			{
				ActiveFault fault;
				fault.plan = _plan;
				this->result.faults[std::string(toString(_plan.kind))] += 1;
				const std::vector<Zone>& zones = this->office.document().zones;
				fault.zone = zones[_plan.randomValue % zones.size()].name;
				fault.otherZone = zones[(_plan.randomValue + 1) % zones.size()].name;
				switch (_plan.kind)
				{
				case FaultKind::KillAgent:
				case FaultKind::FreezeAgent:
				case FaultKind::StopAgent:
					fault.daemon = &this->pick(this->office.agents(), _plan.randomValue);
					this->signalDaemon(fault);
					break;
				case FaultKind::KillEntry:
				case FaultKind::FreezeEntry:
				case FaultKind::StopEntry:
					fault.daemon = &this->pick(this->office.entries(), _plan.randomValue);
					this->signalDaemon(fault);
					break;
				case FaultKind::ResetLinks:
					for (const std::unique_ptr<Daemon>& agent : this->office.agents())
					{
						this->office.linkFaults(Office::linkName(fault.zone, agent->name), {{"reset", true}});
					}
					break;
				case FaultKind::CutZones:
					this->office.cutZones(fault.zone, fault.otherZone, true);
					break;
				case FaultKind::CutPlatform:
					this->office.cutPlatform(fault.zone, true);
					break;
				case FaultKind::PlatformOutage:
					this->office.platformFaults({{"outage", true}});
					break;
				case FaultKind::PlatformSlow:
					this->office.platformFaults({{"delayMs", 400}});
					break;
				case FaultKind::LoseAnswers:
					this->office.platformFaults({{"loseAnswers", 3}});
					break;
				case FaultKind::RaceOperators:
					this->startRace(fault);
					break;
				default:
					this->shiftPopularity(_plan.randomValue);
				}
				return fault;
			}

			void signalDaemon(ActiveFault& _fault)
			{
				_fault.pid = _fault.daemon->process->id();
				switch (_fault.plan.kind)
				{
				case FaultKind::KillAgent:
				case FaultKind::KillEntry:
					_fault.daemon->process->kill();
					break;
				case FaultKind::FreezeAgent:
				case FaultKind::FreezeEntry:
					_fault.daemon->process->signal(SIGSTOP);
					break;
				default:
					_fault.daemon->process->signal(SIGTERM);
					if (FaultKind::StopAgent == _fault.plan.kind)
					{
						this->leaving.push_back({_fault.daemon->name, nowMs(), 0});
					}
				}
			}

			void startRace(ActiveFault& _fault)
			{
				for (int contender = 0; contender < 2; ++contender)
				{
					const int rate = 1'000 + 2 * int(_fault.plan.randomValue % 500) + contender;
					const std::string name = "race-" + std::to_string(_fault.plan.startMs) + "-" + std::to_string(contender) + ".json";
					const std::string file = this->office.changedFile(name, [&](Json& _json) {
						_json["organisations"][0]["requestsPerSecond"] = rate;
					});
					_fault.commands.push_back(this->office.begin({"apply", file, "--platform", this->office.platform(), "--output", "json", "--wait-ms", "6000"}));
				}
			}

			void shiftPopularity(std::uint64_t _randomValue)
			{
				std::vector<double> popularity(64, 1.0);
				popularity[_randomValue % 8] = 12.0;
				popularity[(_randomValue + 1) % 8] = 12.0;
				this->office.controlEngines({{"popularity", popularity}});
			}

			void end(ActiveFault& _fault)
			{
				switch (_fault.plan.kind)
				{
				case FaultKind::FreezeAgent:
				case FaultKind::FreezeEntry:
					_fault.daemon->process->signal(SIGCONT);
					break;
				case FaultKind::StopAgent:
				case FaultKind::StopEntry:
					this->checkStop(*_fault.daemon, _fault.pid);
					this->restartIfStopped(*_fault.daemon);
					break;
				case FaultKind::KillAgent:
				case FaultKind::KillEntry:
					this->restartIfStopped(*_fault.daemon);
					break;
				case FaultKind::CutZones:
					this->office.cutZones(_fault.zone, _fault.otherZone, false);
					break;
				case FaultKind::CutPlatform:
					this->office.cutPlatform(_fault.zone, false);
					break;
				case FaultKind::PlatformOutage:
				case FaultKind::PlatformSlow:
				case FaultKind::LoseAnswers:
					this->office.platformFaults({{"outage", false}, {"delayMs", 0}, {"loseAnswers", 0}});
					break;
				case FaultKind::RaceOperators:
					this->endRace(_fault);
					break;
				default:
					break;
				}
			}

			void checkStop(Daemon& _daemon, pid_t _pid)
			{
				if (_pid != _daemon.process->id())
				{
					return; // Killed and restarted by another fault in the meantime.
				}
				// Another fault may have frozen it in the meantime. If it was killed, this is no planned stop any more.
				_daemon.process->signal(SIGCONT);
				const std::optional<int> code = _daemon.process->waitForExit(kExitTimeoutMs);
				const std::string log = _daemon.process->log();
				const bool killed = code && *code < 0;
				if (!killed && (0 != code || std::string::npos == log.find("event=stopping unfinished=0")))
				{
					this->result.dirtyStops += 1;
					this->result.notes.push_back(_daemon.name + " did not stop in order");
				}
			}

			void restartIfStopped(Daemon& _daemon)
			{
				if (_daemon.process->running())
				{
					return;
				}
				for (LeavingPeriod& item : this->leaving)
				{
					item.untilMs = item.upstream == _daemon.name && 0 == item.untilMs ? nowMs() : item.untilMs;
				}
				this->office.restart(_daemon);
			}

			void endRace(ActiveFault& _fault)
			{
				int accepted = 0;
				std::set<std::uint64_t> versions;
				for (const std::unique_ptr<ChildProcess>& command : _fault.commands)
				{
					if (0 != command->waitForExit(kExitTimeoutMs).value_or(-1))
					{
						continue;
					}
					const Json json = Json::parse(command->output(), nullptr, false);
					accepted += 1;
					versions.insert(json.value("version", std::uint64_t(0)));
					this->versions.accepted(json.value("version", std::uint64_t(0)), nowMs());
				}
				if (versions.size() != std::size_t(accepted))
				{
					this->result.configReverts += 1;
					this->result.notes.emplace_back("two operators got the same version");
				}
				this->result.applies += accepted;
			}

			void recover()
			{
				this->office.platformFaults({{"outage", false}, {"delayMs", 0}, {"loseAnswers", 0}});
				for (auto* daemons : {&this->office.agents(), &this->office.entries()})
				{
					for (const std::unique_ptr<Daemon>& daemon : *daemons)
					{
						daemon->process->signal(SIGCONT);
						this->restartIfStopped(*daemon);
					}
				}
			}

			bool waitUntilSettled()
			{
				const bool ready = this->office.waitReady(kSettleTimeoutMs);
				const bool maps = this->office.waitUntilMapsSettled(kSettleTimeoutMs);
				const std::uint64_t version = Json::parse(this->office.command({"status", "--platform", this->office.platform(), "--output", "json"}).output, nullptr, false).value("version", std::uint64_t(0));
				const bool config = waitUntil(kInForceMs, [&] {
					return std::all_of(this->office.entries().begin(), this->office.entries().end(), [&](const std::unique_ptr<Daemon>& _entry) {
						const Json dump = this->office.dump(*_entry);
						return dump.is_object() && version == dump["config"]["version"].get<std::uint64_t>();
					});
				});
				if (!ready || !maps || !config)
				{
					this->result.notes.push_back(std::string("not settled:") + (ready ? "" : " links") + (maps ? "" : " maps") + (config ? "" : " configuration"));
				}
				return ready && maps && config;
			}

			void checkRecords(const LoadResult& _load)
			{
				this->result.load = summarizeLoad(_load);
				this->result.calls = judge(_load, this->office.runs());
				for (const Json& record : this->office.engineRecords())
				{
					this->result.mapViolations += record["mapViolations"].get<int>();
				}
				for (const CallRecord& call : _load.calls)
				{
					for (const LeavingPeriod& item : this->leaving)
					{
						const bool isLate = call.begunAt > item.fromMs + kMaxLeaveMs && (0 == item.untilMs || call.begunAt + Millis(call.totalMs) < item.untilMs);
						this->result.workAfterLeaving += isLate && call.upstream == item.upstream ? 1 : 0;
					}
				}
			}

			const ChaosOptions options;
			Office office;
			Random random;
			Millis begunAt = 0;
			ChaosResult result;
			VersionMonitor versions{office, result};
			std::vector<LeavingPeriod> leaving;
		};
	} // namespace

	ChaosResult runChaos(const ChaosOptions& _options)
	{
		return Chaos(_options).run();
	}
} // namespace archdyke::lab
