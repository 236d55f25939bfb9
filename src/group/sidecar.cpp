#include "group/sidecar.h"

#include "archdyke/errors.h"
#include "gateway/daemon.h"
#include "group/coordinator.h"
#include "http/http_listener.h"
#include "http/socket_address.h"
#include "log.h"
#include "process.h"
#include "version.h"

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
		/// After a try to take over that failed, ms.
		constexpr Millis kTryAgainMs = 2'000;
		/// Maps that a sidecar remembers: the one in force and some that were abandoned since.
		constexpr std::size_t kMapsKept = 4;
		/// Longest time a stopping sidecar takes, ms: it holds nothing that must end.
		constexpr Millis kStopMs = 50;

		/// State of the sidecar, on its one event loop.
		struct SidecarState
		{
			Coordination newest;
			Millis heardAt = 0;
			std::optional<EngineReport> lastReport;
			bool engineUp = true;
			std::unique_ptr<Coordinator> coordinator;
		};

		/// Serves the coordinator of the group, and the gateways if it is this process.
		class RankServer final : public rpc::RankDaemon::Server
		{
		public:
			RankServer(SidecarState& _state, Engine& _engine, std::string _service)
			    : state(_state)
			    , engine(_engine)
			    , service(std::move(_service))
			{
			}

			kj::Promise<void> observe(ObserveContext _context) override
			{
				this->hearCoordinator(readCoordination(_context.getParams().getCoordination()));
				return this->answerObserve(_context).take();
			}

			kj::Promise<void> order(OrderContext _context) override
			{
				return this->answerOrder(_context).take();
			}

			kj::Promise<void> loads(LoadsContext _context) override
			{
				GroupLoads loads;
				if (nullptr != this->state.coordinator)
				{
					loads = this->state.coordinator->loads(readQuestion(_context.getParams()));
				}
				loads.newest = this->state.newest;
				writeLoads(_context.getResults(), loads);
				return kj::READY_NOW;
			}

		private:
			void hearCoordinator(const Coordination& _coordination)
			{
				if (_coordination.term < this->state.newest.term)
				{
					return;
				}
				if (_coordination.term > this->state.newest.term)
				{
					logInfo("coordinator_heard", {{"term", _coordination.term}, {"address", _coordination.address}, {"before", this->state.newest.term}});
				}
				// One that can't reach the store is followed, but another may take over.
				this->state.heardAt = _coordination.storeLost ? this->state.heardAt : nowMs();
				this->state.newest = _coordination;
			}

			aio::Task<void> answerObserve(ObserveContext _context)
			{
				RankReport report;
				report.service = this->service;
				report.engine = co_await this->engine.report();
				if (_context.getParams().getCounts())
				{
					EngineCounts counts = co_await this->engine.counts();
					report.choices = this->takeSample(std::move(counts), _context.getParams().getSample());
				}
				this->state.lastReport = report.engine;
				writeCoordination(_context.getResults().initNewest(), this->state.newest);
				writeReport(_context.getResults().initReport(), report);
			}

			/// @param[in] _held Sample that the coordinator has.
			ChoiceSample takeSample(EngineCounts _counts, std::uint64_t _held)
			{
				ChoiceSample sample;
				sample.epoch = _counts.epoch;
				sample.sample = this->lastSample + 1;
				const bool follows = 0 != _held && _held == this->lastSample && _counts.epoch == this->lastCounts.epoch && _counts.counts.size() == this->lastCounts.counts.size();
				if (follows)
				{
					sample.since = _held;
					sample.choices.resize(_counts.counts.size());
					for (std::size_t index = 0; index < sample.choices.size(); ++index)
					{
						sample.choices[index] = _counts.counts[index] - this->lastCounts.counts[index];
					}
				}
				this->lastSample = sample.sample;
				this->lastCounts = std::move(_counts);
				return sample;
			}

			/// Makes the map of a prepare of its difference from one that was given before.
			/// @returns false when that one isn't known here.
			bool buildMap(EngineOrder& _order, const MapDifference& _difference)
			{
				RankExperts base;
				if (0 == _difference.base)
				{
					base = expertsByRank(dealtInTurn(_difference.sets, _difference.experts, _difference.ranks), _difference.ranks);
				}
				else if (this->maps.contains(_difference.base))
				{
					base = this->maps.at(_difference.base);
				}
				else
				{
					return false;
				}
				_order.expertsByRank = applyDifference(std::move(base), _difference);
				this->maps[_order.version] = _order.expertsByRank;
				while (kMapsKept < this->maps.size())
				{
					this->maps.erase(this->maps.begin());
				}
				return true;
			}

			aio::Task<void> answerOrder(OrderContext _context)
			{
				const std::uint64_t term = _context.getParams().getTerm();
				if (term < this->state.newest.term)
				{
					logWarning("order_of_an_old_term", {{"term", term}, {"newest", this->state.newest.term}});
					co_return;
				}
				EngineOrder order = readOrder(_context.getParams().getOrder());
				if (RankOrderKind::Prepare == order.kind && !this->buildMap(order, readDifference(_context.getParams().getOrder().getMap())))
				{
					logWarning("map_base_unknown", {{"version", order.version}, {"base", _context.getParams().getOrder().getMap().getBase()}});
					_context.getResults().setBaseUnknown(true);
					co_return;
				}
				const OrderOutcome outcome = co_await this->engine.order(std::move(order));
				_context.getResults().setAccepted(outcome.accepted);
				_context.getResults().setStatus(std::uint16_t(outcome.status));
				co_await this->reportAfterOrder(_context);
			}

			/// Tells the engine's state with the answer to an order, which saves the coordinator a look.
			aio::Task<void> reportAfterOrder(OrderContext _context)
			{
				try
				{
					RankReport report;
					report.service = this->service;
					report.engine = co_await this->engine.report();
					this->state.lastReport = report.engine;
					writeReport(_context.getResults().initReport(), report);
				}
				catch (const kj::Exception& error)
				{
					logWarning("no_report_after_an_order", {{"engine", this->engine.address()}, {"reason", error.getDescription().cStr()}});
				}
			}

			SidecarState& state;
			Engine& engine;
			std::string service;
			std::uint64_t lastSample = randomId() >> 1; ///< Numbers of another run don't fit.
			EngineCounts lastCounts;
			std::map<std::uint64_t, RankExperts> maps; ///< By version, the newest.
		};

		class SidecarProcess
		{
		public:
			SidecarProcess(const SidecarDeployment& _deployment, gateway::SidecarSettings _settings, std::string _path, kj::AsyncIoContext& _io)
			    : deployment(_deployment)
			    , settings(std::move(_settings))
			    , path(std::move(_path))
			    , io(_io)
			    , loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , tableStore(_deployment.makeStore(this->loop, this->settings.place.store))
			    , engine(this->loop, _deployment.codec, this->settings.upstream)
			    , server(kj::heap<RankServer>(this->state, this->engine, this->settings.service))
			    , address(this->settings.place.ip + ":" + std::to_string(this->settings.place.peerPort))
			    , admin(this->loop, this->settings.place.metrics, http::serveRequests([this](const http::RequestHead& _head) {
				            return this->adminAnswer(_head);
			            }))
			{
				this->state.heardAt = nowMs();
				logInfo("start", {{"version", kVersion}, {"zone", this->settings.place.zone}, {"engine", this->settings.upstream}, {"service", this->settings.service}, {"peers", this->address}, {"store", this->settings.place.store}, {"metrics", this->settings.place.metrics}});
				sockaddr_in target = http::socketAddress(this->address);
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

			http::WholeAnswer adminAnswer(const http::RequestHead& _head)
			{
				http::WholeAnswer answer{{200, {}, true}, ""};
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
						this->state.lastReport = co_await this->lookAtEngine();
						continue;
					}
					const std::optional<EngineReport> report = co_await this->lookAtEngine();
					if (!report || report->group.empty())
					{
						this->state.heardAt = nowMs();
						continue;
					}
					this->state.lastReport = report;
					if (!this->coordinatorIsGone())
					{
						continue; // it was heard while the engine was asked
					}
					std::string group = report->group;
					co_await this->takeOver(std::move(group));
				}
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
					SwitchIntent found;
					for (const store::Row& candidateRow : rows.rows)
					{
						if (candidateRow.key == key)
						{
							found = decodeIntent(candidateRow.value);
							version = candidateRow.version;
						}
					}
					if (found.term > this->state.newest.term)
					{
						// Another one has taken over and will be heard; if not, the next look says so.
						this->state.newest = {found.term, found.coordinator, false};
						this->state.heardAt = nowMs();
						co_return;
					}
					if (!this->coordinatorIsGone())
					{
						co_return; // it was heard while the row was read
					}
					row = archdyke::takeOver(found, this->address);
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
				this->state.newest = {row->term, this->address, false};
				std::string group = _group;
				co_await this->coordinate(std::move(group), std::move(*row), version);
			}

			aio::Task<void> coordinate(std::string _group, SwitchIntent _row, std::uint64_t _version)
			{
				CoordinatorParts parts{this->loop, *this->tableStore, this->deployment.tables, this->deployment.codec, this->deployment.decoders.catalog, this->deployment.decoders.upstream, this->settings, this->metrics};
				this->state.coordinator = std::make_unique<Coordinator>(std::move(parts), _group, std::move(_row), _version);
				co_await this->state.coordinator->run();
				logInfo("coordinator_ended", {{"group", _group}});
				this->state.coordinator = nullptr;
				this->state.heardAt = nowMs();
			}

			const SidecarDeployment& deployment;
			const gateway::SidecarSettings settings;
			const std::string path;
			kj::AsyncIoContext& io;
			http::LoopParts loop;
			Metrics metrics;
			SidecarState state;
			std::unique_ptr<store::TableStore> tableStore;
			Engine engine;
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
		return gateway::guardMain("archdyke-sidecar", [&] {
			const std::optional<std::string> path = gateway::settingsPath("archdyke-sidecar", "Stands beside one engine rank and coordinates its group when nobody else does.", _argc, _argv);
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
