/// Heads of responses that were joined of two at any byte, and chunked bodies in any pieces.
#include "archdyke/response_head.h"

#include <array>
#include <vector>

#include "archdyke/chunk_reader.h"
#include "check.h"

using namespace archdyke;

namespace
{
	constexpr std::size_t kMaxLineBytes = 64;

	const std::vector<std::string>& heads()
	{
		static const std::vector<std::string> all{
		    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n",
		    "HTTP/1.1 500\r\nContent-Length: 3\r\nX-Id: b\r\n\r\n",
		    "HTTP/1.1 204 \r\n\r\n",
		    "HTTP/1.0 503 Service Unavailable\r\nX-Empty:\r\nVia: HTTP/1.1 proxy, 1.1 200\r\n\r\n",
		    "HTTP/1.1 100 Continue\r\n\r\n",
		    "HTTP/1.1 200 OK\nX-Id: bare line ends\n\n",
		};
		return all;
	}

	struct ChunkReading
	{
		ChunkFault fault = ChunkFault::None;
		ChunkReader reader;
		std::string data;
		std::size_t usedBytes = 0;
	};

	ChunkReading readPieces(const std::string& _wire, std::size_t _pieceBytes)
	{
		ChunkReading reading;
		for (std::size_t at = 0; at < _wire.size() && ChunkFault::None == reading.fault && ChunkState::Done != reading.reader.state; at += _pieceBytes)
		{
			std::string_view piece = std::string_view(_wire).substr(at, _pieceBytes);
			const std::size_t size = piece.size();
			reading.fault = readChunks(reading.reader, piece, kMaxLineBytes, reading.data);
			reading.usedBytes += size - piece.size();
		}
		return reading;
	}
} // namespace

Test(head, sound_heads_are_accepted)
{
	for (const std::string& head : heads())
	{
		cr_assert(HeadFault::None == checkResponseHead(head), "%s", head.c_str());
		cr_assert(headSize(head + "more", 0) == head.size(), "%s", head.c_str());
	}
}

/// Guards against a head that has the status of one response and the lines of another.
Test(head, heads_joined_at_any_byte_are_refused)
{
	for (const std::string& old : heads())
	{
		for (const std::string& next : heads())
		{
			for (std::size_t cut = 1; cut < old.size(); ++cut)
			{
				const std::string joined = old.substr(0, cut) + next;
				const std::size_t size = headSize(joined, 0);
				cr_assert(0 < size && HeadFault::None != checkResponseHead(std::string_view(joined).substr(0, size)), "%zu bytes of\n%s\nthen\n%s", cut, old.c_str(), next.c_str());
			}
		}
	}
}

/// A head that stops at any byte is no head.
Test(head, the_end_of_a_head_is_found_in_any_pieces)
{
	for (const std::string& head : heads())
	{
		for (std::size_t cut = 0; cut < head.size(); ++cut)
		{
			const std::string start = head.substr(0, cut);
			cr_assert(0 == headSize(start, 0) && mayStartResponse(start), "%s", start.c_str());
			cr_assert(headSize(head, cut) == head.size(), "%zu known bytes of %s", cut, head.c_str());
		}
	}
}

Test(head, lines_that_no_server_writes_are_refused)
{
	for (const char* head : {"HTTP/1.1 200 OK\r\n folded: a\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", "HTTP/1.1 200 OK\r\nX : a\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n"})
	{
		cr_assert(HeadFault::NotAHead == checkResponseHead(head), "%s", head);
	}
}

Test(chunks, bodies_are_read_alike_in_any_pieces)
{
	tests::checkProperty("data of all chunks, and nothing behind them", [] {
		std::string wire;
		std::string body;
		for (const std::string& piece : *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::elementOf(std::string("a\r\n0HTTP/1. 2")))))
		{
			std::array<char, 32> size{};
			std::snprintf(size.data(), size.size(), *rc::gen::element("%zx\r\n", "%zX;a=b\r\n", "000%zx \r\n"), piece.size());
			wire += piece.empty() ? "" : size.data() + piece + "\r\n";
			body += piece;
		}
		wire += *rc::gen::element<std::string>("0\r\n\r\n", "00;a\r\nX: y\r\n\r\n");
		const std::string behind = *rc::gen::element<std::string>("", "HTTP/1.1 200 OK");
		const ChunkReading reading = readPieces(wire + behind, *rc::gen::inRange<std::size_t>(1, 40));
		RC_ASSERT(ChunkFault::None == reading.fault || std::string::npos != findStatusLine(body, 0));
		RC_ASSERT(ChunkFault::None != reading.fault || (reading.data == body && wire.size() == reading.usedBytes));
	});
}

/// Guards against a line between chunks, or trailers, that take memory without end.
Test(chunks, lines_without_end_are_refused)
{
	for (const std::string start : {"1;", "000", "0\r\nX: ", "0\r\nX: y\r\n"})
	{
		std::string wire = start;
		while (wire.size() < 2 * kMaxLineBytes)
		{
			wire += start.ends_with('\n') ? "X: y\r\n" : "0";
		}
		for (const std::size_t pieceBytes : {std::size_t(1), wire.size()})
		{
			const ChunkReading reading = readPieces(wire, pieceBytes);
			cr_assert(ChunkFault::None != reading.fault && ChunkState::Done != reading.reader.state, "%s", start.c_str());
			cr_assert(reading.reader.line.size() <= kMaxLineBytes, "%s", start.c_str());
		}
	}
}

Test(chunks, bytes_that_are_no_chunks_are_refused_at_once)
{
	for (const char* wire : {"H", "\r\n", ";a\r\n", "1\n", "1x", "1\r\naX", "1\r\na\rX", "1\rX\n", "0\r\nno colon\r\n", "0\r\nX: HTTP/1.1 200 OK\r\n", "1;HTTP/1.1 200 OK\r\n", "1234567890123456"})
	{
		for (const std::size_t pieceBytes : {1, 100})
		{
			const ChunkReading reading = readPieces(wire, pieceBytes);
			cr_assert(ChunkFault::None != reading.fault && reading.data.empty(), "%s", wire);
		}
	}
}

/// A chunk may quote a response: it is held back only where it may end within one.
Test(chunks, quoted_responses_are_returned)
{
	const ChunkReading event = readPieces("17\r\ndata: HTTP/1.1 200 OK\n\n\r\n", 100);
	cr_assert(ChunkFault::None == event.fault && "data: HTTP/1.1 200 OK\n\n" == event.data, "%s", event.data.c_str());
	const ChunkReading document = readPieces("11\r\nHTTP/1.1 200 OK\r\n\r\n2\r\nab\r\n0\r\n\r\n", 1);
	cr_assert(ChunkFault::None == document.fault && "HTTP/1.1 200 OK\r\nab" == document.data, "%s", document.data.c_str());
}
