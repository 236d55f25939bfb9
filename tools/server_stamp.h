/// The stamp of the stand-ins' answers. It tells from an answer alone whether status and body belong together and to the request.
#pragma once

#include <fmt/format.h>
#include <string>

#include "archdyke/route.h"

namespace archdyke::stub
{
	/// @returns "stamp-UPSTREAM.STATUS.CHECKSUM". The checksum covers request, status and body, so that it is short enough for heads
	/// that are cut at each byte.
	inline std::string makeStamp(const std::string& _upstream, const std::string& _request, int _status, const std::string& _body)
	{
		const std::uint64_t checksum = stableHash(fmt::format("{}\n{}\n{}\n{}", _upstream, _request, _status, _body));
		return fmt::format("stamp-{}.{}.{:08x}", _upstream, _status, std::uint32_t(checksum));
	}

	/// @returns The upstream that a stamp names; empty if it names none.
	inline std::string upstreamOf(const std::string& _stamp)
	{
		constexpr std::string_view kPrefix = "stamp-";
		const std::size_t end = _stamp.find('.');
		return std::string::npos == end || !_stamp.starts_with(kPrefix) ? "" : _stamp.substr(kPrefix.size(), end - kPrefix.size());
	}

	/// @returns The body of a response that a stand-in gives before it has read the request.
	inline std::string earlyBody(const std::string& _request)
	{
		constexpr int kLines = 20;
		std::string body;
		for (int line = 0; line < kLines; ++line)
		{
			body += fmt::format("line {} for {}\n", line, _request);
		}
		return body;
	}
} // namespace archdyke::stub
