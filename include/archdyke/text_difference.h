/// What turns one text into another that differs in few places: a configuration of thousands of lines of which one
/// has changed.
///
/// Copies of pieces of the base and new bytes in turn, as in the delta encoding of rsync (Tridgell and Mackerras 1996),
/// found by the blocks of the base. It carries a hash of the result: applied to another base it is noticed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace archdyke
{
	/// @returns What makes _target of _base. It may be longer than the target when they have little in common.
	std::string differenceBetween(std::string_view _base, std::string_view _target);

	/// @returns The text that a difference makes of its base; none when it doesn't fit or isn't one.
	std::optional<std::string> applyTextDifference(std::string_view _base, std::string_view _difference);
} // namespace archdyke
