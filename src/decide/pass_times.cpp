#include "archdyke/pass_times.h"

#include <algorithm>
#include <vector>

namespace archdyke
{
	namespace
	{
		/// Long passes are looked for over this long, ms: a dozen passes, half of a usual stream.
		constexpr Millis kLongWindowMs = 1'000;
		/// Share of the passes that end within the long one. The very longest stands for a single event,
		/// like a switch of maps, which is over when the next request comes.
		constexpr double kLongQuantile = 0.9;

		double passMsBetween(const SeenStep& _first, const SeenStep& _last)
		{
			return double(_last.at - _first.at) / double(_last.step - _first.step);
		}
	} // namespace

	void noteStep(PassTimes& _times, std::uint64_t _epoch, std::uint64_t _step, Millis _now)
	{
		if (_times.epoch != _epoch)
		{
			_times.seen.clear();
			_times.epoch = _epoch;
		}
		if (_times.seen.empty() || _times.seen.back().step < _step)
		{
			_times.seen.push_back({_step, _now});
		}
		while (2 < _times.seen.size() && _times.seen[1].at < _now - kLongWindowMs)
		{
			_times.seen.pop_front();
		}
	}

	double longPassMs(const PassTimes& _times)
	{
		std::vector<double> passes;
		for (std::size_t index = 1; index < _times.seen.size(); ++index)
		{
			const SeenStep& before = _times.seen[index - 1];
			const SeenStep& after = _times.seen[index];
			// Steps that were passed over unseen took their share each.
			passes.insert(passes.end(), std::size_t(after.step - before.step), passMsBetween(before, after));
		}
		if (passes.empty())
		{
			return 0.0;
		}
		const std::size_t rank = std::min(passes.size() - 1, std::size_t(kLongQuantile * double(passes.size())));
		std::nth_element(passes.begin(), passes.begin() + std::ptrdiff_t(rank), passes.end());
		return passes[rank];
	}
} // namespace archdyke
