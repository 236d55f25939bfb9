/// Callers of a soak: each sends one request after the other over connections to any gateway.
#pragma once

#include <thread>

#include "soak_deployment.h"

namespace archdyke::lab
{
	class SoakCallers
	{
	public:
		/// Starts them.
		/// @param[in] _deployment Outlives the callers.
		/// @param[in] _crashes One more sends requests that end upstreams, each again and again through all gateways.
		SoakCallers(SoakDeployment& _deployment, std::uint64_t _seed, bool _crashes);
		~SoakCallers();
		SoakCallers(const SoakCallers&) = delete;
		SoakCallers& operator=(const SoakCallers&) = delete;

		/// Ends them.
		/// @returns What all their requests came to.
		std::vector<SoakCall> stop();

	private:
		void call(std::size_t _index);
		void crash();
		void add(SoakCall _call);
		void join();

		SoakDeployment& deployment;
		const std::uint64_t seed;
		std::atomic<bool> over{false};
		absl::Mutex mutex;
		std::vector<SoakCall> calls; ///< Under the mutex.
		std::vector<std::thread> threads;
	};
} // namespace archdyke::lab
