/// Bounds the probability that too many of a number of independent processes are selected at the same time.
#pragma once

namespace archdyke
{
	/// @param[in] _count Number of processes.
	/// @param[in] _wanted Wanted probability with which each one is selected.
	/// @param[in] _max Number of selected processes that is still harmless.
	/// @returns The largest probability up to _wanted with which more than _max are selected once in a million times.
	double limitSelectionProbability(double _count, double _wanted, double _max);
} // namespace archdyke
