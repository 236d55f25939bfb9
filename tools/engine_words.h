/// Words of the engine stub's response to a prompt; the load tool checks responses against them.
#pragma once

#include <fmt/format.h>
#include <string>

#include "archdyke/route.h"

namespace archdyke::stub
{
	/// @returns The word at a position of the response to the prompt with this hash.
	inline std::string wordAt(std::uint64_t _prompt, std::uint32_t _index)
	{
		const std::string seed = fmt::format("{:x}/{}", _prompt, _index);
		return fmt::format("w{:04x} ", stableHash(seed) & 0xffff);
	}

	/// @returns The complete response to a prompt, given as the JSON text of its messages.
	inline std::string responseText(const std::string& _prompt, std::uint32_t _tokens)
	{
		std::string text;
		for (std::uint32_t index = 0; index < _tokens; ++index)
		{
			text += wordAt(stableHash(_prompt), index);
		}
		return text;
	}
} // namespace archdyke::stub
