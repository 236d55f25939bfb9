/// Answers without end, for stubs.
#pragma once

#include <kj/timer.h>
#include <map>
#include <optional>
#include <string>

#include "aio/task.h"
#include "http/http_connection.h"

namespace archdyke::stub
{
	/// An answer that never ends.
	struct EndlessAnswer
	{
		std::string start;
		std::string unit; ///< Comes again and again behind it.

		bool operator==(const EndlessAnswer&) const = default;
	};

	/// @param[in] _kind What has no end: head, reason, interim, length, chunks, close (a body until the connection's end), extension,
	/// trailers, event, nothings (events without content).
	/// @param[in] _lines Header lines of the answer, each with its line end.
	/// @returns None for an unknown kind.
	inline std::optional<EndlessAnswer> endlessAnswer(const std::string& _kind, const std::string& _lines)
	{
		const std::string status = "HTTP/1.1 200 OK\r\n";
		const std::string chunked = status + _lines + "Transfer-Encoding: chunked\r\n\r\n";
		const std::map<std::string, EndlessAnswer> answers{
		    {"head", {status + _lines + "X-Endless: ", "a"}},
		    {"reason", {"HTTP/1.1 200 ", "a"}},
		    {"interim", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
		    {"length", {status + _lines + "Content-Length: 1000000000000\r\n\r\n", "a"}},
		    {"chunks", {chunked, "1\r\na\r\n"}},
		    {"close", {status + _lines + "\r\n", "a"}},
		    {"extension", {chunked + "1;", "a"}},
		    {"trailers", {chunked + "1\r\na\r\n0\r\n", "X: a\r\n"}},
		    {"event", {chunked + "ffffffffff\r\ndata: ", "a"}},
		    {"nothings", {chunked, "3\r\n:\n\n\r\n"}},
		};
		const auto found = answers.find(_kind);
		return answers.end() == found ? std::nullopt : std::optional(found->second);
	}

	/// Writes an answer without end until the other side closes.
	/// @param[in] _byteByByte Whether its bytes come one at a time, slowly, or all as fast as they are taken.
	inline aio::Task<void> writeEndless(http::HttpConnection& _connection, kj::Timer& _timer, EndlessAnswer _answer, bool _byteByByte)
	{
		constexpr std::size_t kBlockBytes = 65'536;
		std::string start = _answer.start;
		co_await _connection.write(std::move(start));
		std::string block;
		while (block.size() < kBlockBytes)
		{
			block += _answer.unit;
		}
		for (std::size_t at = 0; !_connection.isDisconnected(); ++at)
		{
			if (_byteByByte)
			{
				co_await _timer.afterDelay(1 * kj::MILLISECONDS);
			}
			std::string bytes = _byteByByte ? block.substr(at % block.size(), 1) : block;
			co_await _connection.write(std::move(bytes));
		}
	}
} // namespace archdyke::stub
