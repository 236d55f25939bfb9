/// The words that the engine stand-in answers a prompt with; the load tool checks them.
#pragma once

#include <fmt/format.h>
#include <string>

#include "archdyke/route.h"

namespace archdyke::stub
{
	/// @returns The word at a place of the answer to a prompt, by the prompt's hash.
	inline std::string wordAt(std::uint64_t _prompt, std::uint32_t _place)
	{
		const std::string seed = fmt::format("{:x}/{}", _prompt, _place);
		return fmt::format("w{:04x} ", stableHash(seed) & 0xffff);
	}

	/// @returns The whole answer to a prompt, given as the JSON text of its messages.
	inline std::string answerText(const std::string& _prompt, std::uint32_t _tokens)
	{
		std::string text;
		for (std::uint32_t place = 0; place < _tokens; ++place)
		{
			text += wordAt(stableHash(_prompt), place);
		}
		return text;
	}
} // namespace archdyke::stub
