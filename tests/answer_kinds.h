/// Answers of all kinds, for tests that join the bytes of two.
#pragma once

#include <fmt/format.h>
#include <string>
#include <vector>

#include "http/http_connection.h"

namespace archdyke::tests
{
	enum class BodyFraming
	{
		None,
		Length,
		Chunks,
		UntilClose
	};

	/// An answer and the bytes that it is sent as.
	struct Answer
	{
		std::string name;
		std::string wire;
		std::size_t headBytes = 0; ///< Interim heads included.
		http::ResponseHead head;   ///< Without keepAlive.
		BodyFraming framing = BodyFraming::None;
		std::string body;
		bool hasCrLf = false; ///< Whether the body contains line ends as heads have them.
	};

	inline std::string chunksOf(const std::vector<std::string>& _pieces, const std::string& _extension, const std::string& _trailers)
	{
		std::string wire;
		for (const std::string& piece : _pieces)
		{
			wire += fmt::format("{:x}{}\r\n{}\r\n", piece.size(), _extension, piece);
		}
		return wire + "0" + _extension + "\r\n" + _trailers + "\r\n";
	}

	/// @param[in] _lines Header lines, as name and value.
	inline Answer makeAnswer(const std::string& _name, const std::string& _interim, int _status, const std::string& _reason, const std::vector<http::Header>& _lines)
	{
		Answer answer;
		answer.name = _name;
		answer.head.status = _status;
		answer.head.headers.lines = _lines;
		answer.wire = fmt::format("{}HTTP/1.1 {}{}\r\n", _interim, _status, _reason);
		for (const http::Header& line : _lines)
		{
			answer.wire += line.name + ": " + line.value + "\r\n";
		}
		answer.wire += "\r\n";
		answer.headBytes = answer.wire.size();
		return answer;
	}

	inline Answer withBody(Answer _answer, BodyFraming _framing, const std::string& _body, const std::string& _wire)
	{
		_answer.framing = _framing;
		_answer.body = _body;
		_answer.wire += _wire;
		_answer.hasCrLf = std::string::npos != _body.find("\r\n");
		return _answer;
	}

	inline Answer withChunks(const Answer& _answer, const std::vector<std::string>& _pieces, const std::string& _extension, const std::string& _trailers)
	{
		std::string body;
		for (const std::string& piece : _pieces)
		{
			body += piece;
		}
		return withBody(_answer, BodyFraming::Chunks, body, chunksOf(_pieces, _extension, _trailers));
	}

	/// @param[in] _mark Text that tells the answers of two requests apart.
	/// @returns One answer of each kind.
	inline std::vector<Answer> answersOfAllKinds(const std::string& _mark)
	{
		const http::Header id{"X-Archdyke-Request-Id", _mark};
		const http::Header stamp{"X-Archdyke-Server-Stamp", "stamp-" + _mark};
		const http::Header chunked{"Transfer-Encoding", "chunked"};
		const http::Header events{"Content-Type", "text/event-stream"};
		const std::string plain = "{\"answer\":\"" + _mark + "\"}";
		const http::Header length{"Content-Length", std::to_string(plain.size())};
		const std::vector<std::string> pieces{"id: 1\ndata: " + _mark + "\n\n", "id: 2\ndata: " + _mark + " again\n\n", "id: 3\ndata: e\n\n"};
		const std::vector<std::string> crLfPieces{"id: 1\r\ndata: " + _mark + "\r\n\r\n", "id: 2\r\ndata: e\r\n\r\n"};
		const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </" + _mark + ">\r\n\r\n";
		std::vector<Answer> answers;
		answers.push_back(withBody(makeAnswer("length", "", 200, " OK", {id, stamp, length}), BodyFraming::Length, plain, plain));
		answers.push_back(withBody(makeAnswer("failure", "", 500, " Internal Server Error", {length, stamp, id}), BodyFraming::Length, plain, plain));
		answers.push_back(withBody(makeAnswer("no reason", "", 503, "", {{"X-Archdyke-Not-Executed", "1"}, id, {"Content-Length", "0"}}), BodyFraming::Length, "", ""));
		answers.push_back(withBody(makeAnswer("empty reason", "", 200, " ", {id, length}), BodyFraming::Length, plain, plain));
		answers.push_back(withChunks(makeAnswer("events in chunks", "", 200, " OK", {id, events, chunked}), pieces, "", ""));
		answers.push_back(withChunks(makeAnswer("CRLF events in chunks", "", 200, " OK", {id, events, chunked}), crLfPieces, "", ""));
		answers.push_back(withChunks(makeAnswer("extensions and trailers", "", 200, " OK", {id, chunked}), {plain, "abc", "de", plain}, ";name=" + _mark, "X-Check: " + _mark + "\r\nExpires: 0\r\n"));
		answers.push_back(withChunks(makeAnswer("empty in chunks", "", 500, " Internal Server Error", {chunked, id}), {}, "", ""));
		answers.push_back(withBody(makeAnswer("interim", interim, 200, " OK", {id, stamp, length}), BodyFraming::Length, plain, plain));
		answers.push_back(makeAnswer("no content", "", 204, " No Content", {id, stamp}));
		answers.push_back(makeAnswer("not modified", "", 304, " Not Modified", {id, length}));
		answers.push_back(withBody(makeAnswer("until close", "", 200, " OK", {id, stamp}), BodyFraming::UntilClose, plain, plain));
		answers.push_back(withBody(makeAnswer("events until close", "", 200, " OK", {id, events}), BodyFraming::UntilClose, pieces[0] + pieces[1], pieces[0] + pieces[1]));
		return answers;
	}
} // namespace archdyke::tests
