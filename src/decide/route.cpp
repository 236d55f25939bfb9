#include "archdyke/route.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace archdyke
{
	namespace
	{
		/// How much more loaded than the best other candidate the agent with the cached prefix may
		/// be, runs per slot.
		constexpr double kMaxAffinityExtraLoad = 0.25;

		enum class ZoneFilter
		{
			Own,
			Other
		};

		bool passes(const AgentCandidate& _candidate, ZoneFilter _filter)
		{
			return _candidate.usable && (ZoneFilter::Own == _filter) == _candidate.ownZone;
		}

		/// Scans from a random index to the next usable candidate, without building a list.
		std::optional<std::size_t> pickRandom(const std::vector<AgentCandidate>& _candidates, ZoneFilter _filter, Random& _random)
		{
			const std::size_t start = randomBelow(_random, _candidates.size());
			for (std::size_t step = 0; step < _candidates.size(); ++step)
			{
				const std::size_t index = (start + step) % _candidates.size();
				if (passes(_candidates[index], _filter))
				{
					return index;
				}
			}
			return std::nullopt;
		}

		/// @returns The less loaded of two random candidates, which differ if there is more than one.
		std::optional<std::size_t> pickBetterOfTwo(const std::vector<AgentCandidate>& _candidates, ZoneFilter _filter, Random& _random)
		{
			const std::optional<std::size_t> first = pickRandom(_candidates, _filter, _random);
			if (!first)
			{
				return std::nullopt;
			}
			const std::size_t start = *first + 1 + randomBelow(_random, _candidates.size() - 1);
			std::size_t second = *first;
			for (std::size_t step = 0; step < _candidates.size() && second == *first; ++step)
			{
				const std::size_t index = (start + step) % _candidates.size();
				second = passes(_candidates[index], _filter) ? index : second;
			}
			return loadOf(_candidates[second]) < loadOf(_candidates[*first]) ? second : *first;
		}

		double costMs(const AgentCandidate& _candidate)
		{
			return 2.0 * _candidate.distanceMs + expectedWaitMs(_candidate);
		}

		/// Rendezvous hashing: D. G. Thaler, C. V. Ravishankar, IEEE/ACM ToN 6(1), 1998.
		std::optional<std::size_t> findPrefixHolder(const std::vector<AgentCandidate>& _candidates, std::uint64_t _prefix)
		{
			std::optional<std::size_t> holder;
			std::uint64_t highest = 0;
			for (std::size_t index = 0; index < _candidates.size(); ++index)
			{
				const std::uint64_t weight = XXH64(&_candidates[index].id, sizeof(std::uint64_t), _prefix);
				if (passes(_candidates[index], ZoneFilter::Own) && (!holder || weight > highest))
				{
					holder = index;
					highest = weight;
				}
			}
			return holder;
		}

		std::vector<std::size_t> sortedByHash(const std::vector<std::string>& _names)
		{
			std::vector<std::size_t> order(_names.size());
			std::iota(order.begin(), order.end(), 0);
			std::sort(order.begin(), order.end(), [&](std::size_t _a, std::size_t _b) {
				const std::uint64_t a = stableHash(_names[_a]);
				const std::uint64_t b = stableHash(_names[_b]);
				return a != b ? a < b : _names[_a] < _names[_b];
			});
			return order;
		}
	} // namespace

	double loadOf(const AgentCandidate& _candidate)
	{
		const double runs = double(_candidate.reported) + double(_candidate.sentSinceReport) + 1.0;
		return runs / double(std::max(1u, _candidate.slots));
	}

	double expectedWaitMs(const AgentCandidate& _candidate)
	{
		return std::max(0.0, loadOf(_candidate) - 1.0) * _candidate.meanRunMs;
	}

	std::optional<std::size_t> chooseAgent(const std::vector<AgentCandidate>& _candidates, std::optional<std::uint64_t> _prefix, Random& _random)
	{
		std::optional<std::size_t> best = pickBetterOfTwo(_candidates, ZoneFilter::Own, _random);
		if (best && _prefix)
		{
			const std::size_t holder = *findPrefixHolder(_candidates, *_prefix);
			if (loadOf(_candidates[holder]) <= loadOf(_candidates[*best]) + kMaxAffinityExtraLoad)
			{
				best = holder;
			}
		}
		if (best && 0.0 == expectedWaitMs(_candidates[*best]))
		{
			return best;
		}
		const std::optional<std::size_t> remote = pickBetterOfTwo(_candidates, ZoneFilter::Other, _random);
		if (!best || (remote && costMs(_candidates[*remote]) < costMs(_candidates[*best])))
		{
			return remote;
		}
		return best;
	}

	std::optional<std::size_t> chooseAtRandom(const std::vector<AgentCandidate>& _candidates, Random& _random)
	{
		const std::size_t start = randomBelow(_random, _candidates.size());
		for (std::size_t step = 0; step < _candidates.size(); ++step)
		{
			const std::size_t index = (start + step) % _candidates.size();
			if (_candidates[index].usable)
			{
				return index;
			}
		}
		return std::nullopt;
	}

	std::optional<std::size_t> chooseRoundRobin(const std::vector<AgentCandidate>& _candidates, std::uint64_t& _next)
	{
		for (std::size_t step = 0; step < _candidates.size(); ++step)
		{
			const std::size_t index = _next++ % _candidates.size();
			if (_candidates[index].usable)
			{
				return index;
			}
		}
		return std::nullopt;
	}

	std::optional<std::size_t> chooseLeastReported(const std::vector<AgentCandidate>& _candidates)
	{
		std::optional<std::size_t> best;
		for (std::size_t index = 0; index < _candidates.size(); ++index)
		{
			const AgentCandidate& candidate = _candidates[index];
			if (candidate.usable && (!best || candidate.reported < _candidates[*best].reported))
			{
				best = index;
			}
		}
		return best;
	}

	std::vector<std::size_t> chooseSubset(const std::string& _self, const std::vector<std::string>& _entries, const std::vector<std::string>& _agents, std::uint32_t _coverage)
	{
		const std::vector<std::size_t> order = sortedByHash(_agents);
		const std::vector<std::size_t> entryOrder = sortedByHash(_entries);
		std::size_t position = 0;
		while (position < entryOrder.size() && _entries[entryOrder[position]] != _self)
		{
			++position;
		}
		const std::size_t count = entryOrder.size();
		if (position == count || count <= _coverage)
		{
			return order;
		}
		std::vector<std::size_t> subset;
		for (std::size_t agent = 0; agent < order.size(); ++agent)
		{
			// Agent number k is covered by the entries from position k * count / agents on.
			const std::size_t first = agent * count / order.size();
			if ((position + count - first) % count < _coverage)
			{
				subset.push_back(order[agent]);
			}
		}
		return subset;
	}

	std::vector<std::size_t> chooseSample(const std::string& _self, const std::vector<std::string>& _agents, std::size_t _count)
	{
		std::vector<std::size_t> order(_agents.size());
		std::iota(order.begin(), order.end(), 0);
		const std::uint64_t seed = stableHash(_self);
		std::sort(order.begin(), order.end(), [&](std::size_t _a, std::size_t _b) {
			return stableHash(_agents[_a], seed) > stableHash(_agents[_b], seed);
		});
		order.resize(std::min(order.size(), _count));
		return order;
	}

	std::uint64_t stableHash(std::string_view _text, std::uint64_t _seed)
	{
		return XXH64(_text.data(), _text.size(), _seed);
	}
} // namespace archdyke
