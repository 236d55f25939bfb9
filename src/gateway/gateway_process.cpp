#include "gateway/gateway_process.h"

#include <algorithm>
#include <csignal>
#include <kj/async-io.h>
#include <nlohmann/json.hpp>

#include "aio/loop.h"
#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "base/version.h"
#include "gateway/caller_server.h"
#include "gateway/daemon.h"
#include "gateway/load_link.h"
#include "http/http_listener.h"
#include "store/counted_store.h"
#include "store/era_store.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Time for the answers at the end of a stop, ms: above the interval in which requests check whether it has come. After a
		/// suspension it may begin late.
		constexpr Millis kMinAnswerMs = 300;
		/// Interval between checks for requests in progress, ms.
		constexpr Millis kStopPollIntervalMs = 20;

		/// @returns The address with the port that was bound.
		std::string withPort(const std::string& _address, unsigned _port)
		{
			return _address.substr(0, _address.rfind(':') + 1) + std::to_string(_port);
		}

		/// The components of a gateway, in order of construction.
		class GatewayProcess
		{
		public:
			GatewayProcess(const Deployment& _deployment, GatewaySettings _settings, std::string _settingsPath, kj::AsyncIoContext& _io)
			    : path(std::move(_settingsPath))
			    , io(_io)
			    , loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , counters(this->metrics)
			    , state(std::move(_settings), _deployment.codec, this->loop, this->counters, randomId())
			    , tableStore(std::make_unique<store::EraStore>(std::make_unique<store::CountedStore>(_deployment.makeStore(this->loop, this->state.settings.place.store), this->metrics), this->metrics))
			    , watch(this->state, *this->tableStore, _deployment.tables, _deployment.decoders)
			    , loads(this->state, this->watch)
			    , callers(this->state, this->state.settings.callers)
			    , readiness(this->loop, this->state.settings.readiness, http::serveRequests([this](const http::RequestHead&) {
				                return this->readinessResponse();
			                }),
			                &this->state.resources, http::adminLimits(descriptorLimit()))
			    , admin(this->loop, this->state.settings.place.metrics, http::serveRequests([this](const http::RequestHead& _head) {
				            return this->adminResponse(_head);
			            }),
			            &this->state.resources, http::adminLimits(descriptorLimit()))
			{
				const Place& place = this->state.settings.place;
				logInfo("start", {{"version", kVersion}, {"zone", place.zone}, {"callers", this->state.settings.callers}, {"store", place.store}, {"metrics", place.metrics}, {"settings", this->path}});
				logInfo("listening", {{"http", withPort(this->state.settings.callers, this->callers.port())}, {"readiness", withPort(this->state.settings.readiness, this->readiness.port())}, {"metrics", withPort(place.metrics, this->admin.port())}});
				this->reloading = this->reload().take().eagerlyEvaluate(nullptr);
			}

			/// Serves until a stop signal, then lets requests in progress finish.
			aio::Task<void> run()
			{
				co_await stopSignal(this->io.unixEventPort);
				const Millis stoppedAt = nowMs();
				const StopPlan plan = planStop(stoppedAt, this->state.settings.bounds.graceMs);
				this->state.stop = plan;
				logInfo("leaving", {{"in_flight", this->state.inFlight}, {"grace_ms", this->state.settings.bounds.graceMs}});
				co_await this->pollUntil(plan.takeUntil);
				this->callers.stopReading();
				co_await this->pollUntil(plan.answerBy);
				co_await this->pollUntil(std::max(plan.endBy, nowMs() + kMinAnswerMs));
				logInfo("stop", {{"unfinished", this->unanswered()}, {"after_ms", nowMs() - stoppedAt}});
			}

		private:
			/// @returns Number of callers who are owed an answer.
			std::size_t unanswered() const
			{
				return this->state.inFlight + this->callers.rejecting();
			}

			/// Waits until a time of the local clock; once nothing more is read, at most until all callers are answered.
			aio::Task<void> pollUntil(Millis _moment)
			{
				do
				{
					co_await this->loop.timer.afterDelay(kStopPollIntervalMs * kj::MILLISECONDS);
				} while (nowMs() < _moment && (mayRead(this->state.stop, nowMs()) || 0 < this->unanswered()));
			}

			bool isReady() const
			{
				const bool hasConfiguration = nullptr != this->state.catalog && 0 != this->watch.versions().upstreams;
				return !this->state.stop && hasConfiguration && this->isProofFresh();
			}

			/// @returns Whether the configuration's proof is recent enough for readiness. A gateway whose proof is nearly
			/// too old for requests with keys reports not ready, so that callers are sent elsewhere.
			bool isProofFresh() const
			{
				return isProofYoungerThan(this->state, this->state.settings.bounds.revocationMs * 3 / 5);
			}

			http::FullResponse readinessResponse() const
			{
				const bool ready = this->isReady();
				return {{ready ? 200 : 503, {}, true}, ready ? "ready\n" : "not ready\n"};
			}

			http::FullResponse adminResponse(const http::RequestHead& _head)
			{
				http::FullResponse response{{200, {}, true}, ""};
				this->counters.connectionsOpened.Increment(double(this->state.pool.opened() - this->countedConnections));
				this->countedConnections = this->state.pool.opened();
				this->counters.unattributedBytes.Increment(double(this->state.pool.unattributed() - this->countedUnattributed));
				this->countedUnattributed = this->state.pool.unattributed();
				if ("/dump" == _head.target)
				{
					response.head.headers.add("Content-Type", "application/json");
					response.body = this->dump().dump(1, '\t') + "\n";
				}
				else
				{
					this->counters.proofAgeMs.Set(double(proofAge(this->state.freshness, nowMs()).value_or(-1)));
					response.head.headers.add("Content-Type", "text/plain; version=0.0.4");
					response.body = this->metrics.serialize();
				}
				return response;
			}

			nlohmann::json dumpGroups() const
			{
				nlohmann::json groups = nlohmann::json::array();
				const Millis now = nowMs();
				for (const GroupRef& group : this->state.registry.allGroups())
				{
					groups.push_back({{"service", group->service}, {"group", group->name}, {"known", hasFreshReport(*group, now)}, {"down", isDown(*group, now)}, {"passMs", group->view.passMs}, {"members", group->members.size()}, {"working", group->availableMembers}, {"meanLoad", meanLoad(*group, now)}, {"inFlight", group->inFlight}, {"mayGet", countSendableMembers(*group, now)}});
				}
				return groups;
			}

			/// @returns How many upstreams crashed independently, by the request's fingerprint or the part of its prompt.
			nlohmann::json dumpCrashes() const
			{
				nlohmann::json crashes = nlohmann::json::object();
				for (const auto& [suspect, runs] : this->state.crashes.table.bySuspect)
				{
					crashes[suspect] = countCrashes(this->state.crashes.table, suspect, nowMs());
				}
				return crashes;
			}

			nlohmann::json dump() const
			{
				nlohmann::json upstreams = nlohmann::json::array();
				const Millis now = nowMs();
				for (const UpstreamRef& upstream : this->state.registry.all())
				{
					upstreams.push_back({{"incarnation", upstream->record.incarnation}, {"service", upstream->record.service}, {"group", upstream->group->name}, {"address", upstream->record.address}, {"zone", upstream->record.zone}, {"leaving", upstream->leavingSince.has_value()}, {"evacuated", upstream->evacuated}, {"inFlight", upstream->inFlight}, {"load", loadOf(*upstream, now)}, {"failureRate", upstream->health.failureRate}, {"suspended", isSuspended(upstream->health, now)}, {"quietMs", 0 == upstream->inFlight ? 0 : now - upstream->silentSince}, {"backOffMs", remainingBackOffMs(upstream->selfReport.backOff, now)}, {"limitPerS", upstream->selfReport.limit ? upstream->selfReport.limit->perSecond : -1.0}, {"warmInMs", remainingColdMs(upstream->cold, now)}, {"coldSends", upstream->coldSends ? int(*upstream->coldSends) : -1}});
				}
				return {{"name", this->state.settings.place.name}, {"role", "gateway"}, {"version", kVersion}, {"ready", this->isReady()}, {"leaving", this->state.stop.has_value()}, {"inFlight", this->state.inFlight}, {"catalog", versionOf(this->state.catalog)}, {"evacuatedZones", evacuatedZones(this->state.operators)}, {"proofAgeMs", proofAge(this->state.freshness, now).value_or(-1)}, {"memory", this->state.resources.dump()}, {"crashes", this->dumpCrashes()}, {"groups", this->dumpGroups()}, {"upstreams", upstreams}};
			}

			/// Reloads the bounds from the settings file on SIGHUP. Addresses don't change.
			aio::Task<void> reload()
			{
				while (true)
				{
					co_await this->io.unixEventPort.onSignal(SIGHUP);
					try
					{
						this->state.settings.bounds = loadGatewaySettings(this->path).bounds;
						logInfo("reload", {{"settings", this->path}});
					}
					catch (const std::exception& error)
					{
						logError("reload_failed", {{"settings", this->path}, {"reason", error.what()}, {"remedy", "correct the file and send SIGHUP again; the old settings stay in force"}});
					}
				}
			}

			const std::string path;
			kj::AsyncIoContext& io;
			http::LoopContext loop;
			Metrics metrics;
			GatewayCounters counters;
			GatewayState state;
			std::unique_ptr<store::TableStore> tableStore;
			StoreWatch watch;
			LoadPoller loads;
			CallerServer callers;
			http::Listener readiness;
			http::Listener admin;
			std::uint64_t countedConnections = 0;  ///< Opened connections already added to the counter.
			std::uint64_t countedUnattributed = 0; ///< Likewise, connections with bytes that belong to no exchange.
			kj::Promise<void> reloading = nullptr;
		};
	} // namespace

	int runGateway(const Deployment& _deployment, int _argc, char** _argv)
	{
		return runGuarded("archdyke-gateway", [&] {
			const std::optional<std::string> path = parseSettingsPath("archdyke-gateway", "Takes callers' requests to HTTP upstreams.", _argc, _argv);
			if (!path)
			{
				return;
			}
			GatewaySettings settings = loadGatewaySettings(*path);
			setLogName(settings.place.name);
			captureSignals();
			kj::AsyncIoContext io = kj::setupAsyncIo();
			io.waitScope.setBusyPollInterval(aio::kMaxEventsBetweenPolls);
			GatewayProcess process(_deployment, std::move(settings), *path, io);
			process.run().take().wait(io.waitScope);
		});
	}
} // namespace archdyke::gateway
