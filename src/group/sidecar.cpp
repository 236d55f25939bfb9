#include "group/sidecar.h"

#include "aio/loop.h"
#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "base/version.h"
#include "gateway/daemon.h"
#include "group/coordinator.h"
#include "group/rank_server.h"
#include "http/http_listener.h"
#include "http/socket_address.h"
#include "rpc/peer_server.h"
#include "store/counted_store.h"
#include "store/era_store.h"

namespace archdyke::group
{
	namespace
	{
		/// Time without a message of the coordinator after which another daemon takes over, ms. Higher ranks
		/// wait longer, so that they don't try all at once.
		constexpr Millis kCoordinatorTimeoutMs = 600;
		constexpr Millis kTakeOverDelayPerRankMs = 120;
		constexpr Millis kMaxTakeOverDelayMs = 4'000;
		constexpr Millis kCoordinatorCheckIntervalMs = 100;
		/// Timeout of a join request, ms: the coordinator may be short of CPU.
		constexpr Millis kJoinTimeoutMs = 400;
		/// Maximum number of other ranks' daemons that are asked whether they hear a coordinator.
		constexpr std::size_t kMaxPeersAsked = 2;
		/// Delay after a failed attempt to take over, ms.
		constexpr Millis kTakeOverRetryMs = 2'000;
		/// Delay between the stop signal and the exit, ms: no work has to be completed.
		constexpr Millis kStopDelayMs = 50;

		/// The row of a group in the store.
		struct GroupRow
		{
			SwitchIntent intent;
			std::uint64_t version = 0; ///< 0: there is none yet.
		};

		/// @param[in] _newestTerm Of the coordinators that were heard; 0: none.
		/// @throws InvalidInputError When the row can't be read.
		GroupRow groupRowIn(const store::Rows& _rows, const store::RowKey& _key, std::uint64_t _newestTerm)
		{
			GroupRow found;
			found.intent.era = 0 == _newestTerm ? _rows.era : 0; // without a row and a coordinator the group is new
			for (const store::Row& row : _rows.rows)
			{
				if (row.key == _key)
				{
					found = {decodeIntent(row.value), row.version};
				}
			}
			return found;
		}

