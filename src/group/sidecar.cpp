#include "group/sidecar.h"

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "base/version.h"
#include "gateway/daemon.h"
#include "group/coordinator.h"
#include "group/rank_server.h"
#include "http/http_listener.h"
#include "http/socket_address.h"
#include "store/counted_store.h"

namespace archdyke::group
{
	namespace
	{
		/// A group whose coordinator wasn't heard for this long gets another, ms; later ranks
		/// wait longer, so that one after the other tries.
		constexpr Millis kCoordinatorGoneMs = 600;
		constexpr Millis kWaitPerRankMs = 120;
		constexpr Millis kMaxWaitForRankMs = 4'000;
		constexpr Millis kLookMs = 100;
		/// Time limit of a question whether a coordinator lives, ms: it may be short of processor.
		constexpr Millis kJoinMs = 400;
		/// Other ranks' daemons that are asked whether they hear a coordinator.
		constexpr std::size_t kWitnesses = 2;
		/// After a try to take over that failed, ms.
		constexpr Millis kTryAgainMs = 2'000;
		/// Longest time a stopping sidecar takes, ms: it holds nothing that must end.
		constexpr Millis kStopMs = 50;

		/// The row of a group as the store has it.
		struct GroupRow
		{
			SwitchIntent intent;
			std::uint64_t version = 0; ///< 0: there is none yet.
		};

