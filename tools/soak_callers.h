/// Callers of a soak run. Each sends its requests one after the other to random gateways.
#pragma once

#include <thread>

#include "soak_deployment.h"

namespace archdyke::lab
{
	class SoakCallers
	{
	public:
		/// Starts the callers.
		/// @param[in] _deployment Must outlive the callers.
		/// @param[in] _crashes Adds a caller of requests that crash upstreams, each repeated through random gateways.
		/// @param[in] _plain Adds callers of plain requests with hardly a pause, so that the gateways reuse connections at once.
		SoakCallers(SoakDeployment& _deployment, std::uint64_t _seed, bool _crashes, bool _plain);
		~SoakCallers();
		SoakCallers(const SoakCallers&) = delete;
		SoakCallers& operator=(const SoakCallers&) = delete;

		/// Lets the additional callers of plain requests end: without faults they only take time from the others.
		void endPlain();

		/// Lets the callers end after their present requests. Does not wait for them.
		void beginStop();

		/// Stops the callers.
		/// @returns The results of all their requests.
		std::vector<SoakCall> stop();

	private:
		void runCaller(std::size_t _index);
		void runPlainCaller(std::size_t _index);
		void runCrashCaller();
		/// @returns A random gateway; at times the same one for all callers.
		SoakGatewayAddress pickGateway(Random& _random);
		void add(SoakCall _call);
		void join();

		SoakDeployment& deployment;
		const std::uint64_t seed;
		std::atomic<bool> isStopping{false};
		std::atomic<bool> isPlainStopping{false};
		absl::Mutex mutex;
		std::vector<SoakCall> calls; ///< Guarded by the mutex.
		std::vector<std::thread> threads;
	};
} // namespace archdyke::lab
