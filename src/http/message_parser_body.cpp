/// The part of the parser that reads bodies.
#include <utility>

#include "http/message_parser.h"

namespace archdyke::http
{
	bool MessageParser::feedChunks(std::string_view& _bytes)
	{
		std::string data;
		const ChunkFault fault = readChunks(this->chunks, _bytes, this->limits.headerBytes, data);
		if (!data.empty() && !this->takeBody(std::move(data)))
		{
			return false;
		}
		switch (fault)
		{
		case ChunkFault::None:
			break;
		case ChunkFault::Joined:
			return this->fail(PartKind::JoinedHead);
		case ChunkFault::TooLarge:
			return this->fail(PartKind::HeadTooLarge);
		default:
			return false;
		}
		if (ChunkState::Done == this->chunks.state)
		{
			this->takeEnd();
		}
		return true;
	}

	bool MessageParser::takeBody(std::string _data)
	{
		this->bodyBytes += _data.size();
		if (this->bodyBytes > this->limits.bodyBytes)
		{
			return this->fail(PartKind::BodyTooLarge);
		}
		Part part;
		part.kind = PartKind::Body;
		part.body = std::move(_data);
		this->take(std::move(part));
		return true;
	}

	void MessageParser::takeEnd()
	{
		this->framing.reset();
		this->ended = true;
		this->bytesBehind = 0;
		Part part;
		part.kind = PartKind::End;
		this->take(std::move(part));
	}
} // namespace archdyke::http
