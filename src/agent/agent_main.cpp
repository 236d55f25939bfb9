/// archdyke-agent: proxy in front of one upstream, which is reachable only through it.

#include "agent/agent_runs.h"
#include "agent/agent_server.h"
#include "agent/rank_control.h"
#include "agent/upstream_call.h"
#include "base/admin.h"
#include "base/config.h"
#include "base/daemon_main.h"
#include "base/settings.h"
#include "rpc/rpc_listener.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kSweepIntervalMs = 250;
		/// Part of the share of HTTP ports that the operators' port gets; runs get the rest.
		constexpr double kAdminMemoryDivisor = 2.0;
		/// How long a stopping agent keeps running so that entries learn from heartbeats that it is leaving, ms.
		constexpr Millis kLeavingNoticeMs = 2 * kMinHeartbeatIntervalMs;

		/// Owns the components of an agent, declared in the order of their construction.
		class AgentProcess
		{
		public:
			explicit AgentProcess(AgentSettings _settings)
			    : settings(std::move(_settings))
			    , incarnation(randomId())
			{
				this->loop.run([this] {
					this->server = kj::refcounted<AgentServer>(this->loop, this->incarnation);
				});
				AgentServer* target = this->server.get();
				const RunObserver observer{[target](const RunKey& _key, const VerdictEvent& _verdict) {
					target->onVerdict(_key, _verdict);
				                           },
				                           [target](const RunKey& _key) {
					target->onResponseData(_key);
				}};
				this->runs = std::make_unique<AgentRuns>(
				    this->incarnation, this->settings.upstream, this->settings.memoryMb, this->metrics, [this, observer] {
					    return makeUpstreamCall(this->settings.upstream, observer.onResponseData);
				    },
				    observer);
				if (ServiceKind::Model == this->settings.upstream.kind)
				{
					this->rank = std::make_unique<RankControl>(this->settings.upstream, this->loop, this->metrics);
				}
				this->server->attach(this->runs.get(), this->rank.get());
				this->listener = std::make_unique<RpcListener>(
				    this->loop, parseAddress(this->settings.rpc), [this] {
					    return rpc::Agent::Client(kj::addRef(*this->server));
				    },
				    this->settings.memoryMb, this->metrics);
				addAdminRoutes(this->admin, this->metrics, {[this] {
					return this->dump();
				                                            },
				                                            [this] {
					return !this->runs->load().leaving;
				},
				               [this] {
					this->leave("drain");
				}});
				const Address adminAddress = this->admin.start(parseAddress(this->settings.admin));
				this->sweeper = std::thread([this] {
					this->sweepLoop();
				});
				logInfo("listening", {{"name", this->settings.name}, {"rpc", toString(this->listener->address())}, {"admin", toString(adminAddress)}, {"incarnation", toHex(this->incarnation)}});
			}

			/// Refuses new runs, waits until all runs have ended and their responses are sent, then stops.
			void stop()
			{
				this->leave("signal");
				const Millis deadline = nowMs() + kMaxDeadlineMs;
				const Millis noticeEnd = nowMs() + kLeavingNoticeMs;
				while (nowMs() < deadline && (nowMs() < noticeEnd || 0 < this->unfinishedRuns()))
				{
					absl::MutexLock lock(&this->mutex);
					this->mutex.AwaitWithTimeout(absl::Condition(&this->stopped), absl::Milliseconds(20));
				}
				logInfo("stopping", {{"unfinished", this->unfinishedRuns()}});
				{
					absl::MutexLock lock(&this->mutex);
					this->stopped = true;
				}
				this->sweeper.join();
				this->admin.stop();
				this->runs->stop();
				this->listener.reset();
				if (nullptr != this->rank)
				{
					this->rank->stop();
					this->rank.reset();
				}
				this->loop.run([this] {
					this->server = nullptr;
				});
				this->loop.stop();
			}

		private:
			void leave(const std::string& _why)
			{
				if (!this->runs->load().leaving)
				{
					logInfo("leaving", {{"why", _why}, {"active", this->runs->active()}});
				}
				this->runs->leave();
			}

			std::size_t unfinishedRuns()
			{
				std::size_t undelivered = 0;
				this->loop.run([&] {
					undelivered = this->server->undelivered();
				});
				return this->runs->active() + undelivered;
			}

			void sweepLoop()
			{
				bool wasReachable = true;
				while (true)
				{
					{
						absl::MutexLock lock(&this->mutex);
						if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopped), absl::Milliseconds(kSweepIntervalMs)))
						{
							return;
						}
					}
					const bool isReachable = probeUpstream(this->settings.upstream);
					if (isReachable != wasReachable)
					{
						logWarning(isReachable ? "upstream_up" : "upstream_down", {{"address", this->settings.upstream.address}});
						this->runs->setUpstreamReachable(isReachable);
						wasReachable = isReachable;
					}
					this->runs->sweep();
					this->loop.post([this] {
						this->server->sweep();
					});
				}
			}

			nlohmann::json dump()
			{
				const LoadReport load = this->runs->load();
				return {{"name", this->settings.name}, {"role", "agent"}, {"zone", this->settings.zone}, {"version", kVersion}, {"incarnation", toHex(this->incarnation)}, {"upstream", this->settings.upstream.address}, {"leaving", load.leaving}, {"running", load.running}, {"queued", load.queued}, {"slots", load.slots}, {"meanRunMs", load.meanRunMs}, {"unfinished", this->unfinishedRuns()}, {"map", nullptr == this->rank ? "none" : this->rank->describe()}};
			}

			const AgentSettings settings;
			const std::uint64_t incarnation;
			Metrics metrics;
			RpcLoop loop;
			kj::Own<AgentServer> server;
			std::unique_ptr<AgentRuns> runs;
			std::unique_ptr<RankControl> rank; ///< Model ranks only.
			std::unique_ptr<RpcListener> listener;
			HttpServer admin{makeConnectionRegistry(this->settings.memoryMb / kAdminMemoryDivisor, this->metrics)};
			absl::Mutex mutex;
			bool stopped ABSL_GUARDED_BY(mutex) = false;
			std::thread sweeper;
		};
	} // namespace
} // namespace archdyke

int main(int _argc, char** _argv)
{
	return archdyke::runDaemon<archdyke::AgentProcess>("archdyke-agent", "Proxy in front of one upstream: queue, run ledger and expert map.", archdyke::loadAgentSettings, _argc, _argv);
}
