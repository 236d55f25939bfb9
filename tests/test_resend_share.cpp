/// Resend allowance that gateways share without a counter: the sum over any fleet.
#include "archdyke/resend_share.h"
#include "archdyke/retry_window.h"
#include "check.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <map>
#include <vector>

using namespace archdyke;
using archdyke::tests::checkProperty;

namespace
{
	constexpr Millis kWindowMs = 10'000;
	constexpr Millis kReportIntervalMs = 100;
	constexpr double kAllowance = 648.0;

	/// Coordinators that a gateway can reach.
	enum class Reach
	{
		All,       ///< The coordinators that most gateways reach.
		Partition, ///< A coordinator in its own partition, which counts only the gateways there.
		Nobody
	};

	/// A gateway that resends whenever it is allowed to.
	struct Gateway
	{
		ResendShare share;
		RetryWindow window;
		Reach reach = Reach::All;
		bool hasSpent = false;

		void applyCount(std::uint32_t _count, Random& _random, Millis _now)
		{
			recordGatewayCount(this->share, _count, kWindowMs, _now);
			renewRounding(this->share, kWindowMs, _random, _now);
		}

		std::uint32_t spend(Millis _now)
		{
			std::uint32_t resends = 0;
			while (takeResend(this->window, {0.0, kAllowance * allowanceShare(this->share, kWindowMs, _now), kWindowMs, this->share.rounding}, _now))
			{
				resends += 1;
				this->hasSpent = true;
			}
			return resends;
		}
	};

	/// A fleet of gateways and its resends by time.
	struct Fleet
	{
		std::vector<Gateway> gateways;
		Random random{2026};
		std::deque<std::pair<Millis, std::uint32_t>> resends;
		std::uint32_t inWindow = 0;
		std::uint32_t most = 0;

