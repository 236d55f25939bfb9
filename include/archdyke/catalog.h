/// What operators declared, as the gateway uses it: routes, services, organisations, limits.
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
	/// What may be repeated on a route.
	enum class Repeat
	{
		Always, ///< Idempotent.
		AtMostOnce,
		Count
	};

	/// A service of a route and its share of the requests.
	struct WeightedService
	{
		std::string name;
		std::uint32_t weight = 1;

		bool operator==(const WeightedService&) const = default;
	};

	/// Requests of one host below one path.
	struct CatalogRoute
	{
		std::string name;
		std::string host;
		std::string pathPrefix; ///< Begins and ends with a slash.
		Repeat repeat = Repeat::AtMostOnce;
		bool stream = false;        ///< Answers are series of events.
		bool resumable = false;     ///< A broken stream may go on at another upstream.
		Millis timeoutMs = 0;       ///< Longest time that a request may be held.
		Millis objectiveMs = 0;     ///< Answers within it earn their full worth; of a stream, the first event.
		Millis gapObjectiveMs = 0;  ///< Longest pause between events; 0 when none is declared.
		std::uint32_t priority = 0; ///< 0 is the most urgent.
		std::vector<WeightedService> services;
		std::uint32_t maxAttempts = 1; ///< Upstreams that one request may be sent to.
		bool isPublic = false;         ///< Needs no key.

		bool operator==(const CatalogRoute&) const = default;
	};

	/// Speed of a model engine as its operator declares it.
	struct EngineModel
	{
		std::uint32_t slots = 0;         ///< Requests of one batch.
		double stepMs = 0.0;             ///< A decoding step with an empty batch.
		double perSequenceMs = 0.0;      ///< More for each request that is decoding.
		double contextMsPerK = 0.0;      ///< More for 1,000 tokens of context.
		double prefillTokensPerMs = 0.0; ///< Tokens of prompts that are read.
		std::uint32_t stride = 1;        ///< Decoding steps of one pass.
		std::uint32_t sets = 0;          ///< Layer sets with experts; 0 for a dense model.
		std::uint32_t experts = 0;       ///< Experts of a set.
		std::uint32_t places = 0;        ///< Experts of a set that a rank can hold.
		std::uint32_t spare = 0;         ///< New experts of a set that a rank can copy at once.
		double expertShare = 0.0;        ///< Share of a token's work that experts do.
		double expertCopyMs = 0.0;       ///< Time to copy one expert to a rank.
		Millis reportLagMs = 0;          ///< What an engine says of its load is this old.
		Millis formMs = 0;               ///< A group needs this to open again.
		std::uint32_t usualPromptTokens = 0;
		std::uint32_t usualAnswerTokens = 0;

		bool operator==(const EngineModel&) const = default;
	};

	/// What an upstream bears for some time after it started.
	struct ColdLimit
	{
		Millis coldMs = 0;         ///< How long it is cold after a start.
		double requestsPerS = 0.0; ///< Arrivals that a cold one bears, of all gateways together.

		bool operator==(const ColdLimit&) const = default;
	};

	/// Upstreams that do the same work.
	struct CatalogService
	{
		std::string name;
		std::uint32_t maxConnections = 0; ///< Of one upstream, from all gateways together.
		std::optional<ColdLimit> cold;    ///< None: a cold upstream bears as much as any.
		std::optional<EngineModel> engine;

		bool operator==(const CatalogService&) const = default;
	};

	/// What a caller may send, and how long it may take.
	struct CallerLimits
	{
		std::size_t headerBytes = 16'384;
		std::size_t bodyBytes = std::size_t(4) << 20;
		Millis headerTimeoutMs = 3'000;
		Millis idleTimeoutMs = 15'000;

		bool operator==(const CallerLimits&) const = default;
	};

	/// Who pays for requests, told by a key.
	struct CatalogOrganisation
	{
		std::string name;
		std::vector<std::string> keys;
		std::uint32_t priority = 0; ///< Of its requests; 0 is the most urgent.

		bool operator==(const CatalogOrganisation&) const = default;
	};

	/// One version of the configuration.
	struct Catalog
	{
		std::uint64_t version = 0;
		std::vector<CatalogRoute> routes;
		std::vector<CatalogService> services;
		std::vector<CatalogOrganisation> organisations; ///< None: requests need no key.
		CallerLimits limits;

		bool operator==(const Catalog&) const = default;
	};

	/// A catalog with what look-ups need. The indices point into its lists.
	struct CatalogIndex
	{
		Catalog catalog;
		absl::flat_hash_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first.
		absl::flat_hash_map<std::string, std::size_t> organisationByKey;
		absl::flat_hash_map<std::string, std::size_t> serviceByName;
	};

	/// Builds the indices. Of routes with equal prefixes, and of keys or names that stand
	/// twice, the first one counts.
	CatalogIndex makeIndex(Catalog _catalog);

	/// @param[in] _host As a caller sent it; a port is passed over.
	/// @param[in] _target Path, with or without a query.
	/// @returns The route of the longest prefix; null when there is none.
	const CatalogRoute* findRoute(const CatalogIndex& _index, std::string_view _host, std::string_view _target);

	/// @returns The organisation that holds a key; null when nobody does.
	const CatalogOrganisation* findOrganisation(const CatalogIndex& _index, std::string_view _key);

	/// @returns null when the catalog has no such service.
	const CatalogService* findService(const CatalogIndex& _index, std::string_view _name);

	/// Chooses among a route's services by weight.
	/// @param[in] _draw In [0, 1).
	/// @returns null when the route has no service with a weight.
	const WeightedService* chooseService(const CatalogRoute& _route, double _draw);

	/// @returns Whether a request of the route may run a second time.
	bool mayRepeat(const CatalogRoute& _route);
} // namespace archdyke
