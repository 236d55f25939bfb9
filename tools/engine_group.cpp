#include "engine_group.h"

#include <algorithm>
#include <utility>

namespace archdyke::stub
{
	namespace
	{
		constexpr std::uint32_t kPrefillTokensPerStep = 256;
		/// Experts that a token activates per layer.
		constexpr int kExpertsPerToken = 2;
	} // namespace

	HostMap initialMap(std::uint32_t _ranks, std::uint32_t _experts, std::uint32_t _layers)
	{
		HostMap map;
		std::vector<std::vector<std::uint32_t>> layer;
		for (std::uint32_t expert = 0; expert < _experts; ++expert)
		{
			layer.push_back({expert * _ranks / _experts});
		}
		map.hosts.assign(_layers, layer);
		return map;
	}

	EngineGroup::EngineGroup(GroupOptions _options)
	    : settings(std::move(_options))
	    , ranks(this->settings.ranks)
	{
		for (Rank& rank : this->ranks)
		{
			rank.current = initialMap(this->settings.ranks, this->settings.experts, this->settings.layers);
			rank.counts.assign(this->settings.layers, std::vector<std::uint64_t>(this->settings.experts, 0));
		}
		this->setPopularity(std::vector<double>(this->settings.experts, 1.0));
	}

	const GroupOptions& EngineGroup::options() const
	{
		return this->settings;
	}

	void EngineGroup::setPopularity(std::vector<double> _weights)
	{
		_weights.resize(this->settings.experts, 1.0);
		double sum = 0.0;
		this->cumulative.clear();
		for (const double weight : _weights)
		{
			sum += weight;
			this->cumulative.push_back(sum);
		}
	}

	std::uint32_t EngineGroup::pickExpert(Random& _random) const
	{
		const double draw = std::uniform_real_distribution<double>(0.0, this->cumulative.back())(_random);
		const auto it = std::upper_bound(this->cumulative.begin(), this->cumulative.end(), draw);
		return std::min<std::uint32_t>(std::uint32_t(it - this->cumulative.begin()), this->settings.experts - 1);
	}

	void EngineGroup::add(std::uint32_t _rank, std::shared_ptr<Sequence> _sequence)
	{
		this->ranks[_rank].waiting.push_back(std::move(_sequence));
	}

	void EngineGroup::admit(Rank& _rank)
	{
		while (!_rank.waiting.empty() && _rank.running.size() < this->settings.batch)
		{
			const std::shared_ptr<Sequence> sequence = _rank.waiting.front();
			_rank.waiting.pop_front();
			const auto cached = std::find(_rank.cache.begin(), _rank.cache.end(), sequence->prefix);
			sequence->prefixHit = _rank.cache.end() != cached;
			if (sequence->prefixHit)
			{
				_rank.cache.erase(cached);
			}
			_rank.cache.push_front(sequence->prefix);
			if (this->settings.cachedPrefixes < _rank.cache.size())
			{
				_rank.cache.pop_back();
			}
			sequence->prefillLeft = sequence->prefixHit ? 1 : 1 + sequence->promptTokens / kPrefillTokensPerStep;
			_rank.running.push_back(sequence);
		}
	}

	/// @returns Number of tokens that the rank processes in this step.
	std::uint32_t EngineGroup::advance(Rank& _rank)
	{
		this->admit(_rank);
		std::uint32_t tokens = 0;
		for (const std::shared_ptr<Sequence>& sequence : _rank.running)
		{
			if (sequence->cancelled)
			{
				continue;
			}
			tokens += 1;
			if (1 < sequence->prefillLeft)
			{
				sequence->prefillLeft -= 1;
				continue;
			}
			sequence->produced += 1;
			if (this->onToken)
			{
				this->onToken(*sequence, sequence->produced == sequence->maxTokens);
			}
		}
		std::erase_if(_rank.running, [](const std::shared_ptr<Sequence>& _sequence) {
			return _sequence->cancelled || _sequence->produced >= _sequence->maxTokens;
		});
		return tokens;
	}

	/// Each layer lasts as long as its busiest rank. Skew is the load of the busiest ranks relative to the mean, over all layers.
	double EngineGroup::stepTime(Random& _random, const std::vector<std::uint32_t>& _tokens)
	{
		double busiestSum = 0.0;
		double meanSum = 0.0;
		for (std::uint32_t layer = 0; layer < this->settings.layers; ++layer)
		{
			std::vector<double> load(this->ranks.size(), 0.0);
			for (std::size_t source = 0; source < this->ranks.size(); ++source)
			{
				for (std::uint32_t token = 0; token < _tokens[source] * kExpertsPerToken; ++token)
				{
					const std::uint32_t expert = this->pickExpert(_random);
					this->ranks[source].counts[layer][expert] += 1;
					const std::vector<std::uint32_t>& hosts = this->ranks[source].current.hosts[layer][expert];
					for (const std::uint32_t host : hosts)
					{
						load[host] += 1.0 / double(hosts.size());
					}
				}
			}
			busiestSum += *std::max_element(load.begin(), load.end());
			for (const double rankLoad : load)
			{
				meanSum += rankLoad / double(load.size());
			}
		}
		if (0.0 < meanSum)
		{
			const double skew = busiestSum / meanSum - 1.0;
			this->statistics.steps += 1;
			this->statistics.skewSum += skew;
			this->statistics.worstSkew = std::max(this->statistics.worstSkew, skew);
		}
		return this->settings.stepUs + this->settings.tokenUs * busiestSum / double(this->settings.layers);
	}

	bool EngineGroup::canStep() const
	{
		const std::uint64_t formation = this->ranks.front().map.formation;
		return std::all_of(this->ranks.begin(), this->ranks.end(), [&](const Rank& _rank) {
			const bool isStalled = 0 != _rank.map.armed && _rank.map.armedBoundary <= this->stepCount + 1;
			return _rank.alive && !isStalled && formation == _rank.map.formation;
		});
	}