		class SidecarProcess
		{
		public:
			SidecarProcess(const SidecarDeployment& _deployment, gateway::SidecarSettings _settings, std::string _path, kj::AsyncIoContext& _io)
			    : deployment(_deployment)
			    , settings(std::move(_settings))
			    , path(std::move(_path))
			    , io(_io)
			    , loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , resourceCounters(this->metrics)
			    , resources(gateway::memoryBytes(this->settings.place), http::maxSockets(descriptorLimit()), this->resourceCounters)
			    , tableStore(std::make_unique<store::EraStore>(std::make_unique<store::CountedStore>(_deployment.makeStore(this->loop, this->settings.place.store), this->metrics), this->metrics))
			    , engine(this->loop, _deployment.codec, this->settings.upstream)
			    , fanOut(this->loop, this->settings.place.peerPort, this->settings.place.linkMbps, this->state.groupState)
			    , server(this->loop.timer, this->resources, kj::heap<RankServer>(this->state, this->engine, this->fanOut, this->settings.service), http::peerConnections(descriptorLimit()))
			    , address(this->settings.place.ip + ":" + std::to_string(this->settings.place.peerPort))
			    , admin(this->loop, this->settings.place.metrics, http::serveRequests([this](const http::RequestHead& _head) {
				            return this->adminAnswer(_head);
			            }),
			            &this->resources, http::adminLimits(descriptorLimit()))
			{
				this->state.heardAt = nowMs();
				logInfo("start", {{"version", kVersion}, {"zone", this->settings.place.zone}, {"engine", this->settings.upstream}, {"service", this->settings.service}, {"peers", this->address}, {"store", this->settings.place.store}, {"metrics", this->settings.place.metrics}});
				sockaddr_in target = http::parseSocketAddress(this->address);
				this->receiver = this->loop.network.getSockaddr(&target, sizeof(target))->listen();
				const auto fatal = [](kj::Exception&& _error) {
					logError("sidecar_failed", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
				};
				this->listening = this->server.listen(*this->receiver).eagerlyEvaluate(fatal);
				this->monitoring = this->monitorCoordinator().take().eagerlyEvaluate(fatal);
			}

			aio::Task<void> run()
			{
				co_await stopSignal();
				logInfo("stop", {{"coordinates", nullptr != this->state.coordinator}});
				co_await this->loop.timer.afterDelay(kStopDelayMs * kj::MILLISECONDS);
			}

		private:
			kj::Promise<void> stopSignal()
			{
				return gateway::stopSignal(this->io.unixEventPort);
			}

			http::FullResponse adminAnswer(const http::RequestHead& _head)
			{
				http::FullResponse answer{{200, {}, true}, ""};
				answer.body = "/dump" == _head.target ? (nullptr == this->state.coordinator ? std::string("{}\n") : this->state.coordinator->describe() + "\n") : this->metrics.serialize();
				return answer;
			}

			/// Requests the report of this daemon's engine, which tells its group and rank.
			aio::Task<std::optional<EngineReport>> requestEngineReport()
			{
				std::string failure;
				std::optional<EngineReport> report;
				try
				{
					report = co_await this->engine.report();
				}
				catch (const kj::Exception& error)
				{
					failure = error.getDescription().cStr();
				}
				if (this->state.engineUp != failure.empty())
				{
					this->state.engineUp = failure.empty();
					logWarning(failure.empty() ? "engine_back" : "engine_lost", {{"engine", this->settings.upstream}, {"reason", failure.empty() ? "-" : failure}});
				}
				co_return report;
			}

			/// @returns Whether no coordinator was heard within this rank's timeout.
			bool coordinatorTimedOut() const
			{
				const Millis rank = this->state.lastReport ? this->state.lastReport->rank : 0;
				const Millis timeoutMs = kCoordinatorTimeoutMs + std::min(kMaxTakeOverDelayMs, kTakeOverDelayPerRankMs * rank);
				return nowMs() - this->state.heardAt >= timeoutMs;
			}

			/// Takes over the group when it has no coordinator.
			aio::Task<void> monitorCoordinator()
			{
				while (true)
				{
					co_await this->loop.timer.afterDelay(kCoordinatorCheckIntervalMs * kj::MILLISECONDS);
					if (!this->coordinatorTimedOut())
					{
						continue;
					}
					if (!this->state.lastReport)
					{
						// The rank determines how long to wait for a coordinator.
						std::optional<EngineReport> first = co_await this->requestEngineReport();
						if (first)
						{
							recordEngineReport(this->state, std::move(*first));
						}
						continue;
					}
					const std::optional<EngineReport> report = co_await this->requestEngineReport();
					if (!report || report->group.empty())
					{
						this->state.heardAt = nowMs();
						continue;
					}
					recordEngineReport(this->state, *report);
					if (!this->coordinatorTimedOut())
					{
						continue; // a coordinator was heard while the engine was asked
					}
					const bool alive = co_await this->coordinatorIsAlive();
					if (alive)
					{
						continue; // the coordinator is slow or hasn't found this rank yet
					}
					std::string group = report->group;
					co_await this->takeOver(std::move(group));
				}
			}

			/// Asks a daemon of the group what it knows of the coordinator; a coordinator also adds this rank.
			aio::Task<std::optional<JoinResponse>> requestJoin(std::string _daemon)
			{
				std::optional<JoinResponse> answer;
				std::string engine = this->settings.upstream;
				std::string group = this->state.newest.group;
				try
				{
					RankLink link(this->loop, std::move(_daemon));
					answer = co_await link.join(std::move(engine), std::move(group), kJoinTimeoutMs);
				}
				catch (const kj::Exception& error)
				{
					logInfo("join_unanswered", {{"reason", error.getDescription().cStr()}});
				}
				co_return answer;
			}

			/// Asks the coordinator itself: it may be slow, or new and not know this rank yet.
			/// @returns Whether it still coordinates and reaches the store.
			aio::Task<bool> probeCoordinator()
			{
				std::string daemon = this->state.newest.address;
				if (daemon.empty() || daemon == this->address)
				{
					co_return false;
				}
				const std::optional<JoinResponse> answer = co_await this->requestJoin(std::move(daemon));
				const bool coordinates = answer && answer->coordinates && answer->newest.group == this->state.newest.group && answer->newest.term >= this->state.newest.term;
				if (coordinates)
				{
					this->state.newest = answer->newest;
					this->state.heardAt = nowMs();
				}
				co_return coordinates;
			}

			/// Asks some other ranks' daemons: if only this VM's link is cut or saturated, the coordinator must
			/// not be replaced.
			/// @returns Whether one of them heard the coordinator recently.
			aio::Task<bool> peersHearCoordinator()
			{
				const std::vector<std::string> engines = this->state.groupState.roster.engines;
				for (std::size_t asked = 0; asked < kMaxPeersAsked && !engines.empty(); ++asked)
				{
					std::uint64_t randomIndex = randomId() % engines.size();
					const std::string& engine = engines[randomIndex];
					if (engine.empty() || engine == this->settings.upstream)
					{
						continue;
					}
					std::string daemon = daemonAddress(engine, this->settings.place.peerPort);
					const std::optional<JoinResponse> answer = co_await this->requestJoin(std::move(daemon));
					if (answer && answer->heardMsAgo <= kCoordinatorTimeoutMs && answer->newest.term >= this->state.newest.term)
					{
						this->state.heardAt = nowMs() - answer->heardMsAgo;
						co_return true;
					}
				}
				co_return false;
			}

			/// @returns Whether the coordinator responds or another daemon still hears it.
			aio::Task<bool> coordinatorIsAlive()
			{
				const bool answers = co_await this->probeCoordinator();
				if (answers)
				{
					co_return true;
				}
				const bool heard = co_await this->peersHearCoordinator();
				co_return heard;
			}

			aio::Task<void> takeOver(std::string _group)
			{
				const store::RowKey key = groupRowKey(this->settings.service, _group);
				std::string failure;
				std::optional<SwitchIntent> row;
				std::uint64_t version = 0;
				try
				{
					const store::Rows rows = co_await this->tableStore->read(key.table, key.part, key.key);
					const GroupRow found = groupRowIn(rows, key, this->state.newest.term);
					version = found.version;
					if (found.intent.term > this->state.newest.term)
					{
						// Another daemon has taken over; asks it whether it is alive.
						this->state.newest = {_group, found.intent.term, found.intent.coordinator, false};
						const bool alive = co_await this->probeCoordinator();
						if (alive)
						{
							co_return;
						}
					}
					if (!this->coordinatorTimedOut())
					{
						co_return; // a coordinator was heard while the row was read
					}
					row = archdyke::takeOver(found.intent, this->address, rows.era);
					store::ConditionalWrite write{key, encodeIntent(*row), version};
					const store::WriteResult result = co_await this->tableStore->write(std::move(write));
					version = result.version;
					failure = result.written ? "" : "another daemon wrote the row first";
				}
				catch (const kj::Exception& error)
				{
					failure = error.getDescription().cStr();
				}
				catch (const InvalidInputError& error)
				{
					failure = error.what();
				}
				logInfo("take_over", {{"group", _group}, {"term", row ? row->term : 0}, {"failure", failure.empty() ? "-" : failure}, {"silent_ms", nowMs() - this->state.heardAt}, {"storeless_coordinator", this->state.newest.storeLost}});
				if (!failure.empty())
				{
					this->state.heardAt = nowMs() - kCoordinatorTimeoutMs + kTakeOverRetryMs;
					co_return;
				}
				this->state.newest = {_group, row->term, this->address, false};
				std::string group = _group;
				co_await this->coordinate(std::move(group), std::move(*row), version);
			}

			aio::Task<void> coordinate(std::string _group, SwitchIntent _row, std::uint64_t _version)
			{
				CoordinatorDependencies dependencies{this->loop, *this->tableStore, this->deployment.tables, this->deployment.codec, this->deployment.decoders.catalog, this->deployment.decoders.upstream, this->settings, this->state.groupState, this->fanOut, this->metrics};
				this->state.coordinator = std::make_unique<Coordinator>(std::move(dependencies), _group, std::move(_row), _version);
				const CoordinatorEnd end = co_await this->state.coordinator->run();
				logInfo("coordinator_ended", {{"group", _group}, {"why", toString(end)}});
				this->state.coordinator = nullptr;
				this->state.heardAt = nowMs();
			}

			const SidecarDeployment& deployment;
			const gateway::SidecarSettings settings;
			const std::string path;
			kj::AsyncIoContext& io;
			http::LoopContext loop;
			Metrics metrics;
			http::ResourceCounters resourceCounters;
			http::ResourceBudget resources;
			SidecarState state;
			std::unique_ptr<store::TableStore> tableStore;
			Engine engine;
			FanOut fanOut;
			PeerServer server;
			const std::string address;
			http::Listener admin;
			kj::Own<kj::ConnectionReceiver> receiver;
			kj::Promise<void> listening = nullptr;
			kj::Promise<void> monitoring = nullptr;
		};
	} // namespace

	int runSidecar(const SidecarDeployment& _deployment, int _argc, char** _argv)
	{
		return gateway::runGuarded("archdyke-sidecar", [&] {
			const std::optional<std::string> path = gateway::parseSettingsPath("archdyke-sidecar", "Runs beside one engine rank and coordinates its group when no other daemon does.", _argc, _argv);
			if (!path)
			{
				return;
			}
			gateway::SidecarSettings settings = gateway::loadSidecarSettings(*path);
			setLogName(settings.place.name);
			gateway::captureSignals();
			kj::AsyncIoContext io = kj::setupAsyncIo();
			io.waitScope.setBusyPollInterval(aio::kMaxEventsBetweenPolls);
			SidecarProcess process(_deployment, std::move(settings), *path, io);
			process.run().take().wait(io.waitScope);
		});
	}
} // namespace archdyke::group
