/// Heads of HTTP/1.1 messages as values, and their bytes on a connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace archdyke::http
{
	/// One header line.
	struct Header
	{
		std::string name;
		std::string value;

		bool operator==(const Header&) const = default;
	};

	/// Header lines in the order in which they came.
	struct Headers
	{
		std::vector<Header> lines;

		bool operator==(const Headers&) const = default;

		/// @returns The first value of that name, in any case of letters; none when absent.
		std::optional<std::string_view> find(std::string_view _name) const;

		/// Appends a line.
		void add(std::string_view _name, std::string_view _value);
	};

	/// @returns Whether two header names are the same; the case of letters doesn't matter.
	bool sameName(std::string_view _a, std::string_view _b);

	/// @returns The whole number that a text holds; none when it is anything else.
	std::optional<std::int64_t> parseWhole(std::string_view _text);

	/// Head of a request.
	struct RequestHead
	{
		std::string method;
		std::string target; ///< Path with query, as sent.
		Headers headers;
		bool keepAlive = true;

		bool operator==(const RequestHead&) const = default;
	};

	/// Head of an answer.
	struct ResponseHead
	{
		int status = 0;
		Headers headers;
		bool keepAlive = true;

		bool operator==(const ResponseHead&) const = default;
	};

	/// @returns Whether a header concerns one connection only and is not handed on.
	bool isConnectionHeader(std::string_view _name);

	/// @returns Bytes of a request with its whole body.
	std::string serialize(const RequestHead& _head, std::string_view _body);

	/// @returns Bytes of an answer with its whole body.
	std::string serialize(const ResponseHead& _head, std::string_view _body);

	/// @returns Bytes of the head of an answer whose body follows in chunks.
	std::string serializeChunkedHead(const ResponseHead& _head);

	/// @returns One chunk.
	std::string serializeChunk(std::string_view _piece);

	/// Ends a body in chunks.
	constexpr std::string_view kLastChunk = "0\r\n\r\n";

	/// @returns The standard words of a status.
	std::string_view reasonOf(int _status);
} // namespace archdyke::http
