/// Rows of the platform's table that hold the crashes of upstreams: one for each request and upstream.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "archdyke/crash_blame.h"

namespace archdyke
{
	constexpr const char* kCrashPrefix = "crash/";
	/// Row that is written with each change of crashes, so that one read tells whether any has changed.
	constexpr const char* kCrashMarkKey = "crash-mark";

	/// @returns Prefix of the keys of a request's rows.
	std::string crashPrefixOf(std::string_view _request);

	/// @returns Key of a crash's row.
	std::string crashKey(const Crash& _crash);

	/// @returns The crash of a row; none if the key can't be read.
	std::optional<Crash> readCrashKey(std::string_view _key);
} // namespace archdyke
