/// Cold upstreams that restart while callers wait: the total that all gateways send to each of them.
#include "archdyke/cold_share.h"
#include "archdyke/resend_share.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <string>
#include <vector>

using namespace archdyke;

namespace
{
	constexpr std::size_t kUpstreams = 24;
	constexpr double kSustainedPerS = 18.0;
	constexpr double kPeakPerS = 18.0 * 1.5 + 5.0;
	constexpr Millis kReportIntervalMs = 100;
	constexpr Millis kStepMs = 10;
	constexpr Millis kCountWindowMs = 10'000;
	/// Maximum connect time: a send arrives up to this much later than it was decided.
	constexpr Millis kMaxConnectMs = 400;

	struct Gateway
	{
		std::string name;
		ResendShare told;
		std::vector<ColdState> states = std::vector<ColdState>(kUpstreams);
		bool partitioned = false; ///< Partitioned from the coordinators: gets no gateway counts and isn't counted, but reaches the upstreams.
	};

	/// Gateways with more callers than they may send to upstreams that became cold together.
	class Flood
	{
	public:
		Flood(std::size_t _gateways, std::uint64_t _seed)
		    : random(_seed)
		    , gateways(_gateways)
		{
			for (std::size_t index = 0; index < _gateways; ++index)
			{
				this->gateways[index].name = "gateway-" + std::to_string(_seed) + "-" + std::to_string(index);
			}
			for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream)
			{
				this->upstreams.push_back("upstream-" + std::to_string(_seed) + "-" + std::to_string(upstream));
			}
		}

		void run(Millis _forMs)
		{
			for (const Millis until = this->now + _forMs; this->now < until; this->now += kStepMs)
			{
				if (0 == this->now % kReportIntervalMs)
				{
					this->reportCount();
				}
				for (Gateway& gateway : this->gateways)
				{
					this->send(gateway);
				}
			}
		}

		/// Restarts all gateways, which lose the reported counts and their send history.
		void restartAll()
		{
			for (Gateway& gateway : this->gateways)
			{
				gateway.told = {};
				gateway.states = std::vector<ColdState>(kUpstreams);
			}
			this->startedAt = this->now;
		}

		/// @returns Maximum number of arrivals at one upstream in any second.
		std::size_t maxArrivalsPerS()
		{
			std::size_t result = 0;
			for (std::vector<Millis>& times : this->arrivals)
			{
				std::sort(times.begin(), times.end());
				for (std::size_t first = 0, last = 0; last < times.size(); ++last)
				{
					while (times[last] - times[first] >= 1'000)
					{
						++first;
					}
					result = std::max(result, last - first + 1);
				}
			}
			return result;
		}

		/// @returns Arrivals at all upstreams in [_from, _to).
		std::size_t arrivalsBetween(Millis _from, Millis _to) const
		{
			std::size_t result = 0;
			for (const std::vector<Millis>& times : this->arrivals)
			{
				result += std::size_t(std::count_if(times.begin(), times.end(), [&](Millis _at) {
					return _from <= _at && _at < _to;
				}));
			}
			return result;
		}

		Millis now = 10'000;
		std::mt19937_64 random;
		std::vector<Gateway> gateways;

	private:
		/// @returns Number of upstreams of all services: as many as gateways, and at least the cold ones.
		std::size_t upstreamCount() const
		{
			return std::max(kUpstreams, this->gateways.size());
		}

		/// Reports the gateway count. After a restart of all gateways, coordinators discover them within a second.
		void reportCount()
		{
			const auto reachable = std::size_t(std::count_if(this->gateways.begin(), this->gateways.end(), [](const Gateway& _gateway) {
				return !_gateway.partitioned;
			}));
			const double discoveredShare = std::min(1.0, double(this->now - this->startedAt + kReportIntervalMs) / 1'000.0);
			for (Gateway& gateway : this->gateways)
			{
				if (!gateway.partitioned)
				{
					recordGatewayCount(gateway.told, std::max(1U, std::uint32_t(discoveredShare * double(reachable))), kCountWindowMs, this->now);
				}
			}
		}

		void send(Gateway& _gateway)
		{
			const std::uint32_t count = estimateGatewayCount(_gateway.told, this->upstreamCount(), kCountWindowMs, this->now);
			if (count != this->shareCount)
			{
				this->share = computeColdShare({kSustainedPerS, kPeakPerS, count});
				this->shareCount = count;
			}
			for (std::size_t index = 0; index < kUpstreams; ++index)
			{
				ColdState& state = _gateway.states[index];
				while (maySendCold(state, coldSendsPerWindow(this->share, _gateway.name, this->upstreams[index]), this->now))
				{
					recordColdSend(state, this->now);
					this->arrivals[index].push_back(this->now + Millis(this->random() % (kMaxConnectMs + 1)));
				}
			}
		}

		Millis startedAt = 0;
		std::uint32_t shareCount = 0;
		ColdShare share;
		std::vector<std::string> upstreams;
		std::vector<std::vector<Millis>> arrivals = std::vector<std::vector<Millis>>(kUpstreams);
	};

	/// Partitions the first gateways from the coordinators, or ends the partition.
	void setPartitioned(Flood& _flood, std::size_t _first, bool _partitioned)
	{
		std::for_each_n(_flood.gateways.begin(), _first, [&](Gateway& _gateway) {
			_gateway.partitioned = _partitioned;
		});
	}

	void expectBelowPeak(Flood& _flood)
	{
		cr_assert(double(_flood.maxArrivalsPerS()) <= kPeakPerS, "%zu in a second of %zu gateways", _flood.maxArrivalsPerS(), _flood.gateways.size());
	}
} // namespace

Test(cold_share, arrivals_in_any_second_stay_below_the_peak_rate)
{
	for (const std::size_t count : {1, 2, 16, 17, 25, 36, 100, 300})
	{
		for (std::uint64_t seed = 1; seed <= 5; ++seed)
		{
			Flood flood(count, seed);
			flood.run(5'000);
			cr_assert(double(flood.maxArrivalsPerS()) <= kPeakPerS, "%zu in a second of %zu gateways, seed %d", flood.maxArrivalsPerS(), count, int(seed));
		}
	}
}

Test(cold_share, partitioned_gateways_send_no_more_than_before)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 7);
		flood.run(3'000);
		setPartitioned(flood, count / 3, true);
		flood.run(15'000);
		setPartitioned(flood, count, false);
		flood.run(4'000);
		expectBelowPeak(flood);
	}
}

Test(cold_share, a_restart_of_all_gateways_stays_below_the_peak_rate)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 11);
		flood.run(3'000);
		flood.restartAll();
		flood.run(5'000);
		flood.restartAll();
		flood.run(5'000);
		expectBelowPeak(flood);
	}
}

/// Less than the sustained rate is sent since a window is longer than a second and the number of selected gateways varies.
Test(cold_share, a_flood_gets_most_of_the_sustained_rate)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 3);
		flood.run(8'000);
		const double perS = double(flood.arrivalsBetween(13'000, 17'000)) / 4.0;
		cr_assert(0.45 * kSustainedPerS * double(kUpstreams) < perS, "%.0f a second of %zu gateways", perS, count);
		cr_assert(36 != count || 0.65 * kSustainedPerS * double(kUpstreams) < perS, "%.0f a second", perS);
	}
}

