/// Model and parser of the operators' file: services, organisations, availability zones and upstreams.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/limits.h"
#include "archdyke/types.h"

namespace archdyke
{
	enum class ServiceKind
	{
		Model, ///< Groups of model ranks.
		Plain, ///< Plain HTTP service.
		Count
	};

	/// @returns The name used in files and reports.
	std::string_view toString(ServiceKind _kind);

	/// An availability zone.
	struct Zone
	{
		std::string name;
		std::string region;
		double distanceMs = 0.0; ///< One-way latency to the other zones of its region.

		auto operator<=>(const Zone&) const = default;
	};

	/// Operator's settings for the placement of experts, see OPERATIONS.md.
	struct PlacementPolicy
	{
		double skewTolerance = 0.1;     ///< Tolerated mean overload of the slowest rank; 0.1 is 10%.
		double expertsPerMinute = 64.0; ///< Experts that may be staged per minute and group.

		auto operator<=>(const PlacementPolicy&) const = default;
	};

	/// Matches calls of a plain service that may not be repeated.
	struct RouteRule
	{
		std::string method;
		std::string pathPrefix;

		auto operator<=>(const RouteRule&) const = default;
	};

	/// A service that callers can address.
	struct Service
	{
		std::string name;
		ServiceKind kind = ServiceKind::Plain;
		Millis deadlineMs = 0;     ///< Deadline of a request.
		std::uint32_t experts = 0; ///< Experts per layer; model services only.
		std::uint32_t layers = 0;  ///< Model services only.
		PlacementPolicy placement;
		std::vector<RouteRule> notRepeatable; ///< Plain services only.

		auto operator<=>(const Service&) const = default;
	};

	/// An organisation whose callers use the services.
	struct Organisation
	{
		std::string name;
		std::string keyDigest; ///< SHA-256 of its key, hex.
		double requestsPerSecond = 0.0;
		double burst = 0.0;       ///< Requests.
		std::uint32_t weight = 1; ///< Weight in fair queueing.

		auto operator<=>(const Organisation&) const = default;
	};

	/// A back end: a model rank or an instance of a plain service.
	struct Upstream
	{
		std::string name;
		std::string service;
		std::string zone;
		std::string group;      ///< Model services only.
		std::uint32_t rank = 0; ///< Within the group.

		auto operator<=>(const Upstream&) const = default;
	};

	/// Contents of the file.
	struct Document
	{
		std::string office;
		std::vector<Zone> zones;
		std::vector<Service> services;
		std::vector<Organisation> organisations;
		std::vector<Upstream> upstreams;

		auto operator<=>(const Document&) const = default;
	};

	/// Parses and validates a file.
	/// @throws InvalidInputError Listing all problems.
	Document parseDocument(const std::string& _source, std::string_view _text);

	/// @returns The service with this name; null when there is none.
	const Service* findService(const Document& _document, std::string_view _name);

	/// @returns One line for each item that _to adds, changes or removes.
	std::vector<std::string> diffDocuments(const Document& _from, const Document& _to);

	/// @returns Whether a call may be repeated by its service's rules.
	bool isRepeatableCall(const Service& _service, std::string_view _method, std::string_view _path);
} // namespace archdyke
