/// Text helpers for Abseil, whose packaged build has its own string_view type.
#pragma once

#include <absl/strings/string_view.h>
#include <string_view>
#include <vector>

namespace archdyke
{
	/// @returns The text as Abseil's string_view of the same bytes.
	inline absl::string_view asAbsl(std::string_view _text)
	{
		return {_text.data(), _text.size()};
	}

	/// @returns The text without leading and trailing white space.
	std::string_view trimmed(std::string_view _text);

	/// @returns The parts between separators, including empty ones.
	std::vector<std::string_view> splitText(std::string_view _text, char _separator);
} // namespace archdyke
