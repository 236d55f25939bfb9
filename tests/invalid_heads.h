/// Heads of responses that no sound server sends.
#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace archdyke::tests
{
	/// @returns Statuses that aren't numbers from 100 to 599 (RFC 9110, 15).
	inline std::vector<std::string> invalidStatuses()
	{
		return {"000", "001", "099", "20", "2000", "abc", "600", "999"};
	}

	/// @returns Header lines, without their ends, whose names hold a blank, a control character or another byte that names don't have.
	inline std::vector<std::string> invalidHeaderLines()
	{
		using namespace std::string_literals;
		return {"X Y: a", "X\tY: a", "X\rY: a", "X\x01Y: a", "X\x7fY: a", "X\0Y: a"s, "X\x80Y: a", "X : a", "X\t: a", ": a", " X: a", "Content-Length : 1", "Transfer-Encoding : chunked"};
	}

	/// Bytes of a response, with a name for messages.
	struct InvalidResponse
	{
		std::string name;
		std::string bytes;
	};

	/// @param[in] _lines Further header lines, with their ends.
	inline std::vector<InvalidResponse> invalidHeads(const std::string& _lines = "", const std::string& _body = "body")
	{
		const std::string rest = _lines + "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
		std::vector<InvalidResponse> responses{{"an interim response with status 000", "HTTP/1.1 000 Status\r\n\r\nHTTP/1.1 200 OK\r\n" + rest}};
		for (const std::string& status : invalidStatuses())
		{
			responses.push_back({"status " + status, "HTTP/1.1 " + status + " Status\r\n" + rest});
		}
		for (const std::string& line : invalidHeaderLines())
		{
			responses.push_back({"line " + line, "HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest});
		}
		return responses;
	}

	/// @param[in] _lines Header lines, with their ends.
	inline std::vector<InvalidResponse> invalidTrailers(const std::string& _lines = "", const std::string& _body = "body")
	{
		std::vector<InvalidResponse> responses;
		std::ostringstream size;
		size << std::hex << _body.size();
		for (const std::string& line : invalidHeaderLines())
		{
			responses.push_back({"trailer " + line, "HTTP/1.1 200 OK\r\n" + _lines + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + _body + "\r\n0\r\n" + line + "\r\n\r\n"});
		}
		return responses;
	}

	/// @returns Both, with what an otherwise sound response has.
	inline std::vector<InvalidResponse> invalidResponses(const std::string& _lines, const std::string& _body)
	{
		std::vector<InvalidResponse> responses = invalidHeads(_lines, _body);
		const std::vector<InvalidResponse> trailers = invalidTrailers(_lines, _body);
		responses.insert(responses.end(), trailers.begin(), trailers.end());
		return responses;
	}
} // namespace archdyke::tests
