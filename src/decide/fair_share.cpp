#include "archdyke/fair_share.h"

#include <algorithm>
#include <vector>

namespace archdyke
{
	namespace
	{
		/// Shares are reckoned over about this long, ms: of one organisation a gateway gets a request every
		/// few seconds.
		constexpr Millis kSpanMs = 8'000;
		/// Room is scarce when less than this share of the requests is let in; the rest may be waiting.
		constexpr double kScarce = 0.9;
		/// An organisation that asks for less than this many times the mean isn't told from chance.
		constexpr double kFlood = 2.0;
		/// What is counted of an organisation is forgotten below this: it asked once, long ago.
		constexpr double kForgotten = 0.05;

		double askedOf(const OrganisationUse& _use, Millis _now)
		{
			return eventsOfSpan(_use.asked, kSpanMs, _now);
		}

		std::vector<double> askedByAll(const FairShares& _shares, Millis _now)
		{
			std::vector<double> asked;
			for (const auto& [name, use] : _shares.organisations)
			{
				asked.push_back(askedOf(use, _now));
			}
			std::sort(asked.begin(), asked.end());
			return asked;
		}

		/// @param[in] _asked By organisation, rising.
		/// @returns What an organisation may have so that all together have the room (water filling).
		double fairLevel(const std::vector<double>& _asked, double _room)
		{
			double left = _room;
			for (std::size_t index = 0; index < _asked.size(); ++index)
			{
				const double level = left / double(_asked.size() - index);
				if (level < _asked[index])
				{
					return level;
				}
				left -= _asked[index];
			}
			return _asked.back();
		}

		void forgetOld(FairShares& _shares, Millis _now)
		{
			absl::erase_if(_shares.organisations, [&](const auto& _entry) {
				return askedOf(_entry.second, _now) < kForgotten;
			});
		}
	} // namespace

	bool noteAsked(FairShares& _shares, const std::string& _organisation, Millis _now)
	{
		forgetOld(_shares, _now);
		OrganisationUse& use = _shares.organisations[_organisation];
		noteEvent(use.asked, kSpanMs, _now);
		const std::vector<double> asked = askedByAll(_shares, _now);
		double total = 0.0;
		for (const double each : asked)
		{
			total += each;
		}
		const double taken = eventsOfSpan(_shares.taken, kSpanMs, _now);
		const bool scarce = 1 < asked.size() && taken < kScarce * total;
		const bool floods = kFlood * total / double(asked.size()) < askedOf(use, _now);
		const bool over = scarce && floods && fairLevel(asked, taken) <= eventsOfSpan(use.within, kSpanMs, _now);
		if (!over)
		{
			noteEvent(use.within, kSpanMs, _now);
		}
		return over;
	}

	void noteTaken(FairShares& _shares, Millis _now)
	{
		noteEvent(_shares.taken, kSpanMs, _now);
	}
} // namespace archdyke
