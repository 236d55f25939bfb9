/// Text helpers around Abseil, whose packaged build has a string_view of its own.
#pragma once

#include <absl/strings/string_view.h>
#include <string_view>
#include <vector>

namespace archdyke
{
	/// @returns The same text as Abseil's type; it points to the same bytes.
	inline absl::string_view asAbsl(std::string_view _text)
	{
		return {_text.data(), _text.size()};
	}

	/// @returns The text without white space at its ends.
	std::string_view trimmed(std::string_view _text);

	/// @returns The parts between separators; empty ones too.
	std::vector<std::string_view> splitText(std::string_view _text, char _separator);
} // namespace archdyke
