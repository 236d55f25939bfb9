/// Requests that crash each upstream which begins to run them, before several gateways as processes.
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Upstreams after which a request is to be refused.
	constexpr std::size_t kCrashes = 3;
	/// Time in which all gateways are to know, ms: the least that a deployment gives, less a margin.
	constexpr Millis kToldMs = 2'000;
	constexpr Millis kCheckedMs = 300; ///< In which a gateway learns that an upstream has ended.

	constexpr const char* kReason = "crashes_upstreams\n";

	bool isRefusedForCrashes(const RigAnswer& _answer)
	{
		return 503 == _answer.status && kReason == _answer.body;
	}

	/// Upstreams that are started again, under a new name at the old address, when they end.
	class CrashRig
	{
	public:
		CrashRig(std::size_t _upstreams, std::size_t _gateways)
		    : rig(names(_upstreams))
		{
			for (std::size_t index = 0; index < _gateways; ++index)
			{
				this->gateways.push_back(this->rig.startGatewayNamed("gateway-of-" + std::to_string(index)));
			}
			for (const RigGateway& gateway : this->gateways)
			{
				gateway.waitReady(_upstreams);
			}
			this->rig.waitReady();
		}

		/// Starts upstreams that have ended again and waits until all gateways know them.
		/// @returns How many had ended.
		std::size_t revive()
		{
			std::size_t ended = 0;
			for (RigWorker& worker : this->rig.workers)
			{
				if (worker.process->running())
				{
					continue;
				}
				ended += 1;
				this->rig.store.remove("servers", worker.id);
				worker.id += "+";
				worker.process = startTool("stub-worker", {{"id", worker.id}, {"address", worker.address}}, this->rig.directory.path + "/" + worker.id + ".log");
				worker.process->listening("http");
				this->rig.announce(worker, "ready");
			}
			for (const RigGateway& gateway : this->gateways)
			{
				cr_assert(lab::waitUntil(kRigWaitMs, [&] {
					return this->knowsAll(gateway);
				}));
			}
			this->crashed += ended;
			return ended;
		}

		/// Sends a request that crashes upstreams through one gateway; then starts them again.
		RigAnswer crash(std::size_t _gateway, const std::string& _target, Millis _patienceMs = 1'500)
		{
			this->calls += 1;
			const RigAnswer answer = this->gateways[_gateway].call(_target, GatewayRig::headersFor("crash-" + std::to_string(this->calls), _patienceMs));
			lab::pauseMs(kCheckedMs);
			this->revive();
			return answer;
		}

		/// Sends the request through gateways in turn until so many upstreams have ended.
		void crashSome(const std::string& _target, std::size_t _upstreams)
		{
			for (std::size_t call = 0; this->crashed < _upstreams && call < 3 * _upstreams; ++call)
			{
				this->crash(call % this->gateways.size(), _target);
			}
			cr_assert(_upstreams <= this->crashed, "%zu ended", this->crashed);
		}

		/// Lets a request end as many upstreams as it takes to have it refused, and all gateways hear of it.
		/// @returns How many have ended.
		std::size_t letCrash(const std::string& _target)
		{
			this->crashSome(_target, kCrashes);
			lab::pauseMs(kToldMs);
			return this->crashed;
		}

		GatewayRig rig;
		std::vector<RigGateway> gateways;
		std::size_t crashed = 0; ///< Upstreams that ended so far.

	private:
		static std::vector<std::string> names(std::size_t _count)
		{
			std::vector<std::string> names;
			for (std::size_t index = 0; index < _count; ++index)
			{
				names.push_back("w" + std::to_string(index));
			}
			return names;
		}

		bool knowsAll(const RigGateway& _gateway) const
		{
			const Json dump = _gateway.dump();
			if (!dump.is_object())
			{
				return false;
			}
			std::set<std::string> known;
			for (const Json& upstream : dump["upstreams"])
			{
				known.insert(upstream["incarnation"].get<std::string>());
			}
			return std::all_of(this->rig.workers.begin(), this->rig.workers.end(), [&](const RigWorker& _worker) {
				return known.contains(_worker.id);
			});
		}

		std::size_t calls = 0;
	};
} // namespace

/// A request ended each upstream that began to run it, and its caller sent it again and again through all gateways. Nothing
/// that was learnt of a request outlived it: a broken connection counted against the upstream alone, so each try and each repeat
/// went to an upstream that was sound, and the group of ranks that it belonged to stood still each time. Here twelve more
/// upstreams ended after the first four. What settled it: each of the three gateways saw four or five of them end under the same
/// fingerprint, and sent the request on.
///   process=gateway-of-0 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w2+ crashes_of_request=5
///   process=gateway-of-1 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w5 crashes_of_request=5
///   process=gateway-of-2 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w5+ crashes_of_request=4
Test(gateway, a_request_that_ended_three_upstreams_reaches_no_more)
{
	CrashRig rig(6, 3);
	const std::string target = "/safe/x?do=crash";
	const std::size_t before = rig.letCrash(target);
	std::size_t refused = 0;
	for (std::size_t call = 0; call < 2 * rig.gateways.size(); ++call)
	{
		const RigAnswer answer = rig.crash(call % rig.gateways.size(), target);
		refused += 503 == answer.status ? 1 : 0;
	}
	cr_assert(before == rig.crashed, "%zu more upstreams ended after the first %zu", rig.crashed - before, before);
	cr_assert(2 * rig.gateways.size() == refused);
	const RigAnswer other = rig.gateways[0].call("/safe/y?do=ok", GatewayRig::headersFor("other"));
	cr_assert(200 == other.status, "others are served");
}

