/// The reader of a connection's response: pieces of any size, cuts and joints at any byte.
#include "base/response_reader.h"
#include "check.h"

using namespace archdyke;

namespace
{
	struct Reading
	{
		ResponseState state = ResponseState::Incomplete;
		int status = 0;
		std::string body;

		bool operator==(const Reading&) const = default;
	};

	/// Reads bytes in pieces, and then their end.
	Reading readAll(std::string_view _bytes, std::size_t _pieceBytes)
	{
		Reading reading;
		ResponseReader reader({16'384, 65'536}, ResponseBody::Announced, {[&](const HttpResponseHead& _head) {
			reading.status = _head.status;
			return true;
		                                                                  },
		                                                                  [&](std::string_view _data) {
			reading.body += _data;
			return true;
		}});
		while (!_bytes.empty())
		{
			const std::string piece(_bytes.substr(0, _pieceBytes)); // exactly sized, so that a read beyond it is found
			reader.read(piece);
			_bytes.remove_prefix(piece.size());
		}
		reading.state = reader.readEnd({FinState::Received, true});
		return reading;
	}

	/// A response and what its reader must get.
	struct Sample
	{
		std::string bytes;
		Reading reading;
		bool endsItself = true; ///< Not with its connection.
	};

	std::vector<Sample> samples()
	{
		return {
		    {"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\nbody", {ResponseState::Complete, 200, "body"}},
		    {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", {ResponseState::Complete, 500, ""}},
		    {"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n", {ResponseState::Complete, 204, ""}},
		    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {ResponseState::Complete, 200, "ok"}},
		    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n1\r\n!\r\n0\r\nT: x\r\n\r\n", {ResponseState::Complete, 200, "body!"}},
		    {"HTTP/1.0 200 OK\r\nContent-Type: a/b\r\n\r\nbody", {ResponseState::Complete, 200, "body"}, false},
		};
	}
} // namespace

Test(responsereader, a_response_is_the_same_in_pieces_of_any_size)
{
	for (const Sample& sample : samples())
	{
		for (std::size_t size = 1; size <= sample.bytes.size(); ++size)
		{
			cr_assert(sample.reading == readAll(sample.bytes, size), "%zu bytes a piece of %s", size, sample.bytes.c_str());
		}
	}
}

Test(responsereader, a_cut_response_is_never_complete)
{
	for (const Sample& sample : samples())
	{
		const std::size_t last = sample.endsItself ? sample.bytes.size() : sample.bytes.find("\r\n\r\n") + 4;
		for (std::size_t cut = 0; cut < last; ++cut)
		{
			cr_assert(ResponseState::Complete != readAll(sample.bytes.substr(0, cut), 7).state, "cut at %zu of %s", cut, sample.bytes.c_str());
		}
	}
}

Test(responsereader, bytes_behind_a_response_are_no_part_of_it)
{
	for (const Sample& sample : samples())
	{
		for (const Sample& next : samples())
		{
			for (std::size_t cut = 0; sample.endsItself && cut <= next.bytes.size(); ++cut)
			{
				const std::string bytes = sample.bytes + next.bytes.substr(0, cut);
				cr_assert(sample.reading == readAll(bytes, bytes.size()) && sample.reading == readAll(bytes, 5));
			}
		}
	}
}

// The first bytes of one response, then another: it is the first one's status with the second one's body, if it is taken.
Test(responsereader, a_head_that_is_joined_of_two_is_never_complete)
{
	for (const Sample& first : samples())
	{
		for (const Sample& second : samples())
		{
			const std::size_t head = first.bytes.find("\r\n\r\n") + 4;
			for (std::size_t cut = 1; cut < head; ++cut)
			{
				const std::string bytes = first.bytes.substr(0, cut) + second.bytes;
				cr_assert(ResponseState::Complete != readAll(bytes, 11).state, "cut at %zu: %s", cut, bytes.c_str());
			}
		}
	}
}

Test(responsereader, any_bytes_in_any_pieces_have_one_meaning)
{
	tests::checkProperty("reader of any bytes", [] {
		const std::string part = *rc::gen::element<std::string>("", "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "\r\n");
		std::string bytes = "HTTP/1.1 200 OK\r\n" + part;
		for (const std::string& piece : *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("3\r\nabc\r\n", "0\r\n", "\r\n", "x", "A: b\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "HTTP/1.", "200 ", "\n", ":", "ffffffffffffffff\r\n")))
		{
			bytes += piece;
		}
		const std::size_t size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
		RC_ASSERT(readAll(bytes, size) == readAll(bytes, bytes.size()));
	});
}
