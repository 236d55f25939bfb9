/// Counters and histograms of a gateway.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "base/metrics.h"
#include "http/resource_budget.h"

namespace archdyke::gateway
{
	/// Outcome of a request from its caller's point of view.
	enum class Ending
	{
		Answered,      ///< A complete response of an upstream, whatever its status.
		RefusedNotRun, ///< 503 or 429; the request has not run.
		Rejected,      ///< 4xx that the gateway itself sent.
		Failed,        ///< 502 or 504; the request may have run.
		Broken,        ///< The stream ended early.
		CallerLeft,    ///< The caller disconnected before the end.
		Count
	};

	/// @returns The name used in logs and labels.
	std::string_view toString(Ending _ending);

	/// A gateway's metrics; the registry owns them.
	struct GatewayCounters
	{
		explicit GatewayCounters(Metrics& _metrics);

		std::array<prometheus::Counter*, std::size_t(Ending::Count)> requests{};
		http::ResourceCounters resources;
		prometheus::Histogram& totalSeconds;
		prometheus::Histogram& firstEventSeconds;
		prometheus::Counter& sends;
		prometheus::Counter& resends;
		prometheus::Counter& resendsAwaited;
		prometheus::Counter& coldSends;
		prometheus::Counter& coldRefusals;
		prometheus::Counter& backOffAsks;
		prometheus::Counter& backOffRefusals;
		prometheus::Counter& namedLimits;
		prometheus::Counter& limitedSends;
		prometheus::Counter& limitRefusals;
		prometheus::Counter& memoryRefusals;
		prometheus::Counter& withheldSends;
		prometheus::Counter& upstreamCrashes;
		prometheus::Counter& crashRefusals;
		prometheus::Counter& connectionsOpened;
		prometheus::Counter& unattributedBytes;
		prometheus::Gauge& configurationVersion;
		prometheus::Gauge& proofAgeMs;
		prometheus::Gauge& evacuatedZones;
		prometheus::Counter& unusableRows;
	};
} // namespace archdyke::gateway
