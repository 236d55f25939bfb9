/// Heads of HTTP/1.1 messages and their serialization.
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

	/// Header lines in the order received.
	struct Headers
	{
		std::vector<Header> lines;

		bool operator==(const Headers&) const = default;

		/// @returns The first value of a header, ignoring the name's case; none when absent.
		std::optional<std::string_view> find(std::string_view _name) const;

		/// Appends a line.
		void add(std::string_view _name, std::string_view _value);
	};

	/// @returns Whether two header names are equal, ignoring case.
	bool equalHeaderNames(std::string_view _a, std::string_view _b);

	/// @returns The integer in a text; none when the text is anything else.
	std::optional<std::int64_t> parseInteger(std::string_view _text);

	/// Head of a request.
	struct RequestHead
	{
		std::string method;
		std::string target; ///< Path with query, as sent.
		Headers headers;
		bool keepAlive = true;

		bool operator==(const RequestHead&) const = default;
	};

	/// How the end of a response's body is found.
	enum class BodyFraming
	{
		Length, ///< Also responses without a body.
		Chunks,
		UntilClose
	};

	/// Head of a response.
	struct ResponseHead
	{
		int status = 0;
		Headers headers;
		bool keepAlive = true;
		BodyFraming framing = BodyFraming::Length; ///< Of a response that was received.

		bool operator==(const ResponseHead&) const = default;
	};

	/// @returns Whether a header is hop-by-hop and must not be forwarded.
	bool isConnectionHeader(std::string_view _name);

	/// @returns Bytes of a request with its complete body.
	std::string serialize(const RequestHead& _head, std::string_view _body);

	/// @returns Bytes of a request, up to its body of this size.
	std::string serializeStart(const RequestHead& _head, std::size_t _bodyBytes);

	/// @returns Bytes of a response, up to its body of this size.
	std::string serializeStart(const ResponseHead& _head, std::size_t _bodyBytes);

	/// @returns Bytes of a response with its complete body.
	std::string serialize(const ResponseHead& _head, std::string_view _body);

	/// @returns Bytes of the head of a response whose body is sent in chunks.
	std::string serializeChunkedHead(const ResponseHead& _head);

	/// @returns Bytes of one chunk.
	std::string serializeChunk(std::string_view _piece);

	/// Terminates a chunked body.
	constexpr std::string_view kLastChunk = "0\r\n\r\n";

	/// @returns The standard reason phrase of a status.
	std::string_view reasonPhrase(int _status);
} // namespace archdyke::http
