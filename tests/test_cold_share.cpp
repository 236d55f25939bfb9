/// Upstreams that come back cold while callers wait: what all gateways together send to one.
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
	constexpr double kBornePerS = 18.0;
	constexpr double kMostPerS = 18.0 * 1.5 + 5.0;
	constexpr Millis kTellMs = 100;
	constexpr Millis kStepMs = 10;
	constexpr Millis kToldWindowMs = 10'000;
	/// Longest wait for a connection, ms: a send arrives that much later than it was decided.
	constexpr Millis kMostConnectMs = 400;

	struct Gateway
	{
		std::string name;
		ResendShare told;
		std::vector<ColdState> states = std::vector<ColdState>(kUpstreams);
		bool cut = false; ///< Nobody tells it their number, and nobody counts it; it reaches the upstreams.
	};

	/// Gateways that all have more callers than they may send to upstreams that turned cold together.
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
				if (0 == this->now % kTellMs)
				{
					this->tell();
				}
				for (Gateway& gateway : this->gateways)
				{
					this->send(gateway);
				}
			}
		}

		/// Restarts of all: they forget what they were told and what they sent.
		void restartAll()
		{
			for (Gateway& gateway : this->gateways)
			{
				gateway.told = {};
				gateway.states = std::vector<ColdState>(kUpstreams);
			}
			this->startedAt = this->now;
		}

		/// @returns The most arrivals at one upstream in any second.
		std::size_t most()
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

		/// @returns Arrivals at all upstreams within some time.
		std::size_t arrived(Millis _from, Millis _to) const
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
		/// Upstreams of all services: as many as there are gateways, and at least those that are cold.
		std::size_t listed() const
		{
			return std::max(kUpstreams, this->gateways.size());
		}

		/// After a restart of all, coordinators hear of ever more of them within a second.
		void tell()
		{
			const auto heard = std::size_t(std::count_if(this->gateways.begin(), this->gateways.end(), [](const Gateway& _gateway) {
				return !_gateway.cut;
			}));
			const double part = std::min(1.0, double(this->now - this->startedAt + kTellMs) / 1'000.0);
			for (Gateway& gateway : this->gateways)
			{
				if (!gateway.cut)
				{
					noteGateways(gateway.told, std::max(1U, std::uint32_t(part * double(heard))), kToldWindowMs, this->now);
				}
			}
		}

		void send(Gateway& _gateway)
		{
			const std::uint32_t count = gatewaysAssumed(_gateway.told, this->listed(), kToldWindowMs, this->now);
			if (count != this->sharedBy)
			{
				this->share = coldShareOf({kBornePerS, kMostPerS, count});
				this->sharedBy = count;
			}
			for (std::size_t index = 0; index < kUpstreams; ++index)
			{
				ColdState& state = _gateway.states[index];
				while (maySendCold(state, sendsInWindow(this->share, _gateway.name, this->upstreams[index]), this->now))
				{
					noteColdSend(state, this->now);
					this->arrivals[index].push_back(this->now + Millis(this->random() % (kMostConnectMs + 1)));
				}
			}
		}

		Millis startedAt = 0;
		std::uint32_t sharedBy = 0;
		ColdShare share;
		std::vector<std::string> upstreams;
		std::vector<std::vector<Millis>> arrivals = std::vector<std::vector<Millis>>(kUpstreams);
	};

	/// Cuts the first gateways off from those that tell the number, or no longer.
	void setCut(Flood& _flood, std::size_t _first, bool _cut)
	{
		std::for_each_n(_flood.gateways.begin(), _first, [&](Gateway& _gateway) {
			_gateway.cut = _cut;
		});
	}

	void expectBorne(Flood& _flood)
	{
		cr_assert(double(_flood.most()) <= kMostPerS, "%zu in a second of %zu gateways", _flood.most(), _flood.gateways.size());
	}
} // namespace

