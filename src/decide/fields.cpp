#include "archdyke/fields.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		std::size_t lineOf(std::string_view _text, std::size_t _byte)
		{
			const std::size_t end = std::min(_byte, _text.size());
			return 1 + std::size_t(std::count(_text.begin(), _text.begin() + std::ptrdiff_t(end), '\n'));
		}

		/// Detects duplicate fields while parsing.
		class DuplicateFields
		{
		public:
			bool operator()(int _depth, Json::parse_event_t _event, Json& _parsed)
			{
				if (Json::parse_event_t::object_start == _event)
				{
					this->names.emplace_back();
				}
				else if (Json::parse_event_t::object_end == _event)
				{
					this->names.pop_back();
				}
				else if (Json::parse_event_t::key == _event && !this->names.back().insert(_parsed.get<std::string>()).second)
				{
					this->problems.push_back({"field \"" + _parsed.get<std::string>() + "\"", "it twice in one object", "keep one of them"});
				}
				(void)_depth;
				return true;
			}

			std::vector<Problem> problems;

		private:
			std::vector<std::set<std::string>> names;
		};

		std::string preview(const Json& _value)
		{
			constexpr std::size_t kShownBytes = 60;
			std::string text = _value.dump(-1, ' ', false, Json::error_handler_t::replace);
			return text.size() > kShownBytes ? text.substr(0, kShownBytes) + "..." : text;
		}

		std::string rangeText(double _min, double _max)
		{
			return "write a number from " + Json(_min).dump() + " to " + Json(_max).dump();
		}
	} // namespace

	Json parseJson(const std::string& _source, std::string_view _text)
	{
		DuplicateFields duplicates;
		Json value;
		try
		{
			value = Json::parse(_text, std::ref(duplicates), true, true);
		}
		catch (const Json::parse_error& error)
		{
			throw InvalidInputError(_source, {{"line " + std::to_string(lineOf(_text, error.byte)), "text that is not JSON (" + std::string(error.what()) + ")", "correct the syntax there or just before"}});
		}
		if (!duplicates.problems.empty())
		{
			throw InvalidInputError(_source, duplicates.problems);
		}
		return value;
	}

	ObjectReader::ObjectReader(const Json& _object, std::string _path, std::vector<Problem>& _problems)
	    : value(_object)
	    , path(std::move(_path))
	    , problems(_problems)
	{
		if (!this->value.is_object())
		{
			this->problems.push_back({this->path.empty() ? "the whole text" : this->path, preview(this->value), "write an object in braces"});
		}
	}

	std::string ObjectReader::pathOf(const std::string& _name) const
	{
		return this->path.empty() ? _name : this->path + "." + _name;
	}

	void ObjectReader::problem(const std::string& _name, const std::string& _found, const std::string& _remedy)
	{
		this->problems.push_back({this->pathOf(_name), _found, _remedy});
	}

	const Json* ObjectReader::find(const std::string& _name, bool _required, const char* _expected)
	{
		this->knownFields.insert(_name);
		if (!this->value.is_object())
		{
			return nullptr;
		}
		const auto it = this->value.find(_name);
		if (this->value.end() != it)
		{
			return &*it;
		}
		if (_required)
		{
			this->problem(_name, "nothing", std::string("add it: ") + _expected);
		}
		return nullptr;
	}

	std::string ObjectReader::text(const std::string& _name, std::size_t _maxBytes)
	{
		const Json* found = this->find(_name, true, "a string");
		if (nullptr == found)
		{
			return "";
		}
		if (!found->is_string() || found->get_ref<const std::string&>().empty() || found->get_ref<const std::string&>().size() > _maxBytes)
		{
			this->problem(_name, preview(*found), "write a string of 1 to " + std::to_string(_maxBytes) + " bytes");
			return "";
		}
		return found->get<std::string>();
	}

	std::string ObjectReader::textOr(const std::string& _name, const std::string& _default)
	{
		const bool isPresent = this->value.is_object() && this->value.contains(_name);
		this->knownFields.insert(_name);
		return isPresent ? this->text(_name) : _default;
	}

	double ObjectReader::number(const std::string& _name, double _min, double _max)
	{
		const Json* found = this->find(_name, true, "a number");
		if (nullptr == found)
		{
			return _min;
		}
		if (!found->is_number() || found->get<double>() < _min || found->get<double>() > _max)
		{
			this->problem(_name, preview(*found), rangeText(_min, _max));
			return _min;
		}
		return found->get<double>();
	}

	double ObjectReader::numberOr(const std::string& _name, double _min, double _max, double _default)
	{
		return nullptr == this->find(_name, false, "") ? _default : this->number(_name, _min, _max);
	}

	std::int64_t ObjectReader::integer(const std::string& _name, std::int64_t _min, std::int64_t _max)
	{
		const Json* found = this->find(_name, true, "a whole number");
		if (nullptr == found)
		{
			return _min;
		}
		if (!found->is_number_integer() || found->get<std::int64_t>() < _min || found->get<std::int64_t>() > _max)
		{
			this->problem(_name, preview(*found), "write a whole number from " + std::to_string(_min) + " to " + std::to_string(_max));
			return _min;
		}
		return found->get<std::int64_t>();
	}

	std::int64_t ObjectReader::integerOr(const std::string& _name, std::int64_t _min, std::int64_t _max, std::int64_t _default)
	{
		return nullptr == this->find(_name, false, "") ? _default : this->integer(_name, _min, _max);
	}

	std::size_t ObjectReader::choice(const std::string& _name, const std::vector<std::string>& _names)
	{
		const std::string found = this->text(_name);
		const auto it = std::find(_names.begin(), _names.end(), found);
		if (_names.end() != it)
		{
			return std::size_t(it - _names.begin());
		}
		if (!found.empty())
		{
			std::string all;
			for (const std::string& name : _names)
			{
				all += (all.empty() ? "" : ", ") + name;
			}
			this->problem(_name, "\"" + found + "\"", "write one of: " + all);
		}
		return 0;
	}

	bool ObjectReader::flagOr(const std::string& _name, bool _default)
	{
		const Json* found = this->find(_name, false, "");
		if (nullptr == found)
		{
			return _default;
		}
		if (!found->is_boolean())
		{
			this->problem(_name, preview(*found), "write true or false");
			return _default;
		}
		return found->get<bool>();
	}

	std::vector<std::string> ObjectReader::texts(const std::string& _name)
	{
		std::vector<std::string> result;
		const Json* found = this->find(_name, false, "");
		if (nullptr == found)
		{
			return result;
		}
		if (!found->is_array())
		{
			this->problem(_name, preview(*found), "write a list of strings");
			return result;
		}
		for (const Json& item : *found)
		{
			if (!item.is_string())
			{
				this->problem(_name + "[" + std::to_string(result.size()) + "]", preview(item), "write a string");
				return result;
			}
			result.push_back(item.get<std::string>());
		}
		return result;
	}

	void ObjectReader::objects(const std::string& _name, bool _required, const std::function<void(ObjectReader&)>& _read)
	{
		const Json* found = this->find(_name, _required, "a list of objects");
		if (nullptr == found)
		{
			return;
		}
		if (!found->is_array())
		{
			this->problem(_name, preview(*found), "write a list of objects");
			return;
		}
		std::size_t index = 0;
		for (const Json& item : *found)
		{
			ObjectReader reader(item, this->pathOf(_name) + "[" + std::to_string(index++) + "]", this->problems);
			_read(reader);
			reader.finish();
		}
	}

	void ObjectReader::object(const std::string& _name, const std::function<void(ObjectReader&)>& _read)
	{
		const Json* found = this->find(_name, false, "");
		if (nullptr != found)
		{
			ObjectReader reader(*found, this->pathOf(_name), this->problems);
			_read(reader);
			reader.finish();
		}
	}

	void ObjectReader::finish()
	{
		if (!this->value.is_object())
		{
			return;
		}
		for (const auto& [name, item] : this->value.items())
		{
			if (!this->knownFields.contains(name))
			{
				std::string known;
				for (const std::string& field : this->knownFields)
				{
					known += (known.empty() ? "" : ", ") + field;
				}
				this->problem(name, "an unknown field", "remove it or correct its name; known here: " + known);
			}
		}
	}
} // namespace archdyke
