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
			const RigAnswer answer = GatewayRig::callAt(this->gateways[_gateway].callers, _target, GatewayRig::headersFor("crash-" + std::to_string(this->calls), _patienceMs));
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

/// A request ended each upstream that began to run it, and its caller sent it again and again through all gateways. Each
/// gateway sent it on every time: after three upstreams had ended, more followed.
Test(gateway, a_request_that_ended_three_upstreams_reaches_no_more)
{
	CrashRig rig(6, 3);
	const std::string target = "/safe/x?do=crash";
	rig.crashSome(target, kCrashes);
	lab::pauseMs(kToldMs);
	const std::size_t before = rig.crashed;
	std::size_t refused = 0;
	for (std::size_t call = 0; call < 2 * rig.gateways.size(); ++call)
	{
		const RigAnswer answer = rig.crash(call % rig.gateways.size(), target);
		refused += 503 == answer.status ? 1 : 0;
	}
	cr_assert(before == rig.crashed, "%zu more upstreams ended after the first %zu", rig.crashed - before, before);
	cr_assert(2 * rig.gateways.size() == refused);
	const RigAnswer other = GatewayRig::callAt(rig.gateways[0].callers, "/safe/y?do=ok", GatewayRig::headersFor("other"));
	cr_assert(200 == other.status, "others are served");
}
