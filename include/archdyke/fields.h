/// Validating reader for JSON objects: checks type and range of each field, detects unknown and
/// duplicate fields, and collects all problems of a text for one error.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/errors.h"

namespace archdyke
{
	/// Parses JSON with comments.
	/// @param[in] _source Name used in messages, for example the file name.
	/// @throws InvalidInputError With the line of a syntax error, or the names of duplicate fields.
	nlohmann::json parseJson(const std::string& _source, std::string_view _text);

	/// Reads one object. Problems are added to a list shared by all readers of a text.
	class ObjectReader
	{
	public:
		ObjectReader(const nlohmann::json& _object, std::string _path, std::vector<Problem>& _problems);

		/// Reads a required string of 1 to _maxBytes bytes.
		std::string text(const std::string& _name, std::size_t _maxBytes = kMaxTextBytes);

		/// Reads an optional string.
		std::string textOr(const std::string& _name, const std::string& _default);

		/// Reads an integer in [_min, _max].
		std::int64_t integer(const std::string& _name, std::int64_t _min, std::int64_t _max);
		std::int64_t integerOr(const std::string& _name, std::int64_t _min, std::int64_t _max, std::int64_t _default);

		/// Reads a number in [_min, _max].
		double number(const std::string& _name, double _min, double _max);
		double numberOr(const std::string& _name, double _min, double _max, double _default);

		/// Reads one of _names.
		/// @returns Its index.
		std::size_t choice(const std::string& _name, const std::vector<std::string>& _names);

		bool flagOr(const std::string& _name, bool _default);

		/// Reads an optional list of strings.
		std::vector<std::string> texts(const std::string& _name);

		/// Calls _read for each object of a list.
		void objects(const std::string& _name, bool _required, const std::function<void(ObjectReader&)>& _read);

		/// Calls _read for an optional object.
		void object(const std::string& _name, const std::function<void(ObjectReader&)>& _read);

		/// Reports fields that were not read. Must be called last.
		void finish();

		/// Adds a problem with a field of this object.
		void problem(const std::string& _name, const std::string& _found, const std::string& _remedy);

		/// @returns Path of a field, as used in messages.
		std::string pathOf(const std::string& _name) const;

		static constexpr std::size_t kMaxTextBytes = 1024;

	private:
		const nlohmann::json* find(const std::string& _name, bool _required, const char* _expected);

		const nlohmann::json& value;
		std::string path;
		std::vector<Problem>& problems;
		std::set<std::string> knownFields;
	};
} // namespace archdyke
