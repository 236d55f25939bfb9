/// archdyke-entry: accepts callers' requests and chooses the agent that runs each one.
#include <absl/synchronization/notification.h>
#include <array>

#include "base/admin.h"
#include "base/config.h"
#include "base/daemon_main.h"
#include "base/settings.h"
#include "entry/crash_publisher.h"
#include "entry/entry_http.h"
#include "entry/planner.h"
#include "entry/watcher.h"
#include "rpc/rpc_listener.h"

namespace archdyke
{
	namespace
	{
		/// Time for which a stopping entry still rejects new requests after the last one in progress has ended, ms.
		constexpr Millis kIdleBeforeStopMs = 500;
		constexpr Millis kClaimFlushTimeoutMs = 2'000;

		/// The parts of an entry, in the order of their construction.
		class EntryProcess
		{
		public:
			explicit EntryProcess(EntrySettings _settings)
			    : settings(std::move(_settings))
			    , incarnation(randomId())
			    , counters(this->metrics)
			    , crashes(this->metrics)
			    , directory({&this->loops[0], &this->loops[1]}, this->settings.name, this->settings.zone, this->incarnation, this->crashes)
			    , claims(this->settings, this->metrics)
			    , crashPublisher(this->settings, this->crashes)
			    , http({this->keeper, this->directory, this->guard, this->claims, this->crashes, this->counters}, this->incarnation)
			    , watcher(std::make_unique<Watcher>(this->settings, this->incarnation, this->loops[0], this->keeper, this->directory, this->crashes, this->guard, this->metrics))
			{
				this->listener = std::make_unique<RpcListener>(
				    this->loops[0], parseAddress(this->settings.rpc), [this] {
					    return makePeerServer({[this](const PeerState& _peer) {
						return this->exchangePeerState(_peer);
					                           },
					                           [this](const std::string& _digest) {
						return this->keeper.bytes(_digest);
					    }});
				    },
				    this->settings.memoryMb, this->metrics);
				this->planner = std::make_unique<Planner>(this->settings, this->incarnation, this->loops[1], this->keeper, this->directory, this->metrics);
				this->http.addRoutes(this->server);
				addAdminRoutes(this->admin, this->metrics, {[this] {
					return this->dump();
				                                            },
				                                            [this] {
					return this->http.isReady();
				},
				               [this] {
					this->leave("drain");
				}});
				this->admin.routes().Post("/accepted", [this](const httplib::Request& _request, httplib::Response& _response) {
					this->handleAccepted(_request, _response);
				});
				const Address httpAddress = this->server.start(parseAddress(this->settings.http));
				const Address adminAddress = this->admin.start(parseAddress(this->settings.admin));
				logInfo("listening", {{"name", this->settings.name}, {"http", toString(httpAddress)}, {"rpc", toString(this->listener->address())}, {"admin", toString(adminAddress)}, {"incarnation", toHex(this->incarnation)}});
			}

			/// Rejects new requests, waits for those in progress, then stops all parts.
			void stop()
			{
				this->leave("signal");
				this->server.stopReading();
				this->planner->stop();
				const Millis until = nowMs() + kMaxDeadlineMs;
				Millis idleSince = nowMs();
				while (nowMs() < until && nowMs() < idleSince + kIdleBeforeStopMs)
				{
					absl::Notification never;
					never.WaitForNotificationWithTimeout(absl::Milliseconds(20));
					idleSince = 0 < this->http.inFlight() ? nowMs() : idleSince;
				}
				logInfo("stopping", {{"unfinished", this->http.inFlight()}});
				this->planner.reset();
				this->server.stop();
				this->claims.flush(kClaimFlushTimeoutMs);
				this->admin.stop();
				this->listener.reset();
				this->watcher.reset();
				this->directory.close();
				for (RpcLoop& loop : this->loops)
				{
					loop.run([] {});
					loop.stop();
				}
			}

		private:
			PeerState exchangePeerState(const PeerState& _peer)
			{
				this->watcher->recordPeerState(_peer);
				return this->watcher->ownState();
			}

