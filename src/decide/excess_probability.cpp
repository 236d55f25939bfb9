#include "archdyke/excess_probability.h"

#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Logarithm of the accepted probability of an excess: one in a million, which with a hundred occasions a
		/// day occurs once in decades.
		constexpr double kLogMaxExcessProbability = -13.8;
		/// Steps of the bisection for a probability: a precision of one in a million.
		constexpr int kBisectionSteps = 20;

		/// @returns Upper bound of the logarithm of the probability that more than _max of _count processes
		/// are selected, each with probability _probability. H. Chernoff, Ann. Math. Statist. 23(4), 1952.
		double logExcessProbability(double _count, double _probability, double _max)
		{
			const double fraction = (_max + 1.0) / _count;
			if (1.0 < fraction || _probability <= 0.0)
			{
				return -HUGE_VAL;
			}
			if (fraction <= _probability)
			{
				return 0.0;
			}
			const double complement = 1.0 == fraction ? 0.0 : (1.0 - fraction) * std::log((1.0 - fraction) / (1.0 - _probability));
			return -_count * (fraction * std::log(fraction / _probability) + complement);
		}
	} // namespace

	double limitSelectionProbability(double _count, double _wanted, double _max)
	{
		if (logExcessProbability(_count, _wanted, _max) <= kLogMaxExcessProbability)
		{
			return _wanted;
		}
		double low = 0.0;
		double high = _wanted;
		for (int step = 0; step < kBisectionSteps; ++step)
		{
			const double middle = (low + high) / 2.0;
			(logExcessProbability(_count, middle, _max) <= kLogMaxExcessProbability ? low : high) = middle;
		}
		return low;
	}
} // namespace archdyke
