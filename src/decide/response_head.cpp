#include "archdyke/response_head.h"

#include <algorithm>

#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		constexpr std::string_view kVersion = "HTTP/1.";
		/// Position of the status in "HTTP/1.1 200", and the length of this.
		constexpr std::size_t kStatusBegin = 9;
		constexpr std::size_t kStatusEnd = 12;
		/// First digit of the highest statuses (RFC 9110, 15).
		constexpr char kLastStatusClass = '5';
		constexpr std::string_view kTokenSigns = "!#$%&'*+-.^_`|~";

		bool isDigit(char _c)
		{
			return '0' <= _c && _c <= '9';
		}

		/// RFC 9110, 5.6.2.
		bool isTokenChar(char _c)
		{
			const char lower = char(_c | 0x20);
			return isDigit(_c) || ('a' <= lower && lower <= 'z') || std::string_view::npos != kTokenSigns.find(_c);
		}

		bool isControl(char _c)
		{
			return ('\t' != _c && 0 <= _c && _c < 0x20) || 0x7f == _c;
		}

		/// @returns Whether a status line's sign at a position is one that a status line has there.
		bool fitsStatusLine(char _c, std::size_t _at)
		{
			if (_at < kVersion.size())
			{
				return kVersion[_at] == _c;
			}
			const bool space = 8 == _at || kStatusEnd == _at;
			const bool firstDigit = kStatusBegin == _at;
			return space ? ' ' == _c : isDigit(_c) && !(firstDigit && '0' == _c);
		}

		bool isStatusLine(std::string_view _line)
		{
			const bool complete = kStatusEnd <= _line.size();
			return complete && kLastStatusClass >= _line[kStatusBegin] && mayStartResponse(_line.substr(0, kStatusEnd + 1));
		}

		HeadFault checkStatusLine(std::string_view _line)
		{
			// What follows a status line can only be another one.
			if (containsStatusLine(_line.substr(std::min(_line.size(), kStatusEnd))))
			{
				return HeadFault::Joined;
			}
			return isStatusLine(_line) && !containsControl(_line) ? HeadFault::None : HeadFault::NotAHead;
		}
	} // namespace

	std::size_t findStatusLine(std::string_view _text, std::size_t _from)
	{
		for (std::size_t at = _text.find(kVersion, _from); std::string_view::npos != at; at = _text.find(kVersion, at + 1))
		{
			const std::string_view rest = _text.substr(at);
			const bool ends = kStatusEnd == rest.size() || (kStatusEnd < rest.size() && std::string_view::npos != std::string_view(" \r\n").find(rest[kStatusEnd]));
			if (ends && mayStartResponse(rest.substr(0, kStatusEnd)))
			{
				return at;
			}
		}
		return std::string_view::npos;
	}

	bool containsStatusLine(std::string_view _text)
	{
		return std::string_view::npos != findStatusLine(_text, 0);
	}

	bool containsStartOfStatusLine(std::string_view _text, std::size_t _size)
	{
		const std::size_t size = std::min(_size, kStatusEnd);
		for (std::size_t at = _text.find(kVersion.front()); std::string_view::npos != at && at + size <= _text.size(); at = _text.find(kVersion.front(), at + 1))
		{
			if (mayStartResponse(_text.substr(at, size)))
			{
				return true;
			}
		}
		return false;
	}

	bool containsControl(std::string_view _text)
	{
		return std::any_of(_text.begin(), _text.end(), isControl);
	}

	bool mayStartResponse(std::string_view _text)
	{
		const std::size_t size = std::min(_text.size(), kStatusEnd + 1);
		for (std::size_t at = 0; at < size; ++at)
		{
			const bool endsLine = kStatusEnd == at && ('\r' == _text[at] || '\n' == _text[at]);
			if (!fitsStatusLine(_text[at], at) && !endsLine)
			{
				return false;
			}
		}
		return true;
	}

	bool endsWithinStatusLine(std::string_view _text, std::size_t _min)
	{
		for (std::size_t size = _min; size <= std::min(kStatusEnd, _text.size()); ++size)
		{
			if (mayStartResponse(_text.substr(_text.size() - size)))
			{
				return true;
			}
		}
		return false;
	}

	std::size_t headSize(std::string_view _text, std::size_t _from)
	{
		constexpr std::size_t kLongestEnd = 3; // of "\n\r\n"
		for (std::size_t at = _text.find('\n', _from < kLongestEnd ? 0 : _from - kLongestEnd); std::string_view::npos != at; at = _text.find('\n', at + 1))
		{
			const std::string_view rest = _text.substr(at + 1);
			if (rest.starts_with("\n") || rest.starts_with("\r\n"))
			{
				return at + 1 + rest.find('\n') + 1;
			}
		}
		return 0;
	}

	HeadFault checkHeaderLine(std::string_view _line)
	{
		if (containsStatusLine(_line))
		{
			return HeadFault::Joined;
		}
		const std::size_t colon = _line.find(':');
		const bool named = std::string_view::npos != colon && 0 < colon && std::all_of(_line.begin(), _line.begin() + std::ptrdiff_t(colon), isTokenChar);
		return named && !containsControl(_line) ? HeadFault::None : HeadFault::NotAHead;
	}

	HeadFault checkResponseHead(std::string_view _head)
	{
		bool first = true;
		for (std::string_view line : splitText(_head, '\n'))
		{
			if (line.ends_with('\r'))
			{
				line.remove_suffix(1);
			}
			if (line.empty() && !first)
			{
				break;
			}
			const HeadFault fault = first ? checkStatusLine(line) : checkHeaderLine(line);
			if (HeadFault::None != fault)
			{
				return fault;
			}
			first = false;
		}
		return HeadFault::None;
	}
} // namespace archdyke
