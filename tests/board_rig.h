/// What the tests of the board have in common: upstreams and reports of one service.
#pragma once

// Before Criterion, whose macros break the hash headers.
#include "gateway/board.h"

#include <criterion/criterion.h>

namespace archdyke::tests
{
	constexpr const char* kService = "svc";

	/// Terms by which each gateway has two sends in a window, and none one more.
	constexpr ColdTerms kTwoSends{20.0, 30.0, 14, 0};

	inline UpstreamRecord recordOf(const std::string& _incarnation, const std::string& _address, const std::string& _zone = "here", Millis _startedAt = 0)
	{
		return {_incarnation, kService, _address, _zone, 4, false, std::nullopt, _startedAt};
	}

	/// @returns The same record with another service.
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

	/// @returns The group of that name; null when there is none.
	inline gateway::GroupRef groupNamed(const gateway::Board& _board, const std::string& _name)
	{
		for (const gateway::GroupRef& group : _board.groupsOf(kService))
		{
			if (group->name == _name)
			{
				return group;
			}
		}
		return nullptr;
	}

	/// @returns The incarnation that a request to a group of one or more goes to.
	inline std::string chosenOf(const gateway::Board& _board, const std::string& _group, Millis _now)
	{
		Random random(1);
		return _board.choose(*groupNamed(_board, _group), {}, random, _now)->record.incarnation;
	}

	/// @returns The upstream of that incarnation; null when none is listed.
	inline gateway::UpstreamRef upstreamNamed(const gateway::Board& _board, const std::string& _incarnation)
	{
		for (const gateway::UpstreamRef& upstream : _board.all())
		{
			if (upstream->record.incarnation == _incarnation)
			{
				return upstream;
			}
		}
		return nullptr;
	}
} // namespace archdyke::tests
