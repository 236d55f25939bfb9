/// A connection that gets the bytes of two answers, joined at every byte: what it returns of each.
#include <kj/async-io.h>

#include "answer_kinds.h"
#include "check.h"

using namespace archdyke;
using namespace archdyke::tests;
using http::Part;
using http::PartKind;

namespace
{
	/// Bytes after which the beginning of an answer is a status line: "HTTP/1.1 200 ".
	constexpr std::size_t kStatusLineBytes = 13;

	/// What a connection returned.
	struct Reading
	{
		std::vector<Part> parts;
		PartKind ending = PartKind::Closed;
	};

	/// An event loop and a connection that gets pieces of bytes one after the other.
	class Reader
	{
	public:
		Reading read(const std::vector<std::string>& _pieces)
		{
			kj::TwoWayPipe pipe = kj::newTwoWayPipe();
			http::HttpConnection connection(kj::mv(pipe.ends[0]), http::Side::Client, {});
			for (const std::string& piece : _pieces)
			{
				if (!piece.empty() && !connection.isDisconnected())
				{
					const kj::Promise<void> writing = pipe.ends[1]->write(piece.data(), piece.size()).eagerlyEvaluate([](kj::Exception&&) {});
					this->scope.poll();
				}
			}
			pipe.ends[1] = nullptr;
			this->scope.poll();
			Reading reading;
			while (true)
			{
				cr_assert(connection.hasUnread());
				Part part = connection.next().take().wait(this->scope);
				if (PartKind::Head != part.kind && PartKind::Body != part.kind && PartKind::End != part.kind)
				{
					reading.ending = part.kind;
					return reading;
				}
				reading.parts.push_back(std::move(part));
			}
		}

	private:
		kj::EventLoop loop;
		kj::WaitScope scope{this->loop};
	};

	std::vector<std::string> byteByByte(const std::string& _wire)
	{
		std::vector<std::string> pieces;
		for (const char byte : _wire)
		{
			pieces.emplace_back(1, byte);
		}
		return pieces;
	}

	/// @returns The ways in which bytes may arrive, with a split at the given positions.
	std::vector<std::vector<std::string>> deliveries(const std::string& _wire, std::size_t _first, std::size_t _second)
	{
		return {{_wire}, {_wire.substr(0, _first), _wire.substr(_first, _second - _first), _wire.substr(_second)}, byteByByte(_wire)};
	}

	bool isHeadOf(const Part& _part, const Answer& _answer)
	{
		return _part.response.status == _answer.head.status && _part.response.headers == _answer.head.headers;
	}

	std::string text(const Reading& _reading)
	{
		std::string words;
		for (const Part& part : _reading.parts)
		{
			words += PartKind::Head == part.kind ? fmt::format(" head {}", part.response.status) : PartKind::Body == part.kind ? " body \"" + part.body + "\""
			                                                                                                                   : std::string(" end");
		}
		return words + " " + std::string(toString(_reading.ending));
	}

	/// The body of one answer, as it was returned.
	struct OneReading
	{
		std::string body;
		bool complete = false;
	};

	/// @param[in,out] _at Position of an answer's head, then of what follows the answer.
	OneReading bodyFrom(const Reading& _reading, std::size_t& _at)
	{
		OneReading one;
		for (++_at; _at < _reading.parts.size() && PartKind::Body == _reading.parts[_at].kind; ++_at)
		{
			one.body += _reading.parts[_at].body;
		}
		if (_at < _reading.parts.size() && PartKind::End == _reading.parts[_at].kind)
		{
			one.complete = true;
			++_at;
		}
		return one;
	}

	/// @returns Why a body isn't one that may be returned for an answer; empty if it is.
	/// @param[in] _last Whether nothing else was returned after it.
	std::string findForeignBody(const Answer& _answer, const OneReading& _one, const Reading& _reading, bool _last)
	{
		const bool own = _one.complete ? _one.body == _answer.body : _answer.body.starts_with(_one.body);
		if (own || BodyFraming::UntilClose == _answer.framing)
		{
			return "";
		}
		// Bytes that came within a body leave as many behind its end.
		const bool shifted = _one.complete && _last && PartKind::Closed != _reading.ending;
		const bool unfinished = BodyFraming::Length == _answer.framing && !_one.complete;
		return unfinished || shifted ? "" : "foreign body of " + _answer.name;
	}

	/// @returns What was returned that is of two answers; empty if nothing is.
	std::string findMixed(const Reading& _reading, const std::vector<Answer>& _answers)
	{
		for (std::size_t at = 0; at < _reading.parts.size();)
		{
			const Answer* answer = nullptr;
			for (const Answer& candidate : _answers)
			{
				answer = PartKind::Head == _reading.parts[at].kind && isHeadOf(_reading.parts[at], candidate) ? &candidate : answer;
			}
			if (nullptr == answer)
			{
				return "foreign head";
			}
			const OneReading one = bodyFrom(_reading, at);
			const std::string foreign = findForeignBody(*answer, one, _reading, _reading.parts.size() == at);
			if (!foreign.empty())
			{
				return foreign;
			}
		}
		return "";
	}

