/// Clients of a soak that don't behave: they stop short of the end of a request, send too much, or don't read. None of their
/// requests runs.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "soak_deployment.h"

namespace archdyke::lab
{
	class SoakCrowd
	{
	public:
		/// Starts the clients, which connect to random gateways again and again.
		SoakCrowd(SoakDeployment& _deployment, std::uint64_t _seed, std::uint32_t _clients);
		~SoakCrowd();
		SoakCrowd(const SoakCrowd&) = delete;
		SoakCrowd& operator=(const SoakCrowd&) = delete;

	private:
		void play(std::uint64_t _seed, std::uint32_t _clients);

		SoakDeployment& deployment;
		std::atomic<bool> ended = false;
		std::thread thread;
	};
} // namespace archdyke::lab
