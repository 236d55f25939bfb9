#include "stub_early.h"

#include <fmt/format.h>

#include "base/process.h"

namespace archdyke::stub
{
	namespace
	{
		constexpr auto kPollInterval = 1 * kj::MILLISECONDS;
		/// Limits of the rest of a request that is read behind a whole response, bytes and ms.
		constexpr std::size_t kMaxRestBytes = std::size_t(4) << 20;
		constexpr Millis kMaxRestMs = 1'000;

		/// Waits until bytes of the request wait in the system because this process reads no more of it.
		aio::Task<void> waitUntilStalled(kj::Timer& _timer, const http::HttpConnection& _connection)
		{
			constexpr int kStalledPolls = 2;
			for (int stalled = 0; stalled < kStalledPolls && !_connection.isDisconnected();)
			{
				co_await _timer.afterDelay(kPollInterval);
				stalled = 0 < _connection.countBytesBehind() ? stalled + 1 : 0;
			}
		}

		std::string serializeWithoutLength(const EarlyResponse& _response)
		{
			std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", _response.head.status, http::reasonPhrase(_response.head.status));
			for (const http::Header& line : _response.head.headers.lines)
			{
				bytes += fmt::format("{}: {}\r\n", line.name, line.value);
			}
			const std::size_t size = _response.isCut ? _response.body.size() / 2 : _response.body.size();
			return bytes + "\r\n" + _response.body.substr(0, size);
		}
	} // namespace

	aio::Task<void> writeEarly(kj::Timer& _timer, std::unique_ptr<http::HttpConnection> _connection, EarlyResponse _response)
	{
		co_await waitUntilStalled(_timer, *_connection);
		std::string bytes = serializeWithoutLength(_response);
		co_await _connection->write(std::move(bytes));
		if (!_response.isCut)
		{
			co_await _connection->closeGracefully(_timer, kMaxRestBytes, kMaxRestMs);
			co_return;
		}
		const Millis resetAt = nowMs() + _response.endMs;
		while (!_connection->isDisconnected() && (nowMs() < resetAt || 0 == _connection->countBytesBehind()))
		{
			co_await _timer.afterDelay(kPollInterval);
		}
		// A connection that is closed while bytes wait is reset. The event loop would read them in its next turn.
		_connection.reset();
	}
} // namespace archdyke::stub
