/// Limits that upstreams name: the total that all gateways send to one of them.
#include "archdyke/cold_share.h"
#include "archdyke/resend_share.h"
#include "archdyke/upstream_limit.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "check.h"

using namespace archdyke;

namespace
{
	constexpr Millis kStepMs = 20;
	constexpr Millis kReportIntervalMs = 100;
	constexpr Millis kCountWindowMs = 60'000;
	constexpr Millis kRetryWindowMs = 10'000;
	constexpr Millis kContactMs = 3'000;     ///< The limit applies from this time after it was first named.
	constexpr Millis kHeardMs = 500;         ///< It applies to a gateway from this time after it received the limit.
	constexpr Millis kMaxConnectMs = 350;    ///< Maximum time from the choice of the upstream to the send.
	constexpr Millis kResponseMs = 60;       ///< From a send to its response.
	constexpr std::size_t kUpstreams = 64;   ///< Of all services.
	constexpr std::uint64_t kNeverSteps = 0; ///< An event that doesn't occur.

	/// How often something happens to one gateway, in steps of the simulation; 0: never.
	struct Troubles
	{
		std::uint64_t restartEvery = kNeverSteps;
		std::uint64_t freezeEvery = kNeverSteps;
		std::size_t joins = 0;     ///< Gateways that are added one after the other.
		std::size_t cutOff = 0;    ///< Gateways that get no counts and aren't counted, but reach the upstream.
		Millis burstEveryMs = 100; ///< Interval between two moments at which callers arrive at all gateways.
		Millis burstMs = 100;      ///< For how long they do.
	};

	struct Gateway
	{
		ResendShare told;
		std::optional<UpstreamLimit> limit;
		LimitTerms terms;
		Millis startedAt = 0;
		Millis heardAt = 0; ///< When it received the limit; 0: not yet.
		Millis frozenUntil = 0;
		Millis downUntil = 0;
		Millis sendAt = 0; ///< When the connection of the send in progress is there; 0: none in progress.
		std::optional<Millis> countedAt;
		Millis responseAt = 0; ///< When the response to the last send arrives; 0: none expected.
		bool cutOff = false;
	};

	/// Gateways whose callers send as much as they may to one upstream, which names a limit all the time.
	class Fleet
	{
	public:
		Fleet(std::size_t _gateways, double _perSecond, const Troubles& _troubles, std::uint64_t _seed)
		    : random(_seed)
		    , perSecond(_perSecond)
		    , troubles(_troubles)
		    , gateways(_gateways)
		{
			for (std::size_t index = 0; index < std::min(_troubles.cutOff, _gateways); ++index)
			{
				this->gateways[index].cutOff = true;
			}
			// The gateways run and know how many they are before the upstream names its limit.
			this->namedAt = this->now + 5'000;
		}

		void run(Millis _forMs)
		{
			const std::size_t first = this->gateways.size();
			const Millis begunAt = this->now;
			for (; this->now < begunAt + _forMs; this->now += kStepMs)
			{
				const std::size_t joined = std::size_t(double(this->troubles.joins) * double(this->now - begunAt) / double(_forMs));
				while (this->gateways.size() < first + joined)
				{
					this->gateways.emplace_back().startedAt = this->now;
				}
				if (0 == this->now % kReportIntervalMs)
				{
					this->reportCounts();
				}
				for (Gateway& gateway : this->gateways)
				{
					this->step(gateway);
				}
			}
		}

		/// @returns Maximum number of arrivals in a window from gateways that had received the limit before.
		std::size_t maxArrivals()
		{
			std::sort(this->arrivals.begin(), this->arrivals.end());
			std::size_t most = 0;
			for (std::size_t first = 0, last = 0; last < this->arrivals.size(); ++last)
			{
				while (this->arrivals[last] - this->arrivals[first] >= LimitTerms().windowMs)
				{
					++first;
				}
				most = std::max(most, last - first + 1);
			}
			return most;
		}

