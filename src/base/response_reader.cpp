#include "base/response_reader.h"

#include <algorithm>
#include <cctype>
#include <http_parser.h>
#include <utility>

#include "archdyke/response_head.h"

namespace archdyke
{
	namespace
	{
		/// Bytes of a chunk that are held back until its end is seen. Larger chunks are passed on in pieces.
		constexpr std::size_t kMaxHeldChunkBytes = 65'536;
		/// Bytes after a chunk's data.
		constexpr std::string_view kChunkEnd = "\r\n";
		/// Length of a status line up to its status, as far as it tells another response from text.
		constexpr std::size_t kStatusLineBytes = std::string_view("HTTP/1.1 200 ").size();
		constexpr unsigned kFirstFinalStatus = 200;

		bool equalNames(std::string_view _a, std::string_view _b)
		{
			return std::equal(_a.begin(), _a.end(), _b.begin(), _b.end(), [](char _x, char _y) {
				return std::tolower(static_cast<unsigned char>(_x)) == std::tolower(static_cast<unsigned char>(_y));
			});
		}
	} // namespace

	std::string_view toString(ResponseState _state)
	{
		switch (_state)
		{
		case ResponseState::Incomplete:
			return "incomplete";
		case ResponseState::Complete:
			return "complete";
		case ResponseState::Cancelled:
			return "cancelled";
		case ResponseState::Malformed:
			return "malformed";
		case ResponseState::Joined:
			return "joined";
		case ResponseState::HeadTooLarge:
			return "head_too_large";
		case ResponseState::BodyTooLarge:
			return "body_too_large";
		default:
			return "closed";
		}
	}

	std::string_view HttpResponseHead::find(std::string_view _name) const
	{
		const auto it = std::find_if(this->headers.begin(), this->headers.end(), [&](const HttpHeader& _header) {
			return equalNames(_name, _header.name);
		});
		return this->headers.end() == it ? std::string_view() : it->value;
	}

