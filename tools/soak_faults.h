/// Injects the scheduled faults of a soak run into the deployment.
#pragma once

#include "soak_deployment.h"

namespace archdyke::lab
{
	/// Runs the fault schedule of a seed, which starts at construction.
	class SoakFaults
	{
	public:
		SoakFaults(const ChaosOptions& _options, SoakDeployment& _deployment);

		/// Starts and ends the faults that are due.
		void step();

		bool isFinished() const;

		/// @returns Number of started faults by kind.
		const std::map<std::string, int>& startedCounts() const;

	private:
		struct ActiveFault
		{
			PlannedFault fault;
			std::size_t target = 0; ///< Index of the affected part among the parts of its type.
			std::size_t span = 0;   ///< Index of its span in the record.
		};

		void begin(const PlannedFault& _fault);

		SoakDeployment& deployment;
		std::vector<PlannedFault> plan; ///< Faults that have not started.
		std::vector<ActiveFault> active;
		std::map<std::string, int> counts;
		const Millis begunAt;
	};
} // namespace archdyke::lab