/// Its caller hears it at once, and when it makes sense to come back: not within any caller's patience.
Test(gateway, a_request_that_is_refused_for_crashes_hears_it_at_once)
{
	constexpr Millis kAtOnceMs = 200;
	constexpr double kLongS = 60.0;
	CrashRig rig(6, 2);
	const std::string target = "/stream/x?do=crash"; // ends them within its third event
	rig.letCrash(target);
	for (const RigGateway& gateway : rig.gateways)
	{
		const Millis begun = nowMs();
		const RigAnswer answer = gateway.call(target, GatewayRig::headersFor("at-once"));
		cr_assert(isRefusedForCrashes(answer), "%d %s", answer.status, answer.body.c_str());
		cr_assert(nowMs() - begun < kAtOnceMs);
		cr_assert(kLongS < std::stod(answer.headers.find("Retry-After")->second));
	}
}

/// Each of many gateways, most of which saw none of the crashes, and of which the store forgot the history meanwhile.
Test(gateway, all_of_many_gateways_refuse_a_request_soon_after_its_third_crash)
{
	CrashRig rig(6, 10);
	const std::string target = "/safe/x?do=crash";
	rig.crash(0, target);
	rig.rig.store.control({{"forget", true}});
	const std::size_t before = rig.letCrash(target);
	for (const RigGateway& gateway : rig.gateways)
	{
		cr_assert(isRefusedForCrashes(gateway.call(target, GatewayRig::headersFor("many"))));
	}
	rig.revive();
	cr_assert(before == rig.crashed);
}

/// What a gateway knew of crashes is there for one that starts later, and for itself after a kill.
Test(gateway, a_gateway_that_starts_after_the_crashes_refuses_the_request_too)
{
	CrashRig rig(6, 1);
	const std::string target = "/safe/x?do=crash";
	const std::size_t before = rig.letCrash(target);
	rig.gateways.push_back(rig.rig.startGatewayNamed("gateway-of-later"));
	rig.gateways[0].process->kill();
	rig.gateways[0] = rig.rig.startGatewayNamed("gateway-of-again");
	for (const RigGateway& gateway : rig.gateways)
	{
		gateway.waitReady(rig.rig.workers.size());
	}
	lab::pauseMs(kToldMs);
	cr_assert(isRefusedForCrashes(rig.crash(0, target)));
	cr_assert(isRefusedForCrashes(rig.crash(1, target)));
	cr_assert(before == rig.crashed);
}

/// A gateway that can't reach the store refuses what it saw itself, and tells the others once the store is back.
Test(gateway, crashes_seen_while_the_store_is_away_are_told_when_it_is_back)
{
	CrashRig rig(6, 2);
	const std::string target = "/open/x?do=crash"; // public: it needs no proof of a key
	rig.rig.store.control({{"mode", "silent"}});
	RigAnswer answer;
	for (int call = 0; call < 3; ++call) // two tries each, so the third one is refused
	{
		answer = rig.gateways[0].call(target, GatewayRig::headersFor("away-" + std::to_string(call)));
		lab::pauseMs(kCheckedMs);
	}
	cr_assert(isRefusedForCrashes(answer), "%d %s\n%s", answer.status, answer.body.c_str(), rig.gateways[0].process->output().c_str());
	rig.rig.store.control({{"mode", "up"}});
	lab::pauseMs(kToldMs + 1'500); // and the time limit of a call that the store has lost
	cr_assert(kCrashes == rig.revive());
	cr_assert(isRefusedForCrashes(rig.crash(1, target)));
	cr_assert(kCrashes == rig.crashed);
}

/// Requests that ran at an upstream that ended under another one are bystanders: each is served elsewhere, and what was held
/// against it goes from the store. Many callers ask for the same here, so it is at each upstream that ends.
Test(gateway, bystanders_of_crashes_are_served_and_cleared)
{
	constexpr int kStreams = 8;
	constexpr std::size_t kRounds = 5;
	CrashRig rig(4, 1);
	for (std::size_t round = 0; round < kRounds; ++round)
	{
		std::vector<std::thread> callers;
		std::vector<RigAnswer> answers(kStreams);
		for (int stream = 0; stream < kStreams; ++stream)
		{
			callers.emplace_back([&, stream] {
				answers[std::size_t(stream)] = rig.gateways[0].call("/stream/same?do=stream", GatewayRig::headersFor(fmt::format("by-{}-{}", round, stream)));
			});
		}
		lab::pauseMs(60);
		// One that may not be repeated, and another one each time: none ends three.
		rig.gateways[0].call(fmt::format("/once/{}?do=crash", round), GatewayRig::headersFor(fmt::format("ends-{}", round)));
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		for (const RigAnswer& answer : answers)
		{
			cr_assert(200 == answer.status && allEvents() == answer.body, "%d %s", answer.status, answer.body.c_str());
		}
		rig.revive();
	}
	cr_assert(kRounds == rig.crashed);
	lab::pauseMs(kToldMs);
	const httplib::Result rows = clientOf(rig.rig.store.address).Get("/rows-get?table=archdyke_crashes&part=&limit=500");
	cr_assert(kRounds == Json::parse(rows->body)["rows"].size(), "%s", rows->body.c_str());
	cr_assert(kRounds == rig.gateways[0].dump()["crashes"].size(), "what ended them is remembered");
}