	double EngineGroup::step(Random& _random)
	{
		this->stepCount += 1;
		for (Rank& rank : this->ranks)
		{
			if (0 != rank.switchAt && rank.switchAt <= this->stepCount)
			{
				this->switchMap(rank, rank.next);
			}
		}
		const HostMap& first = this->ranks.front().current;
		for (const Rank& rank : this->ranks)
		{
			this->violations += rank.current.epoch != first.epoch || rank.current.digest != first.digest ? 1 : 0;
		}
		std::vector<std::uint32_t> tokens;
		for (Rank& rank : this->ranks)
		{
			tokens.push_back(this->advance(rank));
		}
		return this->stepTime(_random, tokens);
	}

	bool EngineGroup::acceptFence(Rank& _rank, std::uint64_t _fence)
	{
		if (this->settings.checksFence && _fence < _rank.map.fence)
		{
			return false;
		}
		_rank.map.fence = std::max(_rank.map.fence, _fence);
		return true;
	}

	bool EngineGroup::stageMap(std::uint32_t _rank, std::uint64_t _fence, const HostMap& _map)
	{
		Rank& rank = this->ranks[_rank];
		if (!this->acceptFence(rank, _fence))
		{
			return false;
		}
		if (0 != rank.map.armed && rank.map.armedDigest != _map.digest)
		{
			return false;
		}
		rank.staged.clear();
		rank.staged[_map.digest] = _map;
		rank.map.stagedDigest = _map.digest;
		return true;
	}

	bool EngineGroup::arm(std::uint32_t _rank, std::uint64_t _number, std::uint64_t _formation, std::uint64_t _fromEpoch, std::uint64_t _boundary, std::uint64_t _digest, std::uint64_t _fence)
	{
		Rank& rank = this->ranks[_rank];
		if (_number == rank.map.armed)
		{
			return true;
		}
		const bool isAvailable = 0 == rank.map.armed && 0 == rank.switchAt && _number > rank.map.floor && _number > rank.map.decided;
		const bool isApplicable = _formation == rank.map.formation && _fromEpoch == rank.map.epoch && this->stepCount + 1 < _boundary && rank.staged.contains(_digest);
		if (!isAvailable || !isApplicable || !this->acceptFence(rank, _fence))
		{
			return false;
		}
		rank.map.armed = _number;
		rank.map.armedBoundary = _boundary;
		rank.map.armedDigest = _digest;
		return true;
	}

	bool EngineGroup::refuse(std::uint32_t _rank, std::uint64_t _number)
	{
		RankMap& map = this->ranks[_rank].map;
		if (map.armed == _number || (map.decided == _number && map.decidedCommit))
		{
			return false;
		}
		map.floor = std::max(map.floor, _number);
		return true;
	}

	void EngineGroup::switchMap(Rank& _rank, const HostMap& _map)
	{
		_rank.current = _map;
		_rank.switchAt = 0;
		_rank.map.epoch = _rank.current.epoch;
	}

	bool EngineGroup::release(std::uint32_t _rank, std::uint64_t _number, bool _commit)
	{
		Rank& rank = this->ranks[_rank];
		if (0 == _number || _number != rank.map.armed)
		{
			return 0 != _number && _number == rank.map.decided && _commit == rank.map.decidedCommit;
		}
		if (_commit)
		{
			rank.next = rank.staged.at(rank.map.armedDigest);
			rank.switchAt = rank.map.armedBoundary;
			rank.staged.clear();
			rank.map.stagedDigest = 0;
		}
		rank.map.armed = 0;
		rank.map.decided = _number;
		rank.map.decidedCommit = _commit;
		return true;
	}

	bool EngineGroup::form(std::uint32_t _rank, std::uint64_t _formation, std::uint64_t _digest, std::uint64_t _fence)
	{
		Rank& rank = this->ranks[_rank];
		if (_formation <= rank.map.formation || !rank.staged.contains(_digest) || !this->acceptFence(rank, _fence))
		{
			return false;
		}
		rank.map.armed = 0;
		rank.map.formation = _formation;
		this->switchMap(rank, rank.staged.at(_digest));
		rank.staged.clear();
		rank.map.stagedDigest = 0;
		return true;
	}

	const RankMap& EngineGroup::rankMap(std::uint32_t _rank) const
	{
		return this->ranks[_rank].map;
	}

	std::uint64_t EngineGroup::stepNumber() const
	{
		return this->stepCount;
	}

	std::uint64_t EngineGroup::mapViolations() const
	{
		return this->violations;
	}

	void EngineGroup::setAlive(std::uint32_t _rank, bool _alive)
	{
		Rank& rank = this->ranks[_rank];
		rank.alive = _alive;
		if (!_alive)
		{
			for (const std::shared_ptr<Sequence>& sequence : rank.running)
			{
				sequence->cancelled = true;
			}
		}
	}

	const std::vector<std::vector<std::uint64_t>>& EngineGroup::counts(std::uint32_t _rank) const
	{
		return this->ranks[_rank].counts;
	}

	const std::vector<std::vector<std::vector<std::uint32_t>>>& EngineGroup::hosts(std::uint32_t _rank) const
	{
		return this->ranks[_rank].current.hosts;
	}

	StepStatistics EngineGroup::takeStatistics()
	{
		return std::exchange(this->statistics, {});
	}

	std::uint32_t EngineGroup::load(std::uint32_t _rank) const
	{
		return std::uint32_t(this->ranks[_rank].running.size() + this->ranks[_rank].waiting.size());
	}
} // namespace archdyke::stub