		std::size_t allowed() const
		{
			const LimitTerms terms;
			return std::size_t(terms.overshoot * this->perSecond * double(terms.windowMs) / 1'000.0 + terms.allowance);
		}

		std::size_t total() const
		{
			return this->arrivals.size();
		}

	private:
		bool occurs(std::uint64_t _every)
		{
			return 0 != _every && 0 == randomBelow(this->random, _every);
		}

		void reportCounts()
		{
			const auto counted = std::count_if(this->gateways.begin(), this->gateways.end(), [&](const Gateway& _gateway) {
				return !_gateway.cutOff && _gateway.downUntil <= this->now && _gateway.frozenUntil <= this->now;
			});
			for (Gateway& gateway : this->gateways)
			{
				if (gateway.frozenUntil > this->now || gateway.downUntil > this->now)
				{
					continue;
				}
				if (!gateway.cutOff)
				{
					recordGatewayCount(gateway.told, std::uint32_t(counted), kRetryWindowMs, this->now);
				}
				LimitTerms terms;
				terms.gateways = estimateGatewayCount(gateway.told, std::max(kUpstreams, this->gateways.size()), kCountWindowMs, this->now);
				if (gateway.limit && terms != gateway.terms)
				{
					adaptLimit(*gateway.limit, this->perSecond, terms, this->now);
				}
				gateway.terms = terms;
			}
		}

		void restart(Gateway& _gateway)
		{
			const bool cutOff = _gateway.cutOff;
			_gateway = {};
			_gateway.cutOff = cutOff;
			_gateway.startedAt = this->now;
			_gateway.downUntil = this->now + 500;
		}

		void hear(Gateway& _gateway)
		{
			_gateway.responseAt = 0;
			if (this->now < this->namedAt)
			{
				return;
			}
			if (!_gateway.limit)
			{
				_gateway.limit = beginLimit(this->perSecond, _gateway.terms, _gateway.startedAt, double(randomBelow(this->random, 1'000'000)) / 1e6, this->now);
				_gateway.heardAt = this->now;
			}
			_gateway.limit->namedAt = this->now;
		}

		void send(Gateway& _gateway)
		{
			_gateway.sendAt = 0;
			if (_gateway.limit && _gateway.countedAt)
			{
				moveLimitedSend(*_gateway.limit, *_gateway.countedAt, this->now);
			}
			else if (_gateway.limit && !maySendWithin(*_gateway.limit, this->now))
			{
				return;
			}
			else if (_gateway.limit)
			{
				recordLimitedSend(*_gateway.limit, this->now);
			}
			_gateway.responseAt = this->now + kResponseMs;
			const bool applies = 0 != _gateway.heardAt && _gateway.heardAt + kHeardMs <= this->now && this->namedAt + kContactMs <= this->now;
			if (applies)
			{
				this->arrivals.push_back(this->now);
			}
		}

		void step(Gateway& _gateway)
		{
			if (this->occurs(this->troubles.restartEvery))
			{
				this->restart(_gateway);
			}
			if (this->occurs(this->troubles.freezeEvery))
			{
				_gateway.frozenUntil = this->now + 1'000 + Millis(randomBelow(this->random, 6'000));
			}
			if (this->now < _gateway.frozenUntil || this->now < _gateway.downUntil)
			{
				return;
			}
			if (0 != _gateway.responseAt && _gateway.responseAt <= this->now)
			{
				this->hear(_gateway);
			}
			if (0 != _gateway.sendAt && _gateway.sendAt <= this->now)
			{
				this->send(_gateway);
			}
			const bool hasCallers = this->now % this->troubles.burstEveryMs < this->troubles.burstMs;
			if (hasCallers && 0 == _gateway.sendAt && (!_gateway.limit || maySendWithin(*_gateway.limit, this->now)))
			{
				_gateway.countedAt.reset();
				if (_gateway.limit)
				{
					recordLimitedSend(*_gateway.limit, this->now);
					_gateway.countedAt = this->now;
				}
				_gateway.sendAt = this->now + Millis(randomBelow(this->random, kMaxConnectMs));
			}
		}

		Millis now = 10'000;
		Random random;
		double perSecond;
		Troubles troubles;
		std::vector<Gateway> gateways;
		Millis namedAt = 0;
		std::vector<Millis> arrivals; ///< Of gateways to which the limit applies.
	};

	void expectWithinLimit(std::size_t _gateways, double _perSecond, const Troubles& _troubles, std::uint64_t _seed, Millis _forMs = 45'000)
	{
		Fleet fleet(_gateways, _perSecond, _troubles, _seed);
		fleet.run(_forMs);
		const std::size_t most = fleet.maxArrivals();
		cr_assert(most <= fleet.allowed(), "%zu of %zu allowed, %zu gateways, limit %g, seed %llu", most, fleet.allowed(), _gateways, _perSecond, static_cast<unsigned long long>(_seed));
	}
} // namespace

