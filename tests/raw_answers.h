/// Answers that are cut, repeated or endless, and checks of their readers.
#pragma once

#include <algorithm>
#include <fstream>
#include <future>

#include "base/process.h"
#include "raw_server.h"

namespace archdyke::tests
{
	/// @returns A whole answer.
	inline std::string rawAnswer(const std::string& _status, const std::string& _body, const std::string& _type = "application/json")
	{
		return "HTTP/1.1 " + _status + "\r\nContent-Type: " + _type + "\r\nContent-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
	}

	/// @returns A whole event stream.
	inline std::string rawStream(const std::string& _event)
	{
		constexpr const char* kDigits = "0123456789abcdef";
		const std::string data = "data: " + _event + "\n\n"; // shorter than 16 bytes
		return std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") + kDigits[data.size()] + "\r\n" + data + "\r\n0\r\n\r\n";
	}

	/// Bytes that go on until the other side closes.
	struct EndlessBytes
	{
		std::string name;
		std::string start;
		std::string repeated;
	};

	inline std::vector<EndlessBytes> endlessAnswers()
	{
		const std::string line = "HTTP/1.1 200 OK\r\n";
		return {
		    {"status line", "HTTP/1.1 200 ", "x"},
		    {"header line", line + "A: ", "x"},
		    {"header lines", line, "A: x\r\n"},
		    {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		    {"body with a length", line + "Content-Length: 999999999999\r\n\r\n", "x"},
		    {"body until close", line + "\r\n", "x"},
		    {"event stream until close", line + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
		    {"chunks", line + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		    {"chunk extension", line + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		    {"trailers", line + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		};
	}

	/// Sends bytes until the other side closes, for 8 s or 512 MB at most.
	inline void sendEndless(const RawExchange& _exchange, const EndlessBytes& _bytes, std::size_t _blockBytes, std::chrono::milliseconds _pause)
	{
		constexpr std::size_t kMaxBytes = std::size_t(512) << 20;
		const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(8);
		std::string block = _bytes.repeated;
		while (block.size() < _blockBytes)
		{
			block += _bytes.repeated;
		}
		std::size_t sent = 0;
		bool open = _exchange.send(_bytes.start);
		while (open && sent < kMaxBytes && std::chrono::steady_clock::now() < until)
		{
			open = _exchange.send(block);
			sent += block.size();
			std::this_thread::sleep_for(_pause);
		}
	}

	/// @returns Whether a request was for the health path, which is then answered.
	inline bool answersHealth(const RawExchange& _exchange)
	{
		return _exchange.isFor("/health") && _exchange.send(rawAnswer("200 OK", "{}"));
	}

	/// Answers the first request with the first answer, and all further ones with the second. On a kept connection the first
	/// _late bytes of the first answer come once more, before the second answer.
	inline std::function<bool(const RawExchange&)> stutter(const std::string& _first, const std::string& _second, std::size_t _late)
	{
		return [=](const RawExchange& _exchange) {
			const std::string behind = 0 < _exchange.numberOnConnection ? _first.substr(0, _late) : "";
			return answersHealth(_exchange) || _exchange.send(behind + (0 == _exchange.number ? _first : _second));
		};
	}

	/// Sends the first bytes of an answer, and closes.
	inline std::function<bool(const RawExchange&)> cutAt(const std::string& _answer, std::size_t _size)
	{
		return [=](const RawExchange& _exchange) {
			if (!answersHealth(_exchange))
			{
				_exchange.send(_answer.substr(0, _size));
			}
			return false;
		};
	}

	/// @returns The texts of the cuts at which a check fails.
	inline std::string failingCuts(std::size_t _size, const std::function<bool(std::size_t)>& _holds)
	{
		std::string failing;
		for (std::size_t cut = 0; cut <= _size; ++cut)
		{
			failing += _holds(cut) ? "" : " " + std::to_string(cut);
		}
		return failing;
	}

	inline std::size_t headBytes(const std::string& _answer)
	{
		return _answer.find("\r\n\r\n") + 4;
	}

	/// Answers with endless bytes, slowly or fast.
	inline std::function<bool(const RawExchange&)> endless(const EndlessBytes& _bytes, bool _fast)
	{
		return [=](const RawExchange& _exchange) {
			if (!_exchange.isFor("/health") || "health" == _bytes.name)
			{
				sendEndless(_exchange, _bytes, _fast ? 65'536 : 1, std::chrono::milliseconds(_fast ? 0 : 20));
				return false;
			}
			return answersHealth(_exchange);
		};
	}

	/// Calls a reader once for each kind of endless answer, all at once.
	/// @returns The kinds for which the call didn't end as failed within the limit.
	inline std::string failingKinds(bool _fast, Millis _limitMs, const std::function<bool(const RawServer&)>& _fails)
	{
		std::vector<std::future<std::string>> calls;
		for (const EndlessBytes& bytes : tests::endlessAnswers())
		{
			calls.push_back(std::async(std::launch::async, [=] {
				const RawServer server(endless(bytes, _fast));
				const Millis since = nowMs();
				const bool fails = _fails(server);
				const Millis tookMs = nowMs() - since;
				return fails && tookMs < _limitMs ? std::string() : " [" + bytes.name + (fails ? " failed" : " succeeded") + " after " + std::to_string(tookMs) + " ms]";
			}));
		}
		std::string failing;
		for (std::future<std::string>& call : calls)
		{
			failing += call.get();
		}
		return failing;
	}

	/// @returns Highest memory in use by this process so far, bytes.
	inline std::size_t peakMemory()
	{
		std::ifstream status("/proc/self/status");
		std::string word;
		std::size_t kilobytes = 0;
		while (status >> word)
		{
			if ("VmHWM:" == word)
			{
				status >> kilobytes;
			}
		}
		return kilobytes * 1024;
	}
} // namespace archdyke::tests