		void step(Millis _now)
		{
			std::map<Reach, std::uint32_t> counted;
			for (const Gateway& gateway : this->gateways)
			{
				counted[gateway.reach] += 1;
			}
			for (Gateway& gateway : this->gateways)
			{
				if (Reach::Nobody != gateway.reach)
				{
					gateway.applyCount(counted[gateway.reach], this->random, _now);
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

	/// Applies a random disturbance to a fleet.
	void applyDisturbance(Fleet& _fleet, std::uint64_t _draw)
	{
		const std::size_t count = _fleet.gateways.size();
		switch (_draw % 40)
		{
		case 0: // machines are added, up to twice the fleet
			_fleet.gateways.resize(std::min<std::size_t>(500, count + 1 + _draw / 40 % count));
			return;
		case 1: // half of the gateways are killed and restart
			std::for_each(_fleet.gateways.begin(), _fleet.gateways.begin() + std::ptrdiff_t(count / 2), [](Gateway& _gateway) {
				_gateway = Gateway();
			});
			return;
		case 2: // a zone is partitioned, with or without a coordinator, or reconnects
		case 4:
			std::for_each(_fleet.gateways.begin(), _fleet.gateways.begin() + std::ptrdiff_t(count / 3), [&](Gateway& _gateway) {
				const Reach away = 2 == _draw % 40 ? Reach::Nobody : Reach::Partition;
				_gateway.reach = Reach::All == _gateway.reach ? away : Reach::All;
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
		Random random(_seed);
		Fleet fleet;
		fleet.gateways.resize(1 + random() % 500);
		for (Millis now = 1'000; now < 31'000; now += kReportIntervalMs)
		{
			if (0 == now % 1'000)
			{
				applyDisturbance(fleet, random());
			}
			fleet.step(now);
		}
		return fleet.most <= kAllowance;
	});
}

/// With 531 gateways no request that an upstream failed once was resent, even in normal operation, while the budget of all
/// together was unused: a share was 0.49 of a resend, which could not be spent.
Test(resendshare, a_steady_fleet_may_spend_a_third_of_the_allowance_at_any_size)
{
	for (const std::size_t size : {1, 7, 32, 70, 531, 1'062})
	{
		Fleet fleet;
		fleet.gateways.resize(size);
		for (Millis now = 1'000; now < 25'000; now += kReportIntervalMs)
		{
			fleet.step(now);
		}
		const double spread = 2.0 * std::sqrt(double(size)); // four standard deviations of the sum of the rounding offsets
		cr_assert(double(fleet.inWindow) > 0.33 * kAllowance - spread, "%u at %zu", fleet.inWindow, size);
		cr_assert(double(fleet.most) <= kAllowance, "%u at %zu", fleet.most, size);
	}
}

/// A gateway without a resend gets one some time later, and the sum stays constant meanwhile.
Test(resendshare, no_gateway_is_left_without_resends)
{
	constexpr std::size_t kSize = 1'062;
	constexpr Millis kLongMs = 14'400'000;
	constexpr Millis kStepMs = 1'000;
	Fleet fleet;
	fleet.gateways.resize(kSize);
	for (Millis now = 1'000; now < kLongMs; now += kStepMs)
	{
		fleet.step(now);
	}
	cr_assert(double(fleet.most) <= 0.5 * kAllowance, "%u", fleet.most);
	const auto without = std::count_if(fleet.gateways.begin(), fleet.gateways.end(), [](const Gateway& _gateway) {
		return !_gateway.hasSpent;
	});
	cr_assert(without <= std::ptrdiff_t(kSize) / 20, "%td after two dozen roundings", without);
}

Test(resendshare, reported_counts_expire)
{
	ResendShare share;
	for (Millis now = 1'000; now <= 4'000; now += kReportIntervalMs)
	{
		recordGatewayCount(share, 10, kWindowMs, now);
	}
	cr_assert(0.02 < allowanceShare(share, kWindowMs, 4'100));
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 7'000));
}

/// A partition with a coordinator counts only its own gateways, which must not use that count at once.
Test(resendshare, gateways_that_left_count_for_some_windows)
{
	ResendShare share;
	for (Millis now = 1'000; now <= 4'000; now += kReportIntervalMs)
	{
		recordGatewayCount(share, 100, kWindowMs, now);
	}
	for (Millis now = 4'100; now <= 9'000; now += kReportIntervalMs)
	{
		recordGatewayCount(share, 1, kWindowMs, now);
	}
	cr_assert(0.01 > allowanceShare(share, kWindowMs, 9'000));
	for (Millis now = 9'100; now <= 60'000; now += kReportIntervalMs)
	{
		recordGatewayCount(share, 1, kWindowMs, now);
	}
	cr_assert(0.01 > allowanceShare(share, kWindowMs, 60'000));
	for (Millis now = 60'100; now <= 65'000; now += kReportIntervalMs)
	{
		recordGatewayCount(share, 1, kWindowMs, now);
	}
	cr_assert(0.2 < allowanceShare(share, kWindowMs, 65'000));
}

Test(resendshare, a_restarted_gateway_gets_almost_none_of_the_allowance)
{
	ResendShare share;
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 1'000));
	recordGatewayCount(share, 1, kWindowMs, 1'000);
	cr_assert(0.001 > allowanceShare(share, kWindowMs, 1'000));
}

Test(resendshare, the_wait_for_a_steady_count_ends_with_the_share_of_a_known_count)
{
	ResendShare share;
	cr_assert(!untilCountIsSteadyMs(share, kWindowMs, 0), "no count is reported");
	recordGatewayCount(share, 3, kWindowMs, 1'000);
	const std::optional<Millis> waitMs = untilCountIsSteadyMs(share, kWindowMs, 1'100);
	cr_assert(waitMs && 0 < *waitMs);
	cr_assert(allowanceShare(share, kWindowMs, 1'100) < allowanceShare(share, kWindowMs, 1'100 + *waitMs));
	recordGatewayCount(share, 30, kWindowMs, 1'200);
	cr_assert(*untilCountIsSteadyMs(share, kWindowMs, 1'200) > *waitMs - 100, "a count that grows starts the wait anew");
	recordGatewayCount(share, 30, kWindowMs, 2'500);
	cr_assert(!untilCountIsSteadyMs(share, kWindowMs, 2'500), "it is steady");
	cr_assert(!untilCountIsSteadyMs(share, kWindowMs, 10'000), "reports have ended");
}