Test(upstreamlimit, six_gateways_with_few_requests_share_a_limit_without_losing_it)
{
	Fleet fleet(6, 1.0, {}, 1);
	fleet.run(60'000);
	cr_assert(fleet.maxArrivals() <= fleet.allowed());
	cr_assert(30 <= fleet.total(), "%zu arrivals: a small fleet uses most of the limit", fleet.total());
}

Test(upstreamlimit, a_fleet_of_531_gateways_stays_within_low_and_high_limits)
{
	for (const double perSecond : {0.0, 1.0, 7.5, 60.0, 900.0})
	{
		expectWithinLimit(531, perSecond, {}, 5);
		expectWithinLimit(531, perSecond, {.burstEveryMs = 9'000, .burstMs = 400}, 6);
	}
}

Test(upstreamlimit, gateways_that_restart_and_freeze_stay_within_the_limit)
{
	for (const double perSecond : {1.0, 40.0})
	{
		expectWithinLimit(24, perSecond, {.restartEvery = 400, .freezeEvery = 300}, 7);
		expectWithinLimit(531, perSecond, {.restartEvery = 900, .freezeEvery = 600, .burstEveryMs = 5'000, .burstMs = 600}, 8);
	}
}

Test(upstreamlimit, joining_and_cut_off_gateways_stay_within_the_limit)
{
	for (const double perSecond : {1.0, 40.0})
	{
		expectWithinLimit(6, perSecond, {.joins = 12, .cutOff = 2}, 9);
		expectWithinLimit(300, perSecond, {.joins = 231, .cutOff = 60}, 10);
	}
}

/// Any fleet, limit and mix of troubles.
Test(upstreamlimit, all_gateways_together_stay_within_any_limit)
{
	tests::checkProperty("arrivals in each window stay within the limit", [] {
		const std::size_t gateways = *rc::gen::inRange<std::size_t>(1, 60);
		const double perSecond = 0.1 * double(*rc::gen::inRange(0, 600));
		Troubles troubles;
		troubles.restartEvery = *rc::gen::element(kNeverSteps, std::uint64_t(500), std::uint64_t(2'000));
		troubles.freezeEvery = *rc::gen::element(kNeverSteps, std::uint64_t(300), std::uint64_t(2'000));
		troubles.joins = *rc::gen::inRange<std::size_t>(0, gateways + 1);
		troubles.cutOff = *rc::gen::inRange<std::size_t>(0, 1 + gateways / 4);
		troubles.burstEveryMs = *rc::gen::element(Millis(100), Millis(4'000), Millis(11'000));
		Fleet fleet(gateways, perSecond, troubles, *rc::gen::arbitrary<std::uint32_t>());
		fleet.run(25'000);
		RC_ASSERT(fleet.maxArrivals() <= fleet.allowed());
	});
}

Test(upstreamlimit, turns_go_on_where_they_were_when_the_number_of_gateways_changes)
{
	LimitTerms terms;
	terms.gateways = 600;
	UpstreamLimit limit = beginLimit(1.0, terms, -10'000, 0.5, 0);
	const Millis cycleMs = limit.share.cycleMs;
	cr_assert(0 == limit.share.sends && 0 < cycleMs);
	for (Millis now = 100; now < cycleMs / 2 - 3'000; now += 100)
	{
		terms.gateways = 600 + std::uint32_t(now / 100 % 3); // as gateways come and go
		adaptLimit(limit, 1.0, terms, now);
		cr_assert(!maySendWithin(limit, now), "a turn came %lld ms too early", static_cast<long long>(cycleMs / 2 - now));
	}
}

Test(upstreamlimit, a_process_sends_nothing_in_its_first_span)
{
	LimitTerms terms;
	terms.gateways = 2;
	const UpstreamLimit young = beginLimit(100.0, terms, 1'000, 0.5, 2'000);
	const Millis quietUntil = 1'000 + limitSpanMs(terms);
	cr_assert(!maySendWithin(young, quietUntil - 1) && maySendWithin(young, quietUntil));
	const UpstreamLimit old = beginLimit(100.0, terms, -100'000, 0.5, 2'000);
	cr_assert(maySendWithin(old, 2'100), "its share of the last span is taken to be used evenly");
}
