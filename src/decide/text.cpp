#include "archdyke/text.h"

#include <absl/strings/ascii.h>

namespace archdyke
{
	std::string_view trimmed(std::string_view _text)
	{
		const absl::string_view text = absl::StripAsciiWhitespace(asAbsl(_text));
		return {text.data(), text.size()};
	}

	std::vector<std::string_view> splitText(std::string_view _text, char _separator)
	{
		std::vector<std::string_view> parts;
		for (std::size_t end = _text.find(_separator); std::string_view::npos != end; end = _text.find(_separator))
		{
			parts.push_back(_text.substr(0, end));
			_text.remove_prefix(end + 1);
		}
		parts.push_back(_text);
		return parts;
	}
} // namespace archdyke