	/// @returns Whether exactly these answers were returned, each of them whole.
	bool isWhole(const Reading& _reading, const std::vector<Answer>& _answers)
	{
		std::size_t at = 0;
		for (const Answer& answer : _answers)
		{
			if (at >= _reading.parts.size() || PartKind::Head != _reading.parts[at].kind || !isHeadOf(_reading.parts[at], answer))
			{
				return false;
			}
			const OneReading one = bodyFrom(_reading, at);
			if (!one.complete || one.body != answer.body)
			{
				return false;
			}
		}
		return _reading.parts.size() == at && PartKind::Closed == _reading.ending;
	}

	/// The beginning of an answer that is tried at each position of another one: within and behind its status line, at the ends
	/// of its lines, of its head and of the whole.
	std::vector<std::size_t> cutsOf(const Answer& _answer)
	{
		std::vector<std::size_t> cuts{kStatusLineBytes, _answer.headBytes, _answer.wire.size()};
		for (std::size_t end = _answer.wire.find("\r\n"); std::string::npos != end; end = _answer.wire.find("\r\n", end + 2))
		{
			cuts.push_back(end);
			cuts.push_back(end + 1);
			cuts.push_back(end + 2);
		}
		std::erase_if(cuts, [](std::size_t _cut) {
			return kStatusLineBytes > _cut;
		});
		return cuts;
	}

	/// Puts bytes of an answer at each position behind the first byte of another one.
	std::string findMixedByInsertion(Reader& _reader, const Answer& _old, const Answer& _next, std::size_t _cut, std::size_t _from)
	{
		for (std::size_t at = _from; at < _next.wire.size(); ++at)
		{
			const std::string wire = _next.wire.substr(0, at) + _old.wire.substr(0, _cut) + _next.wire.substr(at);
			for (const std::vector<std::string>& pieces : {std::vector<std::string>{wire}, std::vector<std::string>{wire.substr(0, at), wire.substr(at, _cut), wire.substr(at + _cut)}})
			{
				const Reading reading = _reader.read(pieces);
				const std::string mixed = findMixed(reading, {_old, _next});
				if (!mixed.empty())
				{
					return fmt::format("{} bytes of \"{}\" at {} of \"{}\", in {} reads: {}:{}", _cut, _old.name, at, _next.name, pieces.size(), mixed, text(reading));
				}
			}
		}
		return "";
	}
} // namespace

/// Sound answers of all kinds, in any pieces, alone and behind a whole one.
Test(joints, sound_answers_are_read_whole)
{
	Reader reader;
	for (const Answer& answer : answersOfAllKinds("nnn"))
	{
		for (std::size_t split = 0; split < answer.wire.size(); ++split)
		{
			const Reading reading = reader.read({answer.wire.substr(0, split), answer.wire.substr(split)});
			cr_assert(isWhole(reading, {answer}), "%s, split at %zu:%s", answer.name.c_str(), split, text(reading).c_str());
		}
		cr_assert(isWhole(reader.read(byteByByte(answer.wire)), {answer}), "%s, byte by byte", answer.name.c_str());
	}
}

/// A whole late answer is told from the one that follows it.
Test(joints, whole_answers_before_the_own_one_cost_it_nothing)
{
	Reader reader;
	for (const Answer& old : answersOfAllKinds("ooo"))
	{
		if (BodyFraming::UntilClose == old.framing)
		{
			continue;
		}
		for (const Answer& next : answersOfAllKinds("nnn"))
		{
			const std::string wire = old.wire + next.wire;
			for (const std::vector<std::string>& pieces : deliveries(wire, old.wire.size(), old.wire.size()))
			{
				const Reading reading = reader.read(pieces);
				cr_assert(isWhole(reading, {old, next}), "\"%s\", then \"%s\", in %zu reads:%s", old.name.c_str(), next.name.c_str(), pieces.size(), text(reading).c_str());
			}
		}
	}
}

/// Guards against an answer whose head or chunks are of two: one that was cut, and the next.
Test(joints, a_cut_answer_is_not_continued_by_the_next_one)
{
	Reader reader;
	for (const Answer& old : answersOfAllKinds("ooo"))
	{
		for (const Answer& next : answersOfAllKinds("nnn"))
		{
			for (std::size_t cut = 1; cut < old.wire.size(); ++cut)
			{
				for (const std::vector<std::string>& pieces : deliveries(old.wire.substr(0, cut) + next.wire, cut, cut))
				{
					const Reading reading = reader.read(pieces);
					const std::string mixed = findMixed(reading, {old, next});
					cr_assert(mixed.empty(), "%zu bytes of \"%s\", then \"%s\", in %zu reads: %s:%s", cut, old.name.c_str(), next.name.c_str(), pieces.size(), mixed.c_str(), text(reading).c_str());
				}
			}
		}
	}
}