		/// @throws InvalidInputError When the row can't be read.
		GroupRow groupRowIn(const store::Rows& _rows, const store::RowKey& _key)
		{
			GroupRow found;
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
			    , tableStore(std::make_unique<store::CountedStore>(_deployment.makeStore(this->loop, this->settings.place.store), this->metrics))
			    , engine(this->loop, _deployment.codec, this->settings.upstream)
			    , fanOut(this->loop, this->settings.place.peerPort, this->settings.place.linkMbps, this->state.knowledge)
			    , server(kj::heap<RankServer>(this->state, this->engine, this->fanOut, this->settings.service))
			    , address(this->settings.place.ip + ":" + std::to_string(this->settings.place.peerPort))
			    , admin(this->loop, this->settings.place.metrics, http::serveRequests([this](const http::RequestHead& _head) {
				            return this->adminAnswer(_head);
			            }))
			{
				this->state.heardAt = nowMs();
				logInfo("start", {{"version", kVersion}, {"zone", this->settings.place.zone}, {"engine", this->settings.upstream}, {"service", this->settings.service}, {"peers", this->address}, {"store", this->settings.place.store}, {"metrics", this->settings.place.metrics}});
				sockaddr_in target = http::parseSocketAddress(this->address);
				this->receiver = this->loop.network.getSockaddr(&target, sizeof(target))->listen();
				const auto fatal = [](kj::Exception&& _error) {
					logError("sidecar_failed", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
				};
				this->listening = this->server.listen(*this->receiver).eagerlyEvaluate(fatal);
				this->candidate = this->stand().take().eagerlyEvaluate(fatal);
			}

			aio::Task<void> run()
			{
				co_await stopSignal();
				logInfo("stop", {{"coordinates", nullptr != this->state.coordinator}});
				co_await this->loop.timer.afterDelay(kStopMs * kj::MILLISECONDS);
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

			/// Asks the own engine for its group and rank.
			aio::Task<std::optional<EngineReport>> lookAtEngine()
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

			/// @returns Whether no coordinator was heard for as long as this rank waits for one.
			bool coordinatorIsGone() const
			{
				const Millis rank = this->state.lastReport ? this->state.lastReport->rank : 0;
				const Millis patience = kCoordinatorGoneMs + std::min(kMaxWaitForRankMs, kWaitPerRankMs * rank);
				return nowMs() - this->state.heardAt >= patience;
			}

			/// Takes over the group when nobody coordinates it.
			aio::Task<void> stand()
			{
				while (true)
				{
					co_await this->loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
					if (!this->coordinatorIsGone())
					{
						continue;
					}
					if (!this->state.lastReport)
					{
						// Its rank tells how long to wait.
						std::optional<EngineReport> first = co_await this->lookAtEngine();
						if (first)
						{
							takeReport(this->state, std::move(*first));
						}
						continue;
					}
					const std::optional<EngineReport> report = co_await this->lookAtEngine();
					if (!report || report->group.empty())
					{
						this->state.heardAt = nowMs();
						continue;
					}
					takeReport(this->state, *report);
					if (!this->coordinatorIsGone())
					{
						continue; // it was heard while the engine was asked
					}
					const bool lives = co_await this->coordinatorLives();
					if (lives)
					{
						continue; // it is slow, or hasn't found this rank yet
					}
					std::string group = report->group;
					co_await this->takeOver(std::move(group));
				}
			}

			/// Asks a daemon of the group what it heard, and to look at this rank.
			aio::Task<std::optional<JoinAnswer>> askToJoin(std::string _daemon)
			{
				std::optional<JoinAnswer> answer;
				std::string engine = this->settings.upstream;
				std::string group = this->state.newest.group;
				try
				{
					RankLink link(this->loop, std::move(_daemon));
					answer = co_await link.join(std::move(engine), std::move(group), kJoinMs);
				}
				catch (const kj::Exception& error)
				{
					logInfo("join_unanswered", {{"reason", error.getDescription().cStr()}});
				}
				co_return answer;
			}

			/// Asks the coordinator itself: one that is slow isn't dead, and one that has just begun
			/// may not know this rank.
			/// @returns Whether it coordinates and reaches the store.
			aio::Task<bool> coordinatorAnswers()
			{
				std::string daemon = this->state.newest.address;
				if (daemon.empty() || daemon == this->address)
				{
					co_return false;
				}
				const std::optional<JoinAnswer> answer = co_await this->askToJoin(std::move(daemon));
				const bool coordinates = answer && answer->coordinates && answer->newest.group == this->state.newest.group && answer->newest.term >= this->state.newest.term;
				if (coordinates)
				{
					this->state.newest = answer->newest;
					this->state.heardAt = nowMs();
				}
				co_return coordinates;
			}

			/// Asks some other ranks' daemons: a link of this VM that is cut or full is no reason to
			/// take over a group whose others are led.
			aio::Task<bool> othersHearIt()
			{
				const std::vector<std::string> engines = this->state.knowledge.roster.engines;
				for (std::size_t asked = 0; asked < kWitnesses && !engines.empty(); ++asked)
				{
					std::uint64_t drawn = randomId() % engines.size();
					const std::string& engine = engines[drawn];
					if (engine.empty() || engine == this->settings.upstream)
					{
						continue;
					}
					std::string daemon = daemonAddress(engine, this->settings.place.peerPort);
					const std::optional<JoinAnswer> answer = co_await this->askToJoin(std::move(daemon));
					if (answer && answer->heardMsAgo <= kCoordinatorGoneMs && answer->newest.term >= this->state.newest.term)
					{
						this->state.heardAt = nowMs() - answer->heardMsAgo;
						co_return true;
					}
				}
				co_return false;
			}

			/// Confirms by others that nobody coordinates.
			aio::Task<bool> coordinatorLives()
			{
				const bool answers = co_await this->coordinatorAnswers();
				if (answers)
				{
					co_return true;
				}
				const bool heard = co_await this->othersHearIt();
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
					const GroupRow found = groupRowIn(rows, key);
					version = found.version;
					if (found.intent.term > this->state.newest.term)
					{
						// Another one has taken over; whether it lives, it says itself.
						this->state.newest = {_group, found.intent.term, found.intent.coordinator, false};
						const bool lives = co_await this->coordinatorAnswers();
						if (lives)
						{
							co_return;
						}
					}
					if (!this->coordinatorIsGone())
					{
						co_return; // it was heard while the row was read
					}
					row = archdyke::takeOver(found.intent, this->address);
					store::ConditionalWrite write{key, encodeIntent(*row), version};
					const store::WriteResult result = co_await this->tableStore->write(std::move(write));
					version = result.version;
					failure = result.written ? "" : "another daemon was first";
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
					this->state.heardAt = nowMs() - kCoordinatorGoneMs + kTryAgainMs;
					co_return;
				}
				this->state.newest = {_group, row->term, this->address, false};
				std::string group = _group;
				co_await this->coordinate(std::move(group), std::move(*row), version);
			}

			aio::Task<void> coordinate(std::string _group, SwitchIntent _row, std::uint64_t _version)
			{
				CoordinatorParts parts{this->loop, *this->tableStore, this->deployment.tables, this->deployment.codec, this->deployment.decoders.catalog, this->deployment.decoders.upstream, this->settings, this->state.knowledge, this->fanOut, this->metrics};
				this->state.coordinator = std::make_unique<Coordinator>(std::move(parts), _group, std::move(_row), _version);
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
			SidecarState state;
			std::unique_ptr<store::TableStore> tableStore;
			Engine engine;
			FanOut fanOut;
			capnp::TwoPartyServer server;
			const std::string address;
			http::Listener admin;
			kj::Own<kj::ConnectionReceiver> receiver;
			kj::Promise<void> listening = nullptr;
			kj::Promise<void> candidate = nullptr;
		};
	} // namespace

	int runSidecar(const SidecarDeployment& _deployment, int _argc, char** _argv)
	{
		return gateway::runGuarded("archdyke-sidecar", [&] {
			const std::optional<std::string> path = gateway::parseSettingsPath("archdyke-sidecar", "Stands beside one engine rank and coordinates its group when nobody else does.", _argc, _argv);
			if (!path)
			{
				return;
			}
			gateway::SidecarSettings settings = gateway::loadSidecarSettings(*path);
			setLogName(settings.place.name);
			gateway::captureSignals();
			kj::AsyncIoContext io = kj::setupAsyncIo();
			SidecarProcess process(_deployment, std::move(settings), *path, io);
			process.run().take().wait(io.waitScope);
		});
	}
} // namespace archdyke::group
