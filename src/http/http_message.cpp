#include "http/http_message.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <http_parser.h>

#include "archdyke/text.h"

namespace archdyke::http
{
	namespace
	{
		constexpr std::array<std::string_view, 9> kConnectionHeaders{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};

		void appendHeaders(std::string& _bytes, const Headers& _headers)
		{
			for (const Header& header : _headers.lines)
			{
				_bytes += header.name;
				_bytes += ": ";
				_bytes += header.value;
				_bytes += "\r\n";
			}
		}

		std::string serializeLines(const ResponseHead& _head)
		{
			std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", _head.status, reasonPhrase(_head.status));
			appendHeaders(bytes, _head.headers);
			if (!_head.keepAlive)
			{
				bytes += "Connection: close\r\n";
			}
			return bytes;
		}
	} // namespace

	std::optional<std::string_view> Headers::find(std::string_view _name) const
	{
		const auto it = std::find_if(this->lines.begin(), this->lines.end(), [&](const Header& _header) {
			return equalHeaderNames(_header.name, _name);
		});
		return this->lines.end() == it ? std::nullopt : std::optional<std::string_view>(it->value);
	}

	void Headers::add(std::string_view _name, std::string_view _value)
	{
		this->lines.push_back({std::string(_name), std::string(_value)});
	}

	bool equalHeaderNames(std::string_view _a, std::string_view _b)
	{
		return absl::EqualsIgnoreCase(asAbsl(_a), asAbsl(_b));
	}

	std::optional<std::int64_t> parseInteger(std::string_view _text)
	{
		std::int64_t value = 0;
		return absl::SimpleAtoi(asAbsl(_text), &value) ? std::optional(value) : std::nullopt;
	}

	bool isConnectionHeader(std::string_view _name)
	{
		return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), [&](std::string_view _other) {
			return equalHeaderNames(_name, _other);
		});
	}

	std::string serializeStart(const RequestHead& _head, std::size_t _bodyBytes)
	{
		std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", _head.method, _head.target);
		appendHeaders(bytes, _head.headers);
		const bool bodyExpected = "GET" != _head.method && "HEAD" != _head.method;
		if (0 < _bodyBytes || bodyExpected)
		{
			bytes += fmt::format("Content-Length: {}\r\n", _bodyBytes);
		}
		bytes += "\r\n";
		return bytes;
	}

	std::string serializeStart(const ResponseHead& _head, std::size_t _bodyBytes)
	{
		return serializeLines(_head) + fmt::format("Content-Length: {}\r\n\r\n", _bodyBytes);
	}

	std::string serialize(const RequestHead& _head, std::string_view _body)
	{
		return serializeStart(_head, _body.size()) += _body;
	}

	std::string serialize(const ResponseHead& _head, std::string_view _body)
	{
		return serializeStart(_head, _body.size()) += _body;
	}

	std::string serializeChunkedHead(const ResponseHead& _head)
	{
		return serializeLines(_head) + "Transfer-Encoding: chunked\r\n\r\n";
	}

	std::string serializeChunk(std::string_view _piece)
	{
		return fmt::format("{:x}\r\n{}\r\n", _piece.size(), _piece);
	}

	std::string_view reasonPhrase(int _status)
	{
		switch (_status)
		{
#define ARCHDYKE_REASON(_number, _name, _words) \
	case _number:                               \
		return #_words;
			HTTP_STATUS_MAP(ARCHDYKE_REASON)
#undef ARCHDYKE_REASON
		default:
			return "Unknown";
		}
	}
} // namespace archdyke::http
