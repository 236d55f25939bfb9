/// Callers of a soak run. Each sends its requests one after the other to random gateways.
#pragma once

#include <thread>

#include "soak_deployment.h"

namespace archdyke::lab
{
	/// Callers in addition to the usual ones.
	struct MoreCallers
	{
		bool crashing = false;        ///< One of requests that crash upstreams, each repeated through random gateways.
		bool plain = false;           ///< Some of plain requests with hardly a pause, so that the gateways reuse connections at once.
		std::uint32_t lateBodies = 0; ///< Callers whose bodies end some time after their heads; their deadlines are long.
		std::uint32_t uploads = 0;    ///< Callers whose long requests upstreams answer before they have read them.
	};

	class SoakCallers
	{
	public:
		/// Starts the callers.
		/// @param[in] _deployment Must outlive the callers.
		SoakCallers(SoakDeployment& _deployment, std::uint64_t _seed, const MoreCallers& _more);
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
		void runLateBodyCaller(std::size_t _index);
		void runUploadCaller(std::size_t _index);
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
