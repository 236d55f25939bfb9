/// Parses the incoming messages of one HTTP/1.1 connection into parts.
///
/// Responses are read strictly, because bytes of another one may come at any place: a head is checked as a whole before it is
/// parsed, and chunks are read by archdyke/chunk_reader.h.
#pragma once

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

#include "archdyke/chunk_reader.h"
#include "archdyke/connection_end.h"
#include "http/http_message.h"

namespace archdyke::http
{
	/// Size limits of one incoming message.
	struct MessageLimits
	{
		std::size_t headerBytes = 16'384;
		std::size_t bodyBytes = std::size_t(4) << 20;

		bool operator==(const MessageLimits&) const = default;
	};

	/// Kinds of events on the incoming side of a connection.
	enum class PartKind
	{
		Head,
		Body,
		End,          ///< The message is complete.
		Closed,       ///< The other side closed the connection between messages.
		Reset,        ///< The connection was reset, or closed within a message.
		Malformed,    ///< The bytes aren't a valid HTTP message.
		Unrequested,  ///< Bytes came while no exchange was under way.
		JoinedHead,   ///< A response's head, or its chunks, contain the status line of another response.
		HeadTooLarge, ///< The head, the interim responses before it, the lines between two chunks or the trailers exceed their limit.
		BodyTooLarge, ///< The body exceeds its limit.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(PartKind _kind);

	/// One part of an incoming message, or the end of the connection.
	struct Part
	{
		PartKind kind = PartKind::Closed;
		RequestHead request;       ///< For a Head read by a server.
		ResponseHead response;     ///< For a Head read by a client.
		std::string body;          ///< For a Body.
		std::size_t headBytes = 0; ///< Memory that the head takes, for a Head.
	};

	enum class Side
	{
		Server,
		Client
	};

	class MessageParser
	{
	public:
		/// @param[in] _take Is called with each Head, Body and End.
		MessageParser(Side _side, MessageLimits _limits, std::function<void(Part)> _take);
		MessageParser(const MessageParser&) = delete;
		MessageParser& operator=(const MessageParser&) = delete;

		/// Parses bytes and removes those that it has parsed. A request's end pauses the parser: what is behind it isn't parsed.
		/// @returns How the connection ends because of them; none if it goes on.
		std::optional<PartKind> feed(std::string_view& _bytes);

		/// @returns Whether a request is complete and resume wasn't called since.
		bool isPaused() const;

		/// Lets the parser go on with the next request.
		void resume();

		/// @returns Memory that a head which isn't complete takes.
		std::size_t memoryBytes() const;

		/// Frees that memory. Nothing may be parsed from now on.
		void release();

		/// @returns Whether the end of the connection completes a message, or lies between messages.
		bool feedEnd(const ConnectionEnd& _end);

		/// @returns Number of bytes that came behind the last complete response, up to the next head.
		std::size_t countBytesBehind() const;

		/// @returns Whether a message has been received in part.
		bool isWithinMessage() const;

		/// Sets the limits for data parsed from now on.
		void setLimits(MessageLimits _limits);

	private:
		static MessageParser& of(http_parser* _raw);

		// Called by the parser library.
		int begin();
		int headData(std::string& _text, const char* _at, std::size_t _size);
		int headerName(const char* _at, std::size_t _size);
		int headerValue(const char* _at, std::size_t _size);
		int headersComplete();
		int requestBody(const char* _at, std::size_t _size);
		int requestComplete();

		/// Lets the library parse bytes and removes those that it takes.
		/// @returns Whether they are valid.
		bool execute(std::string_view& _bytes);
		/// Passes on the bytes of a request's body that were parsed.
		void flushRequestBody();

		// They remove the bytes that they read, and return false when these end the connection.
		bool feedResponseHead(std::string_view& _bytes);
		bool feedResponseBody(std::string_view& _bytes);
		bool feedChunks(std::string_view& _bytes);

		bool parseResponseHead(std::string_view _head);
		/// Begins to read the body that a response's head announces.
		void beginBody();
		/// @returns false when the body exceeds its limit.
		bool takeBody(std::string _data);
		void takeEnd();
		/// Remembers how the connection ends.
		/// @returns false.
		bool fail(PartKind _how);

		http_parser raw{};
		http_parser_settings callbacks{};
		Side side;
		MessageLimits limits;
		std::function<void(Part)> take;
		PartKind failure = PartKind::Malformed;

		std::string target;
		Headers headers;
		std::size_t headBytes = 0;
		std::size_t bodyBytes = 0;
		bool valueSeen = true;
		bool inRequest = false;
		bool paused = false;
		std::string requestData; ///< Bytes of a request's body that weren't passed on; many chunks become one part.

		std::optional<BodyFraming> framing; ///< Of the response that is being read; none between responses.
		std::string headText;               ///< Bytes of a response's head that isn't complete.
		std::size_t interimBytes = 0;       ///< Size of the interim responses before the next head.
		std::uint64_t lengthLeft = 0;       ///< Bytes of a body with a length that must come.
		ChunkReader chunks;
		bool ended = false;          ///< A response was complete, and no head followed.
		std::size_t bytesBehind = 0; ///< Bytes that came behind the last response.
	};
} // namespace archdyke::http
