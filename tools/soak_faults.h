/// The faults of a soak: what each kind does to the deployment, and when.
#pragma once

#include "soak_deployment.h"

namespace archdyke::lab
{
	/// Plays the schedule of a seed, which begins with its construction.
	class SoakFaults
	{
	public:
		SoakFaults(const ChaosOptions& _options, SoakDeployment& _deployment);

		/// Begins and ends what is due.
		void step();

		bool areOver() const;

		/// @returns How many began, by kind.
		const std::map<std::string, int>& begun() const;

	private:
		struct ActiveFault
		{
			PlannedFault fault;
			std::size_t target = 0; ///< Index of what was struck, among its kind.
			std::size_t span = 0;   ///< Index in the record.
		};

		void begin(const PlannedFault& _fault);

		SoakDeployment& deployment;
		std::vector<PlannedFault> plan; ///< Not begun yet.
		std::vector<ActiveFault> active;
		std::map<std::string, int> counts;
		const Millis begunAt;
	};
} // namespace archdyke::lab
