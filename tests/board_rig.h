/// Helpers shared by the tests of the gateway's upstream registry: upstreams and reports of one service.
#pragma once

// Before Criterion, whose macros break the hash headers.
#include "gateway/board.h"

#include <criterion/criterion.h>

namespace archdyke::tests
{
	constexpr const char* kService = "svc";

	/// Terms that allow each gateway exactly two sends per window.
	constexpr ColdCapacity kTwoSends{20.0, 30.0, 14, 0};

	inline UpstreamRecord recordOf(const std::string& _incarnation, const std::string& _address, const std::string& _zone = "here", Millis _startedAt = 0)
	{
		return {_incarnation, kService, _address, _zone, 4, false, std::nullopt, _startedAt};
	}

	/// @returns A copy of the record with another service.
	inline UpstreamRecord recordOfService(UpstreamRecord _record, const std::string& _service)
	{
		_record.service = _service;
		return _record;
	}

	inline gateway::GroupReport reportOf(const std::string& _name, const std::vector<std::string>& _addresses, std::uint32_t _requests = 1)
	{
		gateway::GroupReport report;
		report.service = kService;
		report.name = _name;
		for (const std::string& address : _addresses)
		{
			report.ranks.push_back({address, _requests, 1.0});
		}
		return report;
	}

	/// @returns The group with a name; null when there is none.
	inline gateway::GroupRef groupNamed(const gateway::UpstreamRegistry& _registry, const std::string& _name)
	{
		for (const gateway::GroupRef& group : _registry.groupsOf(kService))
		{
			if (group->name == _name)
			{
				return group;
			}
		}
		return nullptr;
	}

	/// @returns The incarnation chosen for a request to a group that isn't empty.
	inline std::string chosenIncarnation(const gateway::UpstreamRegistry& _registry, const std::string& _group, Millis _now)
	{
		Random random(1);
		return _registry.choose(*groupNamed(_registry, _group), {}, random, _now)->record.incarnation;
	}

	/// @returns The upstream of an incarnation; null when it isn't listed.
	inline gateway::UpstreamRef upstreamNamed(const gateway::UpstreamRegistry& _registry, const std::string& _incarnation)
	{
		for (const gateway::UpstreamRef& upstream : _registry.all())
		{
			if (upstream->record.incarnation == _incarnation)
			{
				return upstream;
			}
		}
		return nullptr;
	}
} // namespace archdyke::tests
