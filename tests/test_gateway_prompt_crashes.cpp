/// Parts of prompts that crash each upstream that starts to run a request with them, in requests of which no two are alike,
/// with several gateway processes.
#include <thread>

#include "crash_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Crashes after which requests with the part may reach no more than kMaxLateArrivals upstreams, once gateways know.
	constexpr std::size_t kCrashes = 5;
	constexpr std::size_t kMaxLateArrivals = 3;
	constexpr const char* kBadPart = "c0ffee";
	constexpr const char* kOtherBadPart = "bad";
	constexpr const char* kFirstPart = "a1";

	/// Upstreams that crash under certain parts of prompts.
	class PartRig : public CrashRig
	{
	public:
		PartRig(std::size_t _gateways, std::vector<std::string> _parts)
		    : CrashRig(8, _gateways)
		{
			this->crashParts = std::move(_parts);
			for (const RigWorker& worker : this->rig.workers)
			{
				clientOf(worker.address).Post("/control", Json{{"crashParts", this->crashParts}}.dump(), "application/json");
			}
		}

		/// Sends a request that differs from all others, with the given shared parts of its prompt.
		RigResponse send(std::size_t _gateway, const std::vector<std::string>& _parts, const std::string& _route = "/safe/", const std::string& _behaviour = "ok")
		{
			this->sent += 1;
			std::string prompt;
			for (const std::string& part : _parts)
			{
				prompt += part + ":40,";
			}
			httplib::Headers headers = GatewayRig::headersFor("sent-" + std::to_string(this->sent));
			headers.emplace("X-Archdyke-Token-Count", "200,20");
			headers.emplace("X-Archdyke-Prompt-Prefix", fmt::format("{}{:x}:60", prompt, 0x9000 + this->sent));
			return this->gateways[_gateway].call(fmt::format("{}{}?do={}", _route, this->sent, _behaviour), headers);
		}

		/// Sends a request that crashes an upstream, with the bad part at a place and beside other parts that differ each time,
		/// and restarts what has ended.
		RigResponse sendBad(std::size_t _gateway, const std::string& _bad = kBadPart, const std::string& _route = "/safe/", const std::string& _behaviour = "ok")
		{
			const std::string other = fmt::format("b{:x}", this->sent % 5);
			const std::vector<std::vector<std::string>> places = {{kFirstPart, _bad}, {_bad, other}, {kFirstPart, other, _bad}, {other, _bad, "d1"}};
			const RigResponse answer = this->send(_gateway, places[this->sent % places.size()], _route, _behaviour);
			lab::pauseMs(kCrashCheckMs);
			this->restartEnded();
			return answer;
		}

		/// Sends bad requests through the gateways in turn until the given number of upstreams has ended or they are refused.
		void crashWith(const std::string& _bad, std::size_t _upstreams, const std::string& _route = "/safe/", const std::string& _behaviour = "ok")
		{
			const std::size_t until = this->crashed + _upstreams;
			for (std::size_t call = 0; this->crashed < until && call < 2 * _upstreams; ++call)
			{
				this->sendBad(call % this->gateways.size(), _bad, _route, _behaviour);
			}
		}

		/// Sends bad requests through all gateways, twice each.
		/// @returns How many more upstreams have ended.
		std::size_t crashesOfFurther(const std::string& _bad = kBadPart, const std::string& _route = "/safe/", const std::string& _behaviour = "ok")
		{
			const std::size_t before = this->crashed;
			for (std::size_t call = 0; call < 2 * this->gateways.size(); ++call)
			{
				this->sendBad(call % this->gateways.size(), _bad, _route, _behaviour);
			}
			return this->crashed - before;
		}

		std::size_t sent = 0;
	};
} // namespace

