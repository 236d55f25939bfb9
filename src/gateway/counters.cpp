#include "gateway/counters.h"

namespace archdyke::gateway
{
	std::string_view toString(Ending _ending)
	{
		switch (_ending)
		{
		case Ending::Answered:
			return "answered";
		case Ending::RefusedNotRun:
			return "refused";
		case Ending::Rejected:
			return "rejected";
		case Ending::Failed:
			return "failed";
		case Ending::Broken:
			return "broken";
		default:
			return "caller_left";
		}
	}

	GatewayCounters::GatewayCounters(Metrics& _metrics)
	    : resources(_metrics)
	    , totalSeconds(_metrics.seconds("archdyke_gateway_request_seconds", "Time from the request's head to the end of its response"))
	    , firstEventSeconds(_metrics.seconds("archdyke_gateway_first_event_seconds", "Time from the request's head to the first event of a stream"))
	    , sends(_metrics.counter("archdyke_gateway_sends_total", "Requests sent to an upstream for the first time"))
	    , resends(_metrics.counter("archdyke_gateway_resends_total", "Requests sent again, to another upstream"))
	    , resendsAwaited(_metrics.counter("archdyke_gateway_resends_awaited_total", "Waits of failed requests until the number of gateways that share the retry budget is known"))
	    , coldSends(_metrics.counter("archdyke_gateway_cold_sends_total", "Requests sent to a cold upstream, first sends and resends"))
	    , coldRefusals(_metrics.counter("archdyke_gateway_cold_refusals_total", "Requests refused because all remaining upstreams were cold and at their limit"))
	    , backOffAsks(_metrics.counter("archdyke_gateway_back_off_asks_total", "Responses in which an upstream asked to be sent nothing for some time"))
	    , backOffRefusals(_metrics.counter("archdyke_gateway_back_off_refusals_total", "Requests refused because all remaining upstreams had asked to be sent nothing for some time"))
	    , namedLimits(_metrics.counter("archdyke_gateway_named_limits_total", "Responses in which an upstream named the requests per second that it takes from all gateways together"))
	    , limitedSends(_metrics.counter("archdyke_gateway_limited_sends_total", "Requests sent to an upstream that names a limit, first sends and resends"))
	    , limitRefusals(_metrics.counter("archdyke_gateway_limit_refusals_total", "Requests refused because all remaining upstreams name a limit and this gateway had used its share"))
	    , memoryRefusals(_metrics.counter("archdyke_gateway_memory_refusals_total", "Requests refused or ended because memory was short"))
	    , withheldSends(_metrics.counter("archdyke_gateway_withheld_sends_total", "Requests not sent because the chosen upstream became unavailable while they waited for a connection"))
	    , upstreamCrashes(_metrics.counter("archdyke_gateway_upstream_crashes_total", "Upstream crashes attributed to a request, once for each request and upstream"))
	    , crashRefusals(_metrics.counter("archdyke_gateway_crash_refusals_total", "Requests refused because several upstreams had crashed under them"))
	    , connectionsOpened(_metrics.counter("archdyke_gateway_upstream_connections_total", "Connections opened to upstreams"))
	    , unattributedBytes(_metrics.counter("archdyke_gateway_unattributed_bytes_total", "Connections to upstreams that were closed because of bytes that belong to no exchange"))
	    , configurationVersion(_metrics.gauge("archdyke_configuration_version", "Version of the configuration in force"))
	    , proofAgeMs(_metrics.gauge("archdyke_configuration_proof_age_ms", "Age of the proof that this version is the newest"))
	    , evacuatedZones(_metrics.gauge("archdyke_evacuated_zones", "Zones whose upstreams get no requests because an operator evacuated them"))
	    , unusableRows(_metrics.counter("archdyke_upstream_rows_unusable_total", "Rows of upstreams that could not be used"))
	{
		for (std::size_t ending = 0; ending < this->requests.size(); ++ending)
		{
			this->requests[ending] = &_metrics.counter("archdyke_gateway_requests_total", "Requests by outcome", {{"ending", std::string(toString(Ending(ending)))}});
		}
	}
} // namespace archdyke::gateway
