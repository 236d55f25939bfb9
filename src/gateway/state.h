/// State shared by the stages of the gateway's request pipeline. It is used on one event loop only.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <string>

#include "archdyke/catalog.h"
#include "archdyke/evacuation.h"
#include "archdyke/freshness.h"
#include "archdyke/outage.h"
#include "archdyke/resend_share.h"
#include "archdyke/retry_window.h"
#include "archdyke/stop_plan.h"
#include "base/process.h"
#include "gateway/board.h"
#include "gateway/codec.h"
#include "gateway/counters.h"
#include "gateway/crashes.h"
#include "gateway/settings.h"
#include "http/connection_pool.h"
#include "http/http_listener.h"

namespace archdyke::gateway
{
	/// @returns The version of a catalog; 0 when none is known.
	inline std::uint64_t versionOf(const std::shared_ptr<const CatalogIndex>& _catalog)
	{
		return nullptr == _catalog ? 0 : _catalog->catalog.version;
	}

	/// State of one gateway. Stages keep references to it, so it outlives them and isn't moved.
	struct GatewayState
	{
		GatewaySettings settings;
		Codec codec;
		http::LoopContext loop;
		GatewayCounters& counters;
		http::ResourceBudget resources;
		UpstreamRegistry registry;
		http::ConnectionPool pool;
		Random random;
		std::shared_ptr<const CatalogIndex> catalog; ///< Null until the first configuration is known.
		OperatorTable operators;
		Freshness freshness;
		absl::flat_hash_map<std::string, RetryWindow> retries; ///< By service.
		absl::flat_hash_map<std::string, Outage> outages;      ///< By service.
		ResendShare resendShare;                               ///< This gateway's share of the resend allowance of each service, and the number of gateways.
		CrashRecord crashes;
		std::optional<StopPlan> stop; ///< Once the stop signal has arrived.
		std::uint32_t inFlight = 0;   ///< Callers' requests in progress.

		GatewayState(GatewaySettings _settings, Codec _codec, http::LoopContext _loop, GatewayCounters& _counters, std::uint64_t _seed)
		    : settings(std::move(_settings))
		    , codec(_codec)
		    , loop(_loop)
		    , counters(_counters)
		    , resources(memoryBytes(this->settings.place), http::maxSockets(descriptorLimit()), _counters.resources)
		    , registry(this->settings.place.zone, this->settings.place.name, nowMs())
		    , pool(_loop, &this->resources)
		    , random(_seed)
		{
		}
	};
} // namespace archdyke::gateway
