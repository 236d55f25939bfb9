/// JSON that other programs wrote: whatever it contains, its reader goes on.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace archdyke
{
	/// Maximum nesting of a value. Copying and printing a value takes stack for each level.
	constexpr std::size_t kMaxJsonDepth = 64;

	/// @returns The value; none if the text isn't JSON, or is nested more deeply than kMaxJsonDepth.
	std::optional<nlohmann::json> parseForeignJson(std::string_view _text);

	/// @returns A field of an object that is a whole number.
	/// @throws ArchdykeError If it is absent, or anything else.
	std::uint64_t readCount(const nlohmann::json& _object, const char* _field);

	/// An object's text without the items of one of its arrays, and the texts of these.
	struct JsonItems
	{
		std::string rest; ///< The object's text, with the array empty.
		std::vector<std::string_view> items;

		bool operator==(const JsonItems&) const = default;
	};

	/// Splits an object's text, so that an invalid item doesn't invalidate the others.
	/// @returns None if the text isn't an object with an array of this name.
	std::optional<JsonItems> splitJsonItems(std::string_view _text, std::string_view _field);
} // namespace archdyke
