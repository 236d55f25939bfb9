/// Retry delays that are given to refused callers.
#pragma once

#include <optional>
#include <string_view>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Why a request is refused without having run.
	enum class RefusalCause
	{
		NoConfiguration,  ///< No configuration is known yet.
		StaleProof,       ///< The configuration may be outdated, so the caller's key can't be verified.
		NoUpstream,       ///< No upstream accepts requests.
		Overloaded,       ///< All upstreams have as many requests as they can serve in time.
		ColdUpstreams,    ///< The remaining upstreams are cold and at their limit.
		UpstreamLimits,   ///< The remaining upstreams name a limit, and this gateway has used its share.
		BackOff,          ///< All remaining upstreams requested a back-off.
		Evacuated,        ///< The zones of all upstreams are evacuated.
		GroupDown,        ///< The group of engine ranks is stalled or forming.
		CrashesUpstreams, ///< Several upstreams crashed while they ran it.
		Leaving,          ///< This gateway is stopping.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(RefusalCause _cause);

	/// @param[in] _reopenMs Expected time until the cause is over; none when unknown.
	/// @param[in] _patienceMs Time until the caller gives up.
	/// @returns Retry delay, ms, with jitter so that callers refused together don't retry together.
	Millis chooseRetryDelayMs(RefusalCause _cause, std::optional<Millis> _reopenMs, Millis _patienceMs, Random& _random);
} // namespace archdyke
