/// Checked reading of JSON objects: every field has a type and a range, unknown and
/// doubled fields are found, and all problems of a text are gathered before one error.
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
	/// @param[in] _source Name for messages, for example the file's.
	/// @throws InvalidInputError With the line of a syntax error or of a doubled field.
	nlohmann::json parseJson(const std::string& _source, std::string_view _text);

	/// Reads one object. Problems go to the list that all readers of a text share.
	class ObjectReader
	{
	public:
		ObjectReader(const nlohmann::json& _object, std::string _path, std::vector<Problem>& _problems);

		/// A required text of 1 to _maxBytes bytes.
		std::string text(const std::string& _name, std::size_t _maxBytes = kMaxTextBytes);

		/// A text that may be left out.
		std::string textOr(const std::string& _name, const std::string& _default);

		/// A whole number in [_min, _max].
		std::int64_t integer(const std::string& _name, std::int64_t _min, std::int64_t _max);
		std::int64_t integerOr(const std::string& _name, std::int64_t _min, std::int64_t _max, std::int64_t _default);

		/// A number in [_min, _max].
		double number(const std::string& _name, double _min, double _max);
		double numberOr(const std::string& _name, double _min, double _max, double _default);

		/// One of _names; the index of it.
		std::size_t choice(const std::string& _name, const std::vector<std::string>& _names);

		bool flagOr(const std::string& _name, bool _default);

		/// Texts of a list; empty when left out.
		std::vector<std::string> texts(const std::string& _name);

		/// Calls _read for each object of a list.
		void objects(const std::string& _name, bool _required, const std::function<void(ObjectReader&)>& _read);

		/// Calls _read for an object, if it is there.
		void object(const std::string& _name, const std::function<void(ObjectReader&)>& _read);

		/// Reports fields that nobody asked for. Call it last.
		void finish();

		/// Notes a problem of this object's field.
		void problem(const std::string& _name, const std::string& _found, const std::string& _remedy);

		/// Path of a field, as used in messages.
		std::string pathOf(const std::string& _name) const;

		static constexpr std::size_t kMaxTextBytes = 1024;

	private:
		const nlohmann::json* find(const std::string& _name, bool _required, const char* _expected);

		const nlohmann::json& value;
		std::string path;
		std::vector<Problem>& problems;
		std::set<std::string> asked;
	};
} // namespace archdyke
