/// Helpers shared by the readers of all settings files.
#pragma once

#include <string>
#include <vector>

#include "archdyke/fields.h"
#include "base/address.h"
#include "base/process.h"

namespace archdyke
{
	/// How unknown fields are handled.
	enum class UnknownFields
	{
		Refuse,
		Ignore ///< The deployment may write fields that this program doesn't know.
	};

	/// Checks that a text is an address; reports a problem to the reader if it isn't.
	/// @returns The text.
	inline std::string checkAddress(ObjectReader& _reader, const std::string& _field, const std::string& _text)
	{
		try
		{
			parseAddress(_text);
		}
		catch (const InvalidInputError& error)
		{
			_reader.problem(_field, "\"" + _text + "\"", error.problems.front().remedy);
		}
		return _text;
	}

	/// Reads a required address.
	inline std::string readAddress(ObjectReader& _reader, const std::string& _field)
	{
		const std::string text = _reader.text(_field);
		return text.empty() ? text : checkAddress(_reader, _field, text);
	}

	/// Reads a settings file, JSON with comments.
	/// @param[in] _read Reads the settings from an ObjectReader.
	/// @throws InvalidInputError Listing all problems.
	template <typename Settings, typename Read>
	Settings loadSettings(const std::string& _path, UnknownFields _unknown, Read _read)
	{
		const nlohmann::json json = parseJson(_path, readFile(_path));
		std::vector<Problem> problems;
		ObjectReader reader(json, "", problems);
		Settings settings = _read(reader);
		if (UnknownFields::Refuse == _unknown)
		{
			reader.finish();
		}
		if (!problems.empty())
		{
			throw InvalidInputError(_path, std::move(problems));
		}
		return settings;
	}
} // namespace archdyke
