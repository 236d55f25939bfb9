/// How urgent a request is among those of its service.
///
/// Operators give priorities to organisations and routes, with gaps and per deployment as they like.
/// What is decided goes by their order within one service: the organisation's first, then the route's.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "archdyke/catalog.h"

namespace archdyke
{
	/// The priorities that occur among the requests of a service, each once, rising.
	struct UrgencyScale
	{
		std::vector<std::uint32_t> organisations;
		std::vector<std::uint32_t> routes;

		bool operator==(const UrgencyScale&) const = default;
	};

	/// Urgencies that are told apart: what engines take.
	constexpr std::uint32_t kUrgencies = 10;

	/// @returns The scale of a service, from the routes that lead to it.
	UrgencyScale urgencyScale(const Catalog& _catalog, std::string_view _service);

	/// @returns Whether requests of the service differ in urgency at all.
	bool differs(const UrgencyScale& _scale);

	/// @param[in] _organisation Null for a caller without a key: it is the least urgent, so that nobody
	/// gains by leaving the key out.
	/// @returns 0, the most urgent, to kUrgencies - 1.
	std::uint32_t urgencyOf(const UrgencyScale& _scale, const CatalogOrganisation* _organisation, const CatalogRoute& _route);
} // namespace archdyke
