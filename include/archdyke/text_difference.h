/// Delta encoding between two texts that differ in few places, such as a configuration of thousands of lines of which
/// one has changed.
///
/// A delta alternates new bytes and copies of ranges of the base, found by fixed-size blocks of the base as in rsync
/// (Tridgell and Mackerras 1996). It starts with a hash of the result, so that use with a wrong base is detected.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace archdyke
{
	/// @returns The delta that turns _base into _target. It may be longer than _target if they have little in common.
	std::string makeTextDifference(std::string_view _base, std::string_view _target);

	/// @returns The target text; none if the delta is malformed or belongs to another base.
	std::optional<std::string> applyTextDifference(std::string_view _base, std::string_view _difference);
} // namespace archdyke