	struct ResponseReader::Parser
	{
		Parser(ResponseLimits _limits, ResponseBody _body, ResponseReceiver _receiver)
		    : limits(_limits)
		    , body(_body)
		    , receiver(std::move(_receiver))
		{
			http_parser_settings_init(&this->callbacks);
			this->callbacks.on_header_field = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).appendName({_at, _size});
			};
			this->callbacks.on_header_value = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).appendValue({_at, _size});
			};
			this->callbacks.on_headers_complete = [](http_parser* _raw) {
				return of(_raw).takeHead();
			};
			this->callbacks.on_body = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).takeBody({_at, _size});
			};
			this->callbacks.on_chunk_complete = [](http_parser* _raw) {
				return of(_raw).passOnHeld();
			};
			this->callbacks.on_message_complete = [](http_parser* _raw) {
				return of(_raw).takeEnd();
			};
		}

		static Parser& of(http_parser* _raw)
		{
			return *static_cast<Parser*>(_raw->data);
		}

		/// Ends the response.
		/// @returns 1, which makes the parser library stop.
		int end(ResponseState _state)
		{
			this->state = _state;
			return 1;
		}

		int appendName(std::string_view _text)
		{
			if (this->valueSeen)
			{
				this->head.headers.emplace_back();
				this->valueSeen = false;
			}
			this->head.headers.back().name += _text;
			return 0;
		}

		int appendValue(std::string_view _text)
		{
			this->valueSeen = true;
			if (!this->head.headers.empty())
			{
				this->head.headers.back().value += _text;
			}
			return 0;
		}

		/// @returns 1 when no body follows, as the parser library requires; more to make it stop.
		int takeHead()
		{
			constexpr int kNoBody = 1;
			constexpr int kStop = 3;
			this->interim = this->raw.status_code < kFirstFinalStatus;
			if (this->interim)
			{
				return kNoBody;
			}
			this->head.status = int(this->raw.status_code);
			this->headLines = this->head.headers.size();
			if (this->receiver.onHead(this->head))
			{
				return ResponseBody::Absent == this->body ? kNoBody : 0;
			}
			this->end(ResponseState::Cancelled);
			return kStop;
		}

		int takeBody(std::string_view _data)
		{
			this->unusedBytes = 0;
			this->bodyBytes += _data.size();
			if (this->bodyBytes > this->limits.bodyBytes)
			{
				return this->end(ResponseState::BodyTooLarge);
			}
			if (0 != (this->raw.flags & F_CHUNKED))
			{
				return this->holdChunk(_data);
			}
			if (0 == (this->raw.flags & F_CONTENTLENGTH) && this->followsStatusLine(_data))
			{
				return this->end(ResponseState::Joined);
			}
			return this->passOn(_data);
		}

		/// Checks a body that the end of its connection delimits.
		/// @returns Whether it contains the status line of another response.
		bool followsStatusLine(std::string_view _data)
		{
			this->bodyTail += _data;
			const bool contained = containsStatusLine(this->bodyTail);
			this->bodyTail.erase(0, this->bodyTail.size() - std::min(this->bodyTail.size(), kStatusLineBytes - 1));
			return contained;
		}

		/// Holds data of a chunk back until its end is seen: bytes that don't belong to the response shift it.
		int holdChunk(std::string_view _data)
		{
			this->heldChunk += _data;
			if (0 == this->raw.content_length)
			{
				this->chunkEndLeft = kChunkEnd.size();
				const char* after = _data.data() + _data.size();
				return this->checkChunkEnd({after, std::size_t(this->readEnd - after)}) ? 0 : this->end(ResponseState::Malformed);
			}
			return kMaxHeldChunkBytes < this->heldChunk.size() ? this->passOnHeld() : 0;
		}

		/// Checks what follows a chunk's data, as far as it was received. The parser library skips two bytes, whatever they are.
		bool checkChunkEnd(std::string_view _bytes)
		{
			for (std::size_t at = 0; at < _bytes.size() && 0 < this->chunkEndLeft; ++at)
			{
				if (kChunkEnd[kChunkEnd.size() - this->chunkEndLeft] != _bytes[at])
				{
					return false;
				}
				this->chunkEndLeft -= 1;
			}
			return true;
		}

		int passOnHeld()
		{
			const std::string data = std::exchange(this->heldChunk, "");
			return this->passOn(data);
		}

		int passOn(std::string_view _data)
		{
			return _data.empty() || this->receiver.onBody(_data) ? 0 : this->end(ResponseState::Cancelled);
		}

		/// Trailers come behind the lines of the head. The parser library takes names with blanks for valid.
		bool hasInvalidTrailer() const
		{
			return std::any_of(this->head.headers.begin() + std::ptrdiff_t(this->headLines), this->head.headers.end(), [](const HttpHeader& _line) {
				return HeadFault::None != checkHeaderLine(_line.name + ":" + _line.value);
			});
		}

		int takeEnd()
		{
			this->inMessage = false;
			if (!this->interim && this->hasInvalidTrailer())
			{
				return this->end(ResponseState::Malformed);
			}
			if (!this->interim)
			{
				this->state = ResponseState::Complete;
			}
			http_parser_pause(&this->raw, 1); // what follows is another head, or doesn't belong to the response
			return 0;
		}

		/// @returns Number of bytes parsed.
		std::size_t execute(std::string_view _bytes)
		{
			this->readEnd = _bytes.data() + _bytes.size();
			const std::size_t parsed = http_parser_execute(&this->raw, &this->callbacks, _bytes.data(), _bytes.size());
			const auto error = HTTP_PARSER_ERRNO(&this->raw);
			const bool valid = (HPE_OK == error || HPE_PAUSED == error) && 0 == this->raw.upgrade;
			if (!valid && (ResponseState::Incomplete == this->state || ResponseState::Complete == this->state))
			{
				this->state = ResponseState::Malformed;
			}
			return parsed;
		}

		/// Collects a head and parses it once it is complete.
		/// @returns Number of bytes that belong to it.
		std::size_t readHead(std::string_view _bytes)
		{
			const std::size_t before = this->headText.size();
			this->headText += _bytes;
			const std::size_t size = headSize(this->headText, before);
			if (!mayStartResponse(this->headText))
			{
				this->state = ResponseState::Malformed;
				return _bytes.size();
			}
			if (this->limits.headBytes < this->earlierHeadBytes + (0 == size ? this->headText.size() : size))
			{
				this->state = ResponseState::HeadTooLarge;
				return _bytes.size();
			}
			if (0 == size)
			{
				return _bytes.size();
			}
			this->earlierHeadBytes += size;
			const std::string text = std::exchange(this->headText, "").substr(0, size);
			const HeadFault fault = checkResponseHead(text);
			if (HeadFault::None != fault)
			{
				this->state = HeadFault::Joined == fault ? ResponseState::Joined : ResponseState::Malformed;
				return _bytes.size();
			}
			this->begin();
			if (size != this->execute(text) && ResponseState::Incomplete == this->state)
			{
				this->state = ResponseState::Malformed;
			}
			return size - before;
		}

		void begin()
		{
			http_parser_init(&this->raw, HTTP_RESPONSE);
			this->raw.data = this;
			this->head = {};
			this->valueSeen = true;
			this->inMessage = true;
		}

		/// @returns Number of bytes that belong to it.
		std::size_t readBody(std::string_view _bytes)
		{
			if (!this->checkChunkEnd(_bytes))
			{
				this->state = ResponseState::Malformed;
				return _bytes.size();
			}
			this->unusedBytes += _bytes.size();
			const std::size_t used = this->execute(_bytes);
			if (this->inMessage && kMaxHeldChunkBytes + this->limits.headBytes < this->unusedBytes && ResponseState::Incomplete == this->state)
			{
				this->state = ResponseState::HeadTooLarge;
			}
			return used;
		}

		http_parser raw{};
		http_parser_settings callbacks{};
		const ResponseLimits limits;
		const ResponseBody body;
		const ResponseReceiver receiver;
		ResponseState state = ResponseState::Incomplete;
		HttpResponseHead head;     ///< With the trailers, once they were read.
		std::size_t headLines = 0; ///< Header lines of the head itself.
		bool valueSeen = true;
		bool inMessage = false;
		bool interim = false;
		std::string headText;             ///< Bytes of a head that isn't complete.
		std::size_t earlierHeadBytes = 0; ///< Of heads that are complete.
		std::string heldChunk;            ///< Data of a chunk whose end wasn't seen.
		std::string bodyTail;             ///< Last bytes of a body without a length.
		std::size_t bodyBytes = 0;
		std::size_t unusedBytes = 0;   ///< Bytes of the body since its last data.
		std::size_t chunkEndLeft = 0;  ///< Bytes of kChunkEnd that must come next.
		const char* readEnd = nullptr; ///< End of the bytes that are being parsed.
	};

	ResponseReader::ResponseReader(ResponseLimits _limits, ResponseBody _body, ResponseReceiver _receiver)
	    : parser(std::make_unique<Parser>(_limits, _body, std::move(_receiver)))
	{
	}

	ResponseReader::~ResponseReader() = default;

	ResponseState ResponseReader::read(std::string_view _bytes)
	{
		while (!_bytes.empty() && ResponseState::Incomplete == this->parser->state)
		{
			_bytes.remove_prefix(this->parser->inMessage ? this->parser->readBody(_bytes) : this->parser->readHead(_bytes));
		}
		return this->parser->state;
	}

	ResponseState ResponseReader::readEnd(const ConnectionEnd& _end)
	{
		if (ResponseState::Incomplete == this->parser->state)
		{
			if (this->parser->inMessage && isOrderly(_end))
			{
				this->parser->execute({});
			}
			const bool complete = ResponseState::Complete == this->parser->state;
			this->parser->state = complete ? ResponseState::Complete : ResponseState::Closed;
		}
		return this->parser->state;
	}
} // namespace archdyke
