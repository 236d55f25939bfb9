/// The allowance of resends that gateways share without a counter: the sum over any fleet.
#include "archdyke/resend_share.h"
#include "archdyke/retry_window.h"
#include "check.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <vector>

using namespace archdyke;
using archdyke::tests::checkProperty;

namespace
{
	constexpr Millis kWindowMs = 10'000;
	constexpr Millis kTellMs = 100;
	constexpr double kAllowance = 648.0;

	/// A gateway that resends whenever it may.
	struct Gateway
	{
		ResendShare share;
		RetryWindow window;
		bool cut = false; ///< Nobody tells it, and nobody counts it.

		std::uint32_t spend(Millis _now)
		{
			std::uint32_t resends = 0;
			while (takeResend(this->window, {0.0, kAllowance * allowanceShare(this->share, kWindowMs, _now), kWindowMs}, _now))
			{
				resends += 1;
			}
			return resends;
		}
	};

	/// Resends of a whole fleet, by the time at which they were made.
	struct Fleet
	{
		std::vector<Gateway> gateways;
		std::deque<std::pair<Millis, std::uint32_t>> resends;
		std::uint32_t inWindow = 0;
		std::uint32_t most = 0;

		void step(Millis _now)
		{
			const auto counted = std::uint32_t(std::count_if(this->gateways.begin(), this->gateways.end(), [](const Gateway& _gateway) {
				return !_gateway.cut;
			}));
			for (Gateway& gateway : this->gateways)
			{
				if (!gateway.cut)
				{
					noteGateways(gateway.share, counted, kWindowMs, _now);
				}
				const std::uint32_t made = gateway.spend(_now);
				this->resends.emplace_back(_now, made);
				this->inWindow += made;
			}
			while (this->resends.front().first <= _now - kWindowMs)
			{
				this->inWindow -= this->resends.front().second;
				this->resends.pop_front();
			}
			this->most = std::max(this->most, this->inWindow);
		}
	};

	/// What may come over a fleet.
	void disturb(Fleet& _fleet, std::uint64_t _draw)
	{
		const std::size_t count = _fleet.gateways.size();
		switch (_draw % 40)
		{
		case 0: // machines are added, as many as there are at most
			_fleet.gateways.resize(std::min<std::size_t>(500, count + 1 + _draw / 40 % count));
			return;
		case 1: // a part is killed and starts anew
			std::for_each(_fleet.gateways.begin(), _fleet.gateways.begin() + std::ptrdiff_t(count / 2), [](Gateway& _gateway) {
				_gateway = Gateway();
			});
			return;
		case 2: // a zone is cut off, or is back
			std::for_each(_fleet.gateways.begin(), _fleet.gateways.begin() + std::ptrdiff_t(count / 3), [](Gateway& _gateway) {
				_gateway.cut = !_gateway.cut;
			});
			return;
		case 3: // some are removed for good
			_fleet.gateways.resize(std::max<std::size_t>(1, count - count / 4));
			return;
		default:
			return;
		}
	}
} // namespace

Test(resendshare, the_sum_over_any_fleet_stays_within_the_allowance)
{
	checkProperty("a fleet of 1 to 500 that grows, restarts and is cut", [](std::uint64_t _seed) {
		std::mt19937_64 random(_seed);
		Fleet fleet;
		fleet.gateways.resize(1 + random() % 500);
		for (Millis now = 1'000; now < 31'000; now += kTellMs)
		{
			if (0 == now % 1'000)
			{
				disturb(fleet, random());
			}
			fleet.step(now);
		}
		return fleet.most <= kAllowance;
	});
}

Test(resendshare, a_steady_fleet_has_a_quarter_of_the_allowance)
{
	for (const std::size_t size : {std::size_t(7), std::size_t(32)})
	{
		Fleet fleet;
		fleet.gateways.resize(size);
		for (Millis now = 1'000; now < 12'000; now += kTellMs)
		{
			fleet.step(now);
		}
		cr_assert(double(fleet.inWindow) > 0.25 * kAllowance - double(size) && double(fleet.inWindow) <= 0.25 * kAllowance, "%u at %zu", fleet.inWindow, size);
	}
}

Test(resendshare, what_was_told_lapses)
{
	ResendShare share;
	for (Millis now = 1'000; now <= 4'000; now += kTellMs)
	{
		noteGateways(share, 10, kWindowMs, now);
	}
	cr_assert(0.02 < allowanceShare(share, kWindowMs, 4'100));
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 7'000));
}

Test(resendshare, those_that_left_count_for_a_window)
{
	ResendShare share;
	for (Millis now = 1'000; now <= 4'000; now += kTellMs)
	{
		noteGateways(share, 100, kWindowMs, now);
	}
	for (Millis now = 4'100; now <= 9'000; now += kTellMs)
	{
		noteGateways(share, 1, kWindowMs, now);
	}
	cr_assert(0.01 > allowanceShare(share, kWindowMs, 9'000));
	for (Millis now = 9'100; now <= 15'000; now += kTellMs)
	{
		noteGateways(share, 1, kWindowMs, now);
	}
	cr_assert(0.2 < allowanceShare(share, kWindowMs, 15'000));
}

Test(resendshare, one_that_just_started_spends_nothing_of_it)
{
	ResendShare share;
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 1'000));
	noteGateways(share, 1, kWindowMs, 1'000);
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 1'000));
}
