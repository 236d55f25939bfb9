/// Test rig: upstream stubs that crash under requests, and several gateways.
#pragma once

#include <set>

#include "gateway_rig.h"

namespace archdyke::tests
{
	/// Maximum time until all gateways know of a crash, ms: the shortest limit of a deployment, less a margin.
	constexpr Millis kPropagationMs = 2'000;
	constexpr Millis kCrashCheckMs = 300; ///< Time in which a gateway detects that an upstream has ended.

	inline bool isRefusedForCrashes(const RigResponse& _answer)
	{
		return 503 == _answer.status && "crashes_upstreams\n" == _answer.body;
	}

	/// Upstreams that are restarted under a new name at their old address when they crash, and their gateways.
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

		/// Restarts the upstreams that have ended and waits until all gateways know them.
		/// @returns How many had ended.
		std::size_t restartEnded()
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
				worker.process = startTool("stub-worker", {{"id", worker.id}, {"address", worker.address}, {"crashParts", this->crashParts}}, this->rig.directory.path + "/" + worker.id + ".log");
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

		/// Sends a request that crashes upstreams through one gateway, then restarts them.
		RigResponse crash(std::size_t _gateway, const std::string& _target, Millis _timeoutMs = 1'500)
		{
			this->calls += 1;
			const RigResponse answer = this->gateways[_gateway].call(_target, GatewayRig::headersFor("crash-" + std::to_string(this->calls), _timeoutMs));
			lab::pauseMs(kCrashCheckMs);
			this->restartEnded();
			return answer;
		}

		/// Sends the request through the gateways in turn until the given number of upstreams has ended.
		void crashUpstreams(const std::string& _target, std::size_t _upstreams)
		{
			for (std::size_t call = 0; this->crashed < _upstreams && call < 3 * _upstreams; ++call)
			{
				this->crash(call % this->gateways.size(), _target);
			}
			cr_assert(_upstreams <= this->crashed, "%zu ended", this->crashed);
		}

		/// Lets a request crash as many upstreams as it takes to have it refused, and waits until all gateways know.
		/// @returns How many have ended.
		std::size_t crashUntilRefused(const std::string& _target)
		{
			constexpr std::size_t kCrashesToRefuse = 3;
			this->crashUpstreams(_target, kCrashesToRefuse);
			lab::pauseMs(kPropagationMs);
			return this->crashed;
		}

		GatewayRig rig;
		std::vector<RigGateway> gateways;
		std::size_t crashed = 0;               ///< Number of upstreams that have ended so far.
		std::vector<std::string> crashParts{}; ///< Parts of prompts that crash restarted upstreams.

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
} // namespace archdyke::tests
