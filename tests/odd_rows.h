/// Values of rows that another writer may leave among those of upstreams.
#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace archdyke::tests
{
	/// Number of levels in nested values: their base64 text nearly fills a row of 65,536 bytes.
	constexpr std::size_t kNestedLevels = 8'000;

	struct OddRow
	{
		std::string name;
		std::string value;
	};

	inline std::string repeatText(const std::string& _text, std::size_t _times)
	{
		std::string repeated;
		for (std::size_t index = 0; index < _times; ++index)
		{
			repeated += _text;
		}
		return repeated;
	}

	/// @returns Objects nested in one another.
	/// @param[in] _levels Number of levels.
	inline std::string nestedObjects(std::size_t _levels)
	{
		return repeatText("{\"a\":", _levels) + "1" + repeatText("}", _levels);
	}

	/// @returns Arrays nested in one another.
	/// @param[in] _levels Number of levels.
	inline std::string nestedArrays(std::size_t _levels)
	{
		return repeatText("[", _levels) + repeatText("]", _levels);
	}

	/// @returns The text of an upstream's row with one field's text replaced or added.
	inline std::string upstreamRowWith(const std::string& _field, const std::string& _text)
	{
		std::string row;
		for (const auto& [field, text] : std::vector<std::pair<std::string, std::string>>{{"service", "\"svc\""}, {"address", "\"127.0.0.1:9\""}, {"zone", "\"here\""}, {"slots", "4"}, {"state", "\"ready\""}})
		{
			row += field == _field ? "" : fmt::format("\"{}\":{},", field, text);
		}
		return fmt::format("{{{}\"{}\":{}}}", row, _field, _text);
	}

	/// @returns Rows from which no upstream can be read.
	inline std::vector<OddRow> unusableRows()
	{
		std::vector<OddRow> rows{
		    {"nested-arrays", nestedArrays(3 * kNestedLevels)},
		    {"open-arrays", repeatText("[", 6 * kNestedLevels)},
		    {"nested-objects", nestedObjects(kNestedLevels)},
		    {"open-objects", repeatText("{\"a\":", kNestedLevels)},
		    {"long-text", std::string(48'000, 'x')},
		    {"nested-unknown", upstreamRowWith("unknown", nestedObjects(kNestedLevels))},
		    {"no-text", std::string("\0\xff\xfe\x80", 4)},
		    {"empty", ""},
		};
		for (const char* field : {"service", "address", "zone", "slots", "state"})
		{
			rows.push_back({fmt::format("nested-{}", field), upstreamRowWith(field, nestedArrays(2 * kNestedLevels))});
			rows.push_back({fmt::format("bytes-{}", field), upstreamRowWith(field, "\"\xc3\x28\xff\"")});
		}
		for (const char* number : {"1e999", "-1e999", "1e400", "1e308", "-1", "4294967296", "9223372036854775808", "18446744073709551616", "NaN", "Infinity", "1.5", "\"4\"", "null"})
		{
			rows.push_back({fmt::format("slots-{}", number), upstreamRowWith("slots", number)});
		}
		for (const char* number : {"1e999", "-1", "4102444800001", "9223372036854775807", "9223372036854775808", "18446744073709551616", "1e308", "null"})
		{
			rows.push_back({fmt::format("born-{}", number), upstreamRowWith("born", number)});
		}
		for (const char* number : {"1e999", "1e308", "-1", "18446744073709551616", "null"})
		{
			rows.push_back({fmt::format("cold-{}", number), upstreamRowWith("coldLeftMs", number)});
		}
		for (const char* number : {"1e999", "-1", "18446744073709551616"})
		{
			rows.push_back({fmt::format("seq-{}", number), upstreamRowWith("seq", number)});
		}
		for (const char* address : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:00000", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:+80", "127.0.0.1:80 80", "127.0.0.1:080808", "127.0.0.1:", ":80", "[::1]:80", "::1:80", "localhost:80", "127.0.0.1\\u0000:80", "127.0.0.1:18446744073709551617", "127.0.0.1:1e3"})
		{
			rows.push_back({fmt::format("address-{}", address), upstreamRowWith("address", fmt::format("\"{}\"", address))});
		}
		rows.push_back({"address-long", upstreamRowWith("address", "\"" + std::string(40'000, '9') + ":80\"")});
		return rows;
	}

	/// @returns Rows with extreme values that are valid. Nothing listens at their address.
	inline std::vector<OddRow> extremeRows()
	{
		return {
		    {"extreme-slots", upstreamRowWith("slots", "4294967295")},
		    {"extreme-cold", upstreamRowWith("coldLeftMs", "86400000")},
		    {"extreme-born", upstreamRowWith("born", "4102444800000")},
		    {"extreme-seq", upstreamRowWith("seq", "18446744073709551615")},
		    {"extreme-zone", upstreamRowWith("zone", "\"" + std::string(40'000, 'z') + "\"")},
		    {"extreme-port", upstreamRowWith("address", "\"127.0.0.1:65535\"")},
		    {"extreme-broadcast", upstreamRowWith("address", "\"255.255.255.255:80\"")},
		    {"extreme-multicast", upstreamRowWith("address", "\"224.0.0.1:80\"")},
		    {"extreme-any", upstreamRowWith("address", "\"0.0.0.0:1\"")},
		    {"extreme-duplicate", upstreamRowWith("slots", "4,\"slots\":5,\"slots\":6")},
		};
	}
} // namespace archdyke::tests