			void leave(const std::string& _why)
			{
				if (this->http.isReady())
				{
					logInfo("leaving", {{"why", _why}, {"inFlight", this->http.inFlight()}});
				}
				this->http.leave();
				this->watcher->leave();
			}

			/// Handles the notice of an operator's command that the staged version was accepted.
			void handleAccepted(const httplib::Request& _request, httplib::Response& _response)
			{
				const nlohmann::json body = nlohmann::json::parse(_request.body, nullptr, false);
				const HeldConfig held = this->keeper.held();
				const bool isStaged = body.is_object() && body.value("version", std::uint64_t(0)) == held.staged.version && body.value("digest", std::string()) == held.staged.digest && 0 != held.staged.version;
				const std::optional<std::string> bytes = isStaged ? this->keeper.bytes(held.staged.digest) : std::nullopt;
				if (bytes)
				{
					this->keeper.accept(held.staged, *bytes);
				}
				_response.set_content(bytes ? "{\"taken\":true}\n" : "{\"taken\":false}\n", "application/json");
			}

			nlohmann::json dump()
			{
				const HeldConfig held = this->keeper.held();
				nlohmann::json agents = nlohmann::json::array();
				for (const AgentLinkView& view : this->directory.views())
				{
					agents.push_back({{"name", view.identity.name}, {"zone", view.identity.zone}, {"service", view.identity.service}, {"address", view.address}, {"list", std::string(toString(view.member.list))}, {"linkUp", view.member.linkUp}, {"takesWork", mayReceiveWork(view.member)}, {"incarnation", toHex(view.member.incarnation)}, {"session", view.session}, {"running", view.load.running}, {"queued", view.load.queued}, {"slots", view.load.slots}, {"leaving", view.load.leaving}});
				}
				nlohmann::json groups = nlohmann::json::array();
				for (const GroupView& view : this->planner->views())
				{
					groups.push_back({{"group", view.group}, {"epoch", view.epoch}, {"skew", view.skew}, {"proposals", view.proposals}, {"last", view.lastEvent}});
				}
				nlohmann::json crashing = nlohmann::json::array();
				for (const CrashView& view : this->crashes.views())
				{
					crashing.push_back({{"fingerprint", view.request}, {"crashes", view.crashes}, {"refusedForMs", view.refusedForMs}});
				}
				return {{"crashes", crashing}, {"name", this->settings.name}, {"role", "entry"}, {"planner", this->planner->acting()}, {"groups", groups}, {"zone", this->settings.zone}, {"version", kVersion}, {"incarnation", toHex(this->incarnation)}, {"ready", this->http.isReady()}, {"inFlight", this->http.inFlight()}, {"platformUp", this->watcher->platformUp()}, {"config", {{"version", held.head.version}, {"digest", held.head.digest}, {"inForceSinceMs", this->keeper.inForceSinceMs()}, {"staged", held.staged.version}, {"inDoubtMs", this->watcher->inDoubtMs()}}}, {"agents", agents}};
			}

			const EntrySettings settings;
			const std::uint64_t incarnation;
			Metrics metrics;
			EntryCounters counters;
			std::array<RpcLoop, 2> loops;
			PauseGuard guard;
			ConfigKeeper keeper;
			CrashRecord crashes;
			Directory directory;
			Claims claims;
			CrashPublisher crashPublisher;
			EntryHttp http;
			std::unique_ptr<Watcher> watcher;
			std::unique_ptr<Planner> planner;
			std::unique_ptr<RpcListener> listener;
			std::shared_ptr<ConnectionRegistry> connections = makeConnectionRegistry(this->settings.memoryMb, this->metrics);
			HttpServer server{this->connections};
			HttpServer admin{this->connections};
		};
	} // namespace
} // namespace archdyke

int main(int _argc, char** _argv)
{
	return archdyke::runDaemon<archdyke::EntryProcess>("archdyke-entry", "Accepts callers' requests and chooses the agent that runs each one.", archdyke::loadEntrySettings, _argc, _argv);
}