/// Gateways and upstreams restart together: 1,900 requests were refused in the 2.5 s in which no gateway count
/// was reported.
Test(cold_share, a_flood_is_partly_served_while_no_gateway_count_is_reported)
{
	for (const std::size_t count : {36, 100, 300})
	{
		Flood flood(count, 5);
		setPartitioned(flood, count, true);
		flood.run(4'000);
		const double perS = double(flood.arrivalsBetween(11'000, 13'000)) / 2.0;
		expectBelowPeak(flood);
		cr_assert(0.1 * kSustainedPerS * double(kUpstreams) < perS, "%.0f a second of %zu gateways", perS, count);
	}
}

Test(cold_share, gateway_estimate_is_high_until_the_reported_count_is_steady)
{
	ResendShare told;
	cr_assert(128 == estimateGatewayCount(told, 7, kCountWindowMs, 1'000));
	cr_assert(158 == estimateGatewayCount(told, 79, kCountWindowMs, 1'000));
	cr_assert(kMaxGateways == estimateGatewayCount(told, 5'000, kCountWindowMs, 1'000));
	recordGatewayCount(told, 200, kCountWindowMs, 1'000);
	cr_assert(200 == estimateGatewayCount(told, 79, kCountWindowMs, 1'000));
	for (Millis now = 1'100; now <= 14'000; now += kReportIntervalMs)
	{
		recordGatewayCount(told, 36, kCountWindowMs, now);
	}
	cr_assert(36 == estimateGatewayCount(told, 79, kCountWindowMs, 14'000));
	cr_assert(158 == estimateGatewayCount(told, 79, kCountWindowMs, 17'000));
}

Test(cold_share, extra_sends_survive_a_restart_and_differ_between_gateways)
{
	const ColdShare share = computeColdShare({kSustainedPerS, kPeakPerS, 36});
	std::uint32_t both = 0;
	std::uint32_t one = 0;
	for (int upstream = 0; upstream < 400; ++upstream)
	{
		const std::string name = "u-" + std::to_string(upstream);
		const std::uint32_t first = coldSendsPerWindow(share, "gateway-1", name);
		const std::uint32_t second = coldSendsPerWindow(share, "gateway-2", name);
		cr_assert(first == coldSendsPerWindow(share, "gateway-1", name));
		one += first;
		both += first * second;
	}
	cr_assert(150 < one && one < 250 && both < one * 2 / 3, "%u, both %u", one, both);
}

Test(cold_share, a_shorter_cold_time_does_not_replace_a_longer_one)
{
	ColdState state;
	recordCold(state, 3'000, 1'000);
	recordCold(state, 500, 2'000);
	cr_assert(2'000 == remainingColdMs(state, 2'000));
	recordCold(state, 3'000, 2'000);
	cr_assert(3'000 == remainingColdMs(state, 2'000) && 0 == remainingColdMs(state, 5'000));
}
