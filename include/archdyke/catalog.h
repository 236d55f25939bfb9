/// The configuration as used by the gateway: routes, services, organisations and limits.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Whether requests of a route may be repeated.
	enum class Repeat
	{
		Always, ///< Idempotent.
		AtMostOnce,
		Count
	};

	/// A service of a route and its share of the route's requests.
	struct WeightedService
	{
		std::string name;
		std::uint32_t weight = 1;

		bool operator==(const WeightedService&) const = default;
	};

	/// A route: requests to one host below one path prefix.
	struct CatalogRoute
	{
		std::string name;
		std::string host;
		std::string pathPrefix; ///< Starts and ends with a slash.
		Repeat repeat = Repeat::AtMostOnce;
		bool stream = false;        ///< Responses are event streams.
		bool resumable = false;     ///< A broken stream may be resumed at another upstream.
		Millis timeoutMs = 0;       ///< Maximum duration of a request.
		Millis objectiveMs = 0;     ///< Latency objective of responses; of a stream, for the first event.
		Millis gapObjectiveMs = 0;  ///< Maximum gap between events; 0 when none is declared.
		std::uint32_t priority = 0; ///< 0 is the most urgent.
		std::vector<WeightedService> services;
		std::uint32_t maxAttempts = 1; ///< Upstreams that one request may be sent to.
		bool isPublic = false;         ///< Requests need no key.

		bool operator==(const CatalogRoute&) const = default;
	};

	/// Performance model of a model engine, as declared by its operator.
	struct EngineModel
	{
		std::uint32_t slots = 0;         ///< Maximum requests per batch.
		double stepMs = 0.0;             ///< Time of a decoding step with an empty batch.
		double perSequenceMs = 0.0;      ///< Additional step time per decoding request.
		double contextMsPerK = 0.0;      ///< Additional step time per 1,000 tokens of context.
		double prefillTokensPerMs = 0.0; ///< Prefill throughput, tokens per ms.
		std::uint32_t stride = 1;        ///< Decoding steps per pass.
		std::uint32_t sets = 0;          ///< Layer sets with experts; 0 for a dense model.
		std::uint32_t experts = 0;       ///< Experts per layer set.
		std::uint32_t places = 0;        ///< Experts per layer set that a rank can hold.
		std::uint32_t spare = 0;         ///< New experts per layer set that a rank can copy at once.
		double expertShare = 0.0;        ///< Share of a token's work that experts do.
		double expertCopyMs = 0.0;       ///< Time to copy one expert to a rank.
		Millis formMs = 0;               ///< Time that a group needs to form.
		std::uint32_t usualPromptTokens = 0;
		std::uint32_t usualAnswerTokens = 0;

		bool operator==(const EngineModel&) const = default;
	};

	/// Load limit of an upstream for some time after its start.
	struct ColdLimit
	{
		Millis coldMs = 0;         ///< Time for which it is cold after its start.
		double requestsPerS = 0.0; ///< Arrivals per second that a cold upstream sustains, from all gateways together.

		bool operator==(const ColdLimit&) const = default;
	};

	/// A service: interchangeable upstreams.
	struct CatalogService
	{
		std::string name;
		std::uint32_t maxConnections = 0; ///< Maximum connections to one upstream, from all gateways together.
		std::optional<ColdLimit> cold;    ///< None: cold upstreams need no limit.
		std::optional<EngineModel> engine;

		bool operator==(const CatalogService&) const = default;
	};

	/// Size and time limits for requests of callers.
	struct RequestLimits
	{
		std::size_t headerBytes = 16'384;
		std::size_t bodyBytes = std::size_t(4) << 20;
		Millis headerTimeoutMs = 3'000;
		Millis idleTimeoutMs = 15'000;

		bool operator==(const RequestLimits&) const = default;
	};

	/// An organisation, identified by its keys, to which requests are accounted.
	struct CatalogOrganisation
	{
		std::string name;
		std::vector<std::string> keys;
		std::uint32_t priority = 0; ///< Priority of its requests; 0 is the most urgent.

		bool operator==(const CatalogOrganisation&) const = default;
	};

	/// One version of the configuration.
	struct Catalog
	{
		std::uint64_t version = 0;
		std::vector<CatalogRoute> routes;
		std::vector<CatalogService> services;
		std::vector<CatalogOrganisation> organisations; ///< None: requests need no key.
		RequestLimits limits;

		bool operator==(const Catalog&) const = default;
	};

	/// A catalog with indices for look-ups. The indices refer to positions in its lists.
	struct CatalogIndex
	{
		Catalog catalog;
		absl::flat_hash_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first.
		absl::flat_hash_map<std::string, std::size_t> organisationByKey;
		absl::flat_hash_map<std::string, std::size_t> serviceByName;
	};

	/// Builds the indices. Of routes with equal prefixes, and of duplicate keys or names, the first
	/// one is used.
	CatalogIndex makeIndex(Catalog _catalog);

	/// @param[in] _host Host as sent by the caller; a port is ignored.
	/// @param[in] _target Path, with or without a query.
	/// @returns The route with the longest matching prefix; null when there is none.
	const CatalogRoute* findRoute(const CatalogIndex& _index, std::string_view _host, std::string_view _target);

	/// @returns The organisation that owns a key; null when there is none.
	const CatalogOrganisation* findOrganisation(const CatalogIndex& _index, std::string_view _key);

	/// @returns null when the catalog has no such service.
	const CatalogService* findService(const CatalogIndex& _index, std::string_view _name);

	/// Chooses one of a route's services by weight.
	/// @param[in] _draw Uniformly random number in [0, 1).
	/// @returns null when the route has no service with a positive weight.
	const WeightedService* chooseService(const CatalogRoute& _route, double _draw);

	/// @returns Whether a request of the route may run more than once.
	bool mayRepeat(const CatalogRoute& _route);
} // namespace archdyke