Test(cold_share, no_second_of_a_flood_brings_more_than_an_upstream_survives)
{
	for (const std::size_t count : {1, 2, 16, 17, 25, 36, 100, 300})
	{
		for (std::uint64_t seed = 1; seed <= 5; ++seed)
		{
			Flood flood(count, seed);
			flood.run(5'000);
			cr_assert(double(flood.most()) <= kMostPerS, "%zu in a second of %zu gateways, seed %d", flood.most(), count, int(seed));
		}
	}
}

Test(cold_share, those_that_are_cut_off_send_no_more_than_before)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 7);
		flood.run(3'000);
		setCut(flood, count / 3, true);
		flood.run(15'000);
		setCut(flood, count, false);
		flood.run(4'000);
		expectBorne(flood);
	}
}

Test(cold_share, a_restart_of_all_gateways_brings_no_more)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 11);
		flood.run(3'000);
		flood.restartAll();
		flood.run(5'000);
		flood.restartAll();
		flood.run(5'000);
		expectBorne(flood);
	}
}

/// Less than upstreams bear is sent for two reasons: a window is longer than a second, and hashes scatter.
Test(cold_share, a_flood_gets_most_of_what_cold_upstreams_bear)
{
	for (const std::size_t count : {16, 36, 100, 300})
	{
		Flood flood(count, 3);
		flood.run(8'000);
		const double perS = double(flood.arrived(13'000, 17'000)) / 4.0;
		cr_assert(0.45 * kBornePerS * double(kUpstreams) < perS, "%.0f a second of %zu gateways", perS, count);
		cr_assert(36 != count || 0.65 * kBornePerS * double(kUpstreams) < perS, "%.0f a second", perS);
	}
}

/// Gateways and upstreams were restarted together: what was refused for as long as nobody told their number
/// was 1,900 requests in 2.5 s.
Test(cold_share, a_flood_is_served_in_part_while_nobody_tells_the_number_of_gateways)
{
	for (const std::size_t count : {36, 100, 300})
	{
		Flood flood(count, 5);
		setCut(flood, count, true);
		flood.run(4'000);
		const double perS = double(flood.arrived(11'000, 13'000)) / 2.0;
		expectBorne(flood);
		cr_assert(0.1 * kBornePerS * double(kUpstreams) < perS, "%.0f a second of %zu gateways", perS, count);
	}
}

Test(cold_share, more_gateways_are_assumed_than_upstreams_suggest_until_their_number_is_steady)
{
	ResendShare told;
	cr_assert(128 == gatewaysAssumed(told, 7, kToldWindowMs, 1'000));
	cr_assert(158 == gatewaysAssumed(told, 79, kToldWindowMs, 1'000));
	cr_assert(kMostGateways == gatewaysAssumed(told, 5'000, kToldWindowMs, 1'000));
	noteGateways(told, 200, kToldWindowMs, 1'000);
	cr_assert(200 == gatewaysAssumed(told, 79, kToldWindowMs, 1'000));
	for (Millis now = 1'100; now <= 14'000; now += kTellMs)
	{
		noteGateways(told, 36, kToldWindowMs, now);
	}
	cr_assert(36 == gatewaysAssumed(told, 79, kToldWindowMs, 14'000));
	cr_assert(158 == gatewaysAssumed(told, 79, kToldWindowMs, 17'000));
}

Test(cold_share, a_gateway_has_the_same_sends_after_a_restart_and_others_have_others)
{
	const ColdShare share = coldShareOf({kBornePerS, kMostPerS, 36});
	std::uint32_t both = 0;
	std::uint32_t one = 0;
	for (int upstream = 0; upstream < 400; ++upstream)
	{
		const std::string name = "u-" + std::to_string(upstream);
		const std::uint32_t first = sendsInWindow(share, "gateway-1", name);
		const std::uint32_t second = sendsInWindow(share, "gateway-2", name);
		cr_assert(first == sendsInWindow(share, "gateway-1", name));
		one += first;
		both += first * second;
	}
	cr_assert(150 < one && one < 250 && both < one * 2 / 3, "%u, both %u", one, both);
}

Test(cold_share, a_longer_time_that_was_told_stays)
{
	ColdState state;
	noteCold(state, 3'000, 1'000);
	noteCold(state, 500, 2'000);
	cr_assert(2'000 == warmInMs(state, 2'000));
	noteCold(state, 3'000, 2'000);
	cr_assert(3'000 == warmInMs(state, 2'000) && 0 == warmInMs(state, 5'000));
}