/// Guards against a part of a prompt that crashes upstream after upstream in requests that are never repeated.
Test(gateway, a_part_that_ended_five_upstreams_reaches_no_more_in_other_requests)
{
	PartRig rig(3, {kBadPart});
	rig.crashWith(kBadPart, kCrashes);
	lab::pauseMs(kPropagationMs);
	const std::size_t further = rig.crashesOfFurther();
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against the same in streams, whose upstreams end after their first events.
Test(gateway, a_part_that_ended_five_upstreams_reaches_no_more_in_streams)
{
	PartRig rig(3, {kBadPart});
	rig.crashWith(kBadPart, kCrashes, "/stream/", "stream");
	lab::pauseMs(kPropagationMs);
	const std::size_t further = rig.crashesOfFurther(kBadPart, "/stream/", "stream");
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against an upstream that crashes between two events of a stream without chunks: the stream looks complete and took
/// the blame back each time.
Test(gateway, a_part_that_ends_streams_with_their_connection_is_refused)
{
	PartRig rig(2, {kBadPart});
	rig.crashWith(kBadPart, kCrashes, "/stream/", "unframed");
	lab::pauseMs(kPropagationMs);
	const std::size_t further = rig.crashesOfFurther(kBadPart, "/stream/", "unframed");
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against gateways that saw none of the crashes, started later or again, and the store dropping its history meanwhile.
Test(gateway, a_part_that_ended_five_upstreams_is_refused_by_gateways_that_saw_none)
{
	PartRig rig(2, {kBadPart});
	for (std::size_t call = 0; rig.crashed < kCrashes && call < 2 * kCrashes; ++call)
	{
		rig.sendBad(0);
	}
	rig.rig.store.control({{"forget", true}});
	rig.gateways.push_back(rig.rig.startGatewayNamed("gateway-of-later"));
	rig.gateways[0].process->kill();
	rig.gateways[0] = rig.rig.startGatewayNamed("gateway-of-again");
	for (const RigGateway& gateway : rig.gateways)
	{
		gateway.waitReady(rig.rig.workers.size());
	}
	lab::pauseMs(kPropagationMs);
	const std::size_t further = rig.crashesOfFurther();
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against several parts that crash upstreams at the same time, of which one hides the other.
Test(gateway, several_parts_that_crash_upstreams_are_all_refused)
{
	PartRig rig(2, {kBadPart, kOtherBadPart});
	for (std::size_t round = 0; round < kCrashes; ++round)
	{
		rig.crashWith(kBadPart, 1);
		rig.crashWith(kOtherBadPart, 1);
	}
	lab::pauseMs(kPropagationMs);
	const std::size_t first = rig.crashesOfFurther(kBadPart);
	const std::size_t second = rig.crashesOfFurther(kOtherBadPart);
	cr_assert(first <= kMaxLateArrivals && second <= kMaxLateArrivals, "%zu and %zu more upstreams ended", first, second);
}

/// Guards against blame for what stands beside the part: requests with the same caller, key and first part, none of which
/// ran before the crashes, must be served, and the part must stay refused after they have run.
Test(gateway, sound_requests_that_share_parts_with_crashing_ones_are_served)
{
	PartRig rig(2, {kBadPart});
	for (std::size_t call = 0; rig.crashed < kCrashes && call < 2 * kCrashes; ++call)
	{
		rig.send(call % 2, {kFirstPart, kBadPart, "d1"});
		lab::pauseMs(kCrashCheckMs);
		rig.restartEnded();
	}
	lab::pauseMs(kPropagationMs);
	for (std::size_t round = 0; round < 3; ++round)
	{
		for (std::size_t gateway = 0; gateway < rig.gateways.size(); ++gateway)
		{
			for (const std::vector<std::string>& parts : {std::vector<std::string>{kFirstPart}, {kFirstPart, "d1"}, {"d1", "d2"}})
			{
				const RigResponse answer = rig.send(gateway, parts);
				cr_assert(200 == answer.status, "%d %s", answer.status, answer.body.c_str());
			}
		}
	}
	const std::size_t further = rig.crashesOfFurther();
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against a store that comes back from a copy without the crashes: gateways that start later refuse the part, too.
Test(gateway, a_part_that_crashed_upstreams_is_refused_after_the_store_lost_the_crashes)
{
	PartRig rig(2, {kBadPart});
	const Millis copyAt = nowMs();
	lab::pauseMs(300);
	rig.crashWith(kBadPart, kCrashes);
	rig.rig.store.restore(copyAt);
	rig.rig.store.rewriteLost();
	lab::pauseMs(2 * kPropagationMs);
	rig.gateways.push_back(rig.rig.startGatewayNamed("gateway-late"));
	rig.gateways.back().waitReady(rig.rig.workers.size());
	lab::pauseMs(kPropagationMs);
	const std::size_t further = rig.crashesOfFurther();
	cr_assert(further <= kMaxLateArrivals, "%zu more upstreams ended", further);
}

/// Guards against a gateway that goes by what other gateways publish alone: without the store it counts its own crashes.
Test(gateway, a_part_that_ended_five_upstreams_is_refused_without_the_store)
{
	PartRig rig(1, {kBadPart});
	rig.rig.store.control({{"mode", "silent"}});
	std::size_t ended = 0;
	for (int call = 0; call < 8; ++call)
	{
		rig.send(0, {kFirstPart, kBadPart}, "/open/");
		lab::pauseMs(kCrashCheckMs);
	}
	for (const RigWorker& worker : rig.rig.workers)
	{
		ended += worker.process->running() ? 0 : 1;
	}
	cr_assert(ended <= kCrashes, "%zu upstreams ended", ended);
}
