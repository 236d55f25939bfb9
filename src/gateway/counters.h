/// Counters and histograms of a gateway.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "base/metrics.h"

namespace archdyke::gateway
{
	/// How a request ended, as its caller saw it.
	enum class Ending
	{
		Answered,      ///< A whole answer of an upstream, whatever its status.
		RefusedNotRun, ///< 503 or 429: it has not run.
		Rejected,      ///< 4xx of the gateway's own.
		Failed,        ///< 502 or 504: it may have run.
		Broken,        ///< A stream that was cut.
		CallerLeft,
		Count
	};

	/// @returns The name used in logs and labels.
	std::string_view toString(Ending _ending);

	/// What a gateway counts; the registry owns the counters.
	struct GatewayCounters
	{
		explicit GatewayCounters(Metrics& _metrics);

		std::array<prometheus::Counter*, std::size_t(Ending::Count)> requests{};
		prometheus::Histogram& totalSeconds;
		prometheus::Histogram& firstSeconds;
		prometheus::Counter& sends;
		prometheus::Counter& resends;
		prometheus::Counter& coldSends;
		prometheus::Counter& coldRefusals;
		prometheus::Counter& backOffAsks;
		prometheus::Counter& backOffRefusals;
		prometheus::Counter& withheldSends;
		prometheus::Counter& upstreamCrashes;
		prometheus::Counter& crashRefusals;
		prometheus::Counter& connectionsOpened;
		prometheus::Gauge& configurationVersion;
		prometheus::Gauge& proofAgeMs;
		prometheus::Gauge& evacuatedZones;
		prometheus::Counter& unusableRows;
	};
} // namespace archdyke::gateway
