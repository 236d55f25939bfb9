#include "base/foreign_json.h"

#include <algorithm>

#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Tells a JSON text's structure from the contents of its strings.
		class Scanner
		{
		public:
			/// Reads the next character.
			/// @returns Whether it belongs to the structure.
			bool next(char _c)
			{
				if (this->inString)
				{
					this->inString = this->escaped || '"' != _c;
					this->escaped = !this->escaped && '\\' == _c;
					return false;
				}
				this->inString = '"' == _c;
				this->depth += '[' == _c || '{' == _c ? 1 : 0;
				this->depth -= ']' == _c || '}' == _c ? 1 : 0;
				return !this->inString;
			}

			int depth = 0;

		private:
			bool inString = false;
			bool escaped = false;
		};

		/// @returns Position behind the bracket that opens the array; none if the object has no such array.
		std::optional<std::size_t> findArray(std::string_view _text, std::string_view _field)
		{
			constexpr std::string_view kSpace = " \t\r\n";
			const std::string name = "\"" + std::string(_field) + "\"";
			Scanner scanner;
			for (std::size_t at = 0; at < _text.size(); ++at)
			{
				scanner.next(_text[at]);
				if (1 != scanner.depth || !_text.substr(at).starts_with(name))
				{
					continue;
				}
				const std::size_t colon = _text.find_first_not_of(kSpace, at + name.size());
				const std::size_t value = std::string_view::npos == colon || ':' != _text[colon] ? std::string_view::npos : _text.find_first_not_of(kSpace, colon + 1);
				if (std::string_view::npos != value && '[' == _text[value])
				{
					return value + 1;
				}
			}
			return std::nullopt;
		}
	} // namespace

	std::optional<Json> parseForeignJson(std::string_view _text)
	{
		Scanner scanner;
		const bool tooDeep = std::any_of(_text.begin(), _text.end(), [&](char _c) {
			scanner.next(_c);
			return int(kMaxJsonDepth) < scanner.depth;
		});
		Json json = tooDeep ? Json(Json::value_t::discarded) : Json::parse(_text, nullptr, false);
		return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
	}

	std::uint64_t readCount(const Json& _object, const char* _field)
	{
		const auto it = _object.is_object() ? _object.find(_field) : _object.end();
		if (_object.end() == it || !it->is_number_unsigned())
		{
			throw ArchdykeError(std::string("\"") + _field + "\" is no whole number; correct what wrote it");
		}
		return it->get<std::uint64_t>();
	}

	std::optional<JsonItems> splitJsonItems(std::string_view _text, std::string_view _field)
	{
		const std::optional<std::size_t> begin = findArray(_text, _field);
		if (!begin)
		{
			return std::nullopt;
		}
		JsonItems result;
		Scanner scanner;
		std::size_t itemBegin = *begin;
		for (std::size_t at = *begin; at < _text.size(); ++at)
		{
			const bool structural = scanner.next(_text[at]);
			const bool ends = structural && scanner.depth < 0;
			if (ends || (structural && 0 == scanner.depth && ',' == _text[at]))
			{
				const std::string_view item = _text.substr(itemBegin, at - itemBegin);
				if (!ends || !result.items.empty() || std::string_view::npos != item.find_first_not_of(" \t\r\n"))
				{
					result.items.push_back(item);
				}
				itemBegin = at + 1;
			}
			if (ends && ']' != _text[at])
			{
				return std::nullopt;
			}
			if (ends)
			{
				result.rest = std::string(_text.substr(0, *begin)) + std::string(_text.substr(at));
				return result;
			}
		}
		return std::nullopt;
	}
} // namespace archdyke
