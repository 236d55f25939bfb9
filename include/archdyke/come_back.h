/// When a caller that was refused is told to come back.
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
		NoConfiguration,  ///< None is known yet.
		StaleProof,       ///< Whether its key still holds can't be told.
		NoUpstream,       ///< No upstream takes work.
		Overloaded,       ///< All upstreams have what they can do in time.
		ColdUpstreams,    ///< The upstreams that are left are cold and have what they bear.
		BackOff,          ///< All upstreams that are left asked to be sent nothing for some time.
		Evacuated,        ///< The zones of all upstreams are evacuated.
		GroupDown,        ///< The group of engine ranks stands still or forms.
		CrashesUpstreams, ///< Several upstreams ended under it.
		Leaving,          ///< This gateway is stopping.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(RefusalCause _cause);

	/// @param[in] _reopenMs Expected time until the cause is over; none when unknown.
	/// @param[in] _patienceMs Time that the caller has left.
	/// @returns Time to wait, ms, drawn so that callers refused together don't come together.
	Millis comeBackAfter(RefusalCause _cause, std::optional<Millis> _reopenMs, Millis _patienceMs, Random& _random);
} // namespace archdyke