/// Guards against a head that contains bytes of another answer.
Test(joints, bytes_of_another_answer_within_a_head_are_not_part_of_it)
{
	Reader reader;
	for (const Answer& old : answersOfAllKinds("ooo"))
	{
		for (const Answer& next : answersOfAllKinds("nnn"))
		{
			for (const std::size_t cut : cutsOf(old))
			{
				const std::string mixed = findMixedByInsertion(reader, old, next, cut, 1);
				cr_assert(mixed.empty(), "%s", mixed.c_str());
			}
		}
	}
}

/// Guards against chunks that contain bytes of another answer, even where it was cut within its status line.
Test(joints, bytes_of_another_answer_within_chunks_are_not_returned)
{
	Reader reader;
	const Answer old = answersOfAllKinds("ooo").front();
	for (const Answer& next : answersOfAllKinds("nnn"))
	{
		for (std::size_t cut = 1; cut <= old.wire.size() && BodyFraming::Chunks == next.framing; ++cut)
		{
			// A line end within a chunk's own data may end it, which can't be told for fewer bytes than a status line has.
			const bool told = kStatusLineBytes <= cut || !next.hasCrLf;
			const std::string mixed = told ? findMixedByInsertion(reader, old, next, cut, next.headBytes) : "";
			cr_assert(mixed.empty(), "%s", mixed.c_str());
		}
	}
}

/// Guards against a chunk that ends where a line of another answer's head does: its size was drawn so.
Test(joints, chunks_that_end_within_another_answer_are_not_returned)
{
	Reader reader;
	const Answer old = answersOfAllKinds("ooo").front();
	const std::vector<http::Header> lines{{"Transfer-Encoding", "chunked"}};
	for (std::size_t size = 1; size < 2 * old.wire.size(); ++size)
	{
		// "a" is a chunk's size as well, so that what follows may look like chunks.
		const Answer next = withChunks(makeAnswer("chunks of one size", "", 200, " OK", lines), {std::string(size, 'a'), "nnn"}, "", "");
		for (const std::size_t cut : cutsOf(old))
		{
			const std::string mixed = findMixedByInsertion(reader, old, next, cut, next.headBytes);
			cr_assert(mixed.empty(), "chunk of %zu bytes: %s", size, mixed.c_str());
		}
	}
}

/// Guards against chunks of one byte that take the memory of a part each while nobody reads them.
Test(joints, unread_chunks_are_collected)
{
	constexpr std::size_t kChunks = 700; // below what is buffered even as parts of their own
	Reader reader;
	const Answer answer = withChunks(makeAnswer("chunks of a byte", "", 200, " OK", {{"Transfer-Encoding", "chunked"}}), std::vector<std::string>(kChunks, "a"), "", "");
	const Reading reading = reader.read(byteByByte(answer.wire));
	cr_assert(isWhole(reading, {answer}));
	cr_assert(3 == reading.parts.size(), "%zu parts", reading.parts.size()); // head, body, end
}

/// Joints of answers, positions and splits at random.
Test(joints, answers_at_random_are_not_joined)
{
	checkProperty("no part is of two answers", [] {
		const auto token = rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ-_09"))));
		const auto visible = rc::gen::container<std::string>(rc::gen::elementOf(std::string("aZ09 :;=,/.{}\"HTP1")));
		const auto draw = [&](const std::string& _mark) {
			std::vector<http::Header> lines{{"X-Id", _mark}};
			for (int more = *rc::gen::inRange(0, 6); 0 < more; --more)
			{
				lines.push_back({"X-" + *token, "v" + *visible + "v"});
			}
			const std::string body = *visible + _mark;
			const bool chunked = *rc::gen::arbitrary<bool>();
			lines.insert(lines.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ptrdiff_t(lines.size())), chunked ? http::Header{"Transfer-Encoding", "chunked"} : http::Header{"Content-Length", std::to_string(body.size())});
			const Answer head = makeAnswer(_mark, "", *rc::gen::inRange(200, 204), *rc::gen::element<std::string>("", " ", " OK", " Some words"), lines);
			const std::size_t half = *rc::gen::inRange<std::size_t>(1, body.size());
			return chunked ? withChunks(head, {body.substr(0, half), body.substr(half)}, "", "") : withBody(head, BodyFraming::Length, body, body);
		};
		const Answer old = draw("ooo");
		const Answer next = draw("nnn");
		const std::size_t cut = *rc::gen::inRange<std::size_t>(kStatusLineBytes, old.wire.size() + 1);
		const std::size_t at = *rc::gen::inRange<std::size_t>(0, next.wire.size());
		const std::string wire = next.wire.substr(0, at) + old.wire.substr(0, cut) + next.wire.substr(at);
		const std::size_t first = *rc::gen::inRange<std::size_t>(0, wire.size());
		const std::size_t second = *rc::gen::inRange<std::size_t>(first, wire.size());
		Reader reader;
		for (const std::vector<std::string>& pieces : deliveries(wire, first, second))
		{
			const Reading reading = reader.read(pieces);
			RC_LOG(text(reading));
			RC_ASSERT(findMixed(reading, {old, next}) == "");
		}
		RC_ASSERT(isWhole(reader.read({next.wire.substr(0, at), next.wire.substr(at)}), {next}));
	});
}
