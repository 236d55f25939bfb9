#include "archdyke/upstream_limit.h"

#include <algorithm>
#include <cmath>

#include "archdyke/excess_probability.h"

namespace archdyke
{
	namespace
	{
		/// Time by which a send may arrive later than one that was sent after it, ms.
		constexpr Millis kMaxDelayMs = 400;
		/// Length of a turn, ms: a few requests arrive at a gateway in this time.
		constexpr Millis kTurnMs = 2'000;
		/// Rate that is kept where a limit is lower, requests per second from all gateways together. Only a response
		/// shows that a limit has ended.
		constexpr double kMinPerSecond = 0.2;
		constexpr double kMsPerSecond = 1'000.0;

		double phaseAt(const UpstreamLimit& _limit, Millis _now)
		{
			return 0 == _limit.share.cycleMs ? _limit.phase : _limit.phase + double(_now - _limit.phaseAt) / double(_limit.share.cycleMs);
		}

		bool hasTurn(const UpstreamLimit& _limit, Millis _now)
		{
			const double phase = phaseAt(_limit, _now);
			return 0 < _limit.share.cycleMs && (phase - std::floor(phase)) * double(_limit.share.cycleMs) < double(kTurnMs);
		}
	} // namespace

	Millis limitSpanMs(const LimitTerms& _terms)
	{
		return _terms.windowMs + kMaxDelayMs;
	}

	LimitShare computeLimitShare(double _perSecond, const LimitTerms& _terms)
	{
		const double perSecond = std::max(kMinPerSecond, _perSecond);
		const double count = std::max<double>(1.0, _terms.gateways);
		const double spanMs = double(limitSpanMs(_terms));
		const double peak = std::floor(_terms.overshoot * perSecond * double(_terms.windowMs) / kMsPerSecond + _terms.allowance);
		const double wanted = std::min(peak, perSecond * spanMs / kMsPerSecond) / count;
		const double fixedSends = std::floor(wanted);
		const double fraction = wanted - fixedSends;
		// Part of a cycle in which a span overlaps a turn.
		const double reachMs = spanMs + double(kTurnMs);
		const double wantedOverlap = std::min(1.0, fraction * reachMs / spanMs);
		const double overlap = limitSelectionProbability(count, wantedOverlap, peak - count * fixedSends);
		if (overlap <= 0.0)
		{
			return {std::uint32_t(fixedSends), 0};
		}
		const double cycleMs = overlap < wantedOverlap ? reachMs / overlap : spanMs / fraction;
		return {std::uint32_t(fixedSends), Millis(std::ceil(cycleMs))};
	}

	UpstreamLimit beginLimit(double _perSecond, const LimitTerms& _terms, Millis _startedAt, double _phase, Millis _now)
	{
		UpstreamLimit limit;
		limit.perSecond = _perSecond;
		limit.namedAt = _now;
		limit.spanMs = limitSpanMs(_terms);
		limit.share = computeLimitShare(_perSecond, _terms);
		limit.phase = _phase;
		limit.phaseAt = _now;
		limit.quietUntil = _startedAt + limit.spanMs;
		for (std::uint32_t send = 1; send <= limit.share.sends; ++send)
		{
			limit.sends.push_back(_now - limit.spanMs + Millis(send) * limit.spanMs / Millis(limit.share.sends));
		}
		return limit;
	}

	void adaptLimit(UpstreamLimit& _limit, double _perSecond, const LimitTerms& _terms, Millis _now)
	{
		const double phase = phaseAt(_limit, _now);
		_limit.phase = phase - std::floor(phase);
		_limit.phaseAt = _now;
		_limit.perSecond = _perSecond;
		_limit.spanMs = limitSpanMs(_terms);
		_limit.share = computeLimitShare(_perSecond, _terms);
	}

	bool maySendWithin(const UpstreamLimit& _limit, Millis _now)
	{
		const auto recent = std::count_if(_limit.sends.begin(), _limit.sends.end(), [&](Millis _at) {
			return _now - _at < _limit.spanMs;
		});
		const std::ptrdiff_t allowed = std::ptrdiff_t(_limit.share.sends) + (hasTurn(_limit, _now) ? 1 : 0);
		return _limit.quietUntil <= _now && recent < allowed;
	}

	void recordLimitedSend(UpstreamLimit& _limit, Millis _now)
	{
		while (!_limit.sends.empty() && _now - _limit.sends.front() >= _limit.spanMs)
		{
			_limit.sends.pop_front();
		}
		_limit.sends.push_back(_now);
	}

	void moveLimitedSend(UpstreamLimit& _limit, Millis _recordedAt, Millis _now)
	{
		const auto recorded = std::find(_limit.sends.begin(), _limit.sends.end(), _recordedAt);
		if (_limit.sends.end() != recorded)
		{
			_limit.sends.erase(recorded);
		}
		_limit.sends.push_back(_now);
	}
} // namespace archdyke
