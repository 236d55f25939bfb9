#include "http/http_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <functional>
#include <http_parser.h>
#include <memory>
#include <sys/socket.h>
#include <utility>

#include "archdyke/response_head.h"

namespace archdyke::http
{
	namespace
	{
		/// Size of the read buffer, bytes.
		constexpr std::size_t kReadBufferBytes = 16'384;
		/// Parsed bytes that may wait for the reader before reading from the connection pauses. Large enough for
		/// several events of a stream; bounds the memory that one slow reader can use.
		constexpr std::size_t kMaxBufferedBytes = 262'144;
		/// Bytes of a chunk that are held back until its end is seen. Larger chunks are handed on in pieces.
		constexpr std::size_t kMaxHeldChunkBytes = 65'536;
		/// Bytes after a chunk's data.
		constexpr std::string_view kChunkEnd = "\r\n";
		/// Number of recent exchanges whose tags a connection remembers.
		constexpr std::size_t kMaxCarriedTags = 16;

		/// What the system has received on a connection that wasn't read yet.
		enum class Waiting
		{
			Nothing,
			Bytes,
			End, ///< The connection was closed, or is broken.
		};

		Waiting peek(const kj::AsyncIoStream& _stream)
		{
			KJ_IF_MAYBE (descriptor, _stream.getFd())
			{
				char byte = 0;
				const ssize_t size = recv(*descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
				const bool nothing = 0 > size && (EAGAIN == errno || EWOULDBLOCK == errno);
				return nothing ? Waiting::Nothing : 0 < size ? Waiting::Bytes
				                                             : Waiting::End;
			}
			return Waiting::Nothing;
		}

		std::uint64_t nextNumber()
		{
			static std::atomic<std::uint64_t> last{0};
			return ++last;
		}
	} // namespace

	std::string_view toString(PartKind _kind)
	{
		switch (_kind)
		{
		case PartKind::Head:
			return "head";
		case PartKind::Body:
			return "body";
		case PartKind::End:
			return "end";
		case PartKind::Closed:
			return "closed";
		case PartKind::Reset:
			return "reset";
		case PartKind::Malformed:
			return "malformed";
		case PartKind::Unrequested:
			return "unrequested";
		case PartKind::JoinedHead:
			return "joined_head";
		case PartKind::HeadTooLarge:
			return "head_too_large";
		default:
			return "body_too_large";
		}
	}

	/// Parser state of one connection.
	struct HttpConnection::Parser
	{
		http_parser raw{};
		http_parser_settings callbacks{};
		HttpConnection& owner;
		MessageLimits limits;
		Side side;

		std::string target;
		Headers headers;
		std::size_t headBytes = 0;
		std::size_t bodyBytes = 0;
		bool valueSeen = true;
		bool inMessage = false;
		bool interim = false;
		PartKind failure = PartKind::Malformed;
		std::string headText;          ///< Client: bytes of a head that isn't complete.
		std::string heldChunk;         ///< Client: data of a chunk whose end wasn't seen.
		std::size_t idleBytes = 0;     ///< Client: bytes of the current body since its last data.
		std::size_t chunkEndLeft = 0;  ///< Client: bytes of kChunkEnd that must come next.
		const char* readEnd = nullptr; ///< End of the bytes that are being parsed.

		Parser(HttpConnection& _owner, Side _side, MessageLimits _limits)
		    : owner(_owner)
		    , limits(_limits)
		    , side(_side)
		{
			http_parser_init(&this->raw, Side::Server == _side ? HTTP_REQUEST : HTTP_RESPONSE);
			this->raw.data = this;
			http_parser_settings_init(&this->callbacks);
			this->callbacks.on_message_begin = [](http_parser* _raw) {
				return of(_raw).begin();
			};
			this->callbacks.on_url = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).appendHeadData(of(_raw).target, _at, _size);
			};
			this->callbacks.on_header_field = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).headerNameData(_at, _size);
			};
			this->callbacks.on_header_value = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).headerValueData(_at, _size);
			};
			this->callbacks.on_headers_complete = [](http_parser* _raw) {
				return of(_raw).headersComplete();
			};
			this->callbacks.on_body = [](http_parser* _raw, const char* _at, std::size_t _size) {
				return of(_raw).bodyData(_at, _size);
			};
			this->callbacks.on_chunk_complete = [](http_parser* _raw) {
				return of(_raw).chunkComplete();
			};
			this->callbacks.on_message_complete = [](http_parser* _raw) {
				return of(_raw).end();
			};
		}

		static Parser& of(http_parser* _raw)
		{
			return *static_cast<Parser*>(_raw->data);
		}

		int begin()
		{
			this->target.clear();
			this->headers = {};
			this->headBytes = 0;
			this->bodyBytes = 0;
			this->valueSeen = true;
			this->inMessage = true;
			return 0;
		}

		int appendHeadData(std::string& _text, const char* _at, std::size_t _size)
		{
			_text.append(_at, _size);
			this->headBytes += _size;
			if (this->headBytes > this->limits.headerBytes)
			{
				this->failure = PartKind::HeadTooLarge;
				return 1;
			}
			return 0;
		}

		int headerNameData(const char* _at, std::size_t _size)
		{
			if (this->valueSeen)
			{
				this->headers.lines.emplace_back();
				this->valueSeen = false;
			}
			return this->appendHeadData(this->headers.lines.back().name, _at, _size);
		}

		int headerValueData(const char* _at, std::size_t _size)
		{
			this->valueSeen = true;
			return this->appendHeadData(this->headers.lines.back().value, _at, _size);
		}

		/// @returns 1 when no body follows, as the parser library requires.
		int headersComplete()
		{
			this->interim = Side::Client == this->side && 200 > this->raw.status_code;
			if (this->interim)
			{
				return 1;
			}
			Part part;
			part.kind = PartKind::Head;
			const bool keepAlive = 0 != http_should_keep_alive(&this->raw);
			if (Side::Server == this->side)
			{
				part.request = {http_method_str(http_method(this->raw.method)), this->target, this->headers, keepAlive};
			}
			else
			{
				part.response = {int(this->raw.status_code), this->headers, keepAlive};
			}
			this->owner.take(std::move(part));
			return 0;
		}

		int bodyData(const char* _at, std::size_t _size)
		{
			this->bodyBytes += _size;
			if (this->bodyBytes > this->limits.bodyBytes)
			{
				this->failure = PartKind::BodyTooLarge;
				return 1;
			}
			this->idleBytes = 0;
			if (Side::Client == this->side && 0 != (this->raw.flags & F_CHUNKED))
			{
				return this->holdChunk(_at, _size);
			}
			this->takeBody({_at, _size});
			return 0;
		}

		void takeBody(std::string _data)
		{
			Part part;
			part.kind = PartKind::Body;
			part.body = std::move(_data);
			this->owner.take(std::move(part));
		}

		/// Holds data of a chunk back until its end is seen: bytes that don't belong to the response shift it.
		int holdChunk(const char* _at, std::size_t _size)
		{
			this->heldChunk.append(_at, _size);
			if (0 == this->raw.content_length)
			{
				this->chunkEndLeft = kChunkEnd.size();
				return this->checkChunkEnd({_at + _size, std::size_t(this->readEnd - _at) - _size}) ? 0 : 1;
			}
			if (this->heldChunk.size() > kMaxHeldChunkBytes)
			{
				this->takeBody(std::exchange(this->heldChunk, ""));
			}
			return 0;
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

		int chunkComplete()
		{
			if (!this->heldChunk.empty())
			{
				this->takeBody(std::exchange(this->heldChunk, ""));
			}
			return 0;
		}

		int end()
		{
			this->inMessage = false;
			if (!this->interim)
			{
				Part part;
				part.kind = PartKind::End;
				this->owner.take(std::move(part));
			}
			if (Side::Client == this->side)
			{
				http_parser_pause(&this->raw, 1); // the next head is checked before it is parsed
			}
			return 0;
		}

		/// @returns false when the bytes are malformed or exceed a limit.
		bool feed(std::string_view _bytes)
		{
			this->failure = PartKind::Malformed;
			return Side::Server == this->side ? _bytes.size() == this->execute(_bytes) : this->feedResponses(_bytes);
		}

		/// @returns Number of bytes parsed; after a response fewer than were given. None when they are malformed.
		std::optional<std::size_t> execute(std::string_view _bytes)
		{
			this->readEnd = _bytes.data() + _bytes.size();
			const std::size_t parsed = http_parser_execute(&this->raw, &this->callbacks, _bytes.data(), _bytes.size());
			const bool paused = HPE_PAUSED == HTTP_PARSER_ERRNO(&this->raw);
			if (paused)
			{
				http_parser_pause(&this->raw, 0);
			}
			const bool valid = HPE_OK == HTTP_PARSER_ERRNO(&this->raw) && 0 == this->raw.upgrade;
			return valid ? std::optional(parsed) : std::nullopt;
		}

		bool feedResponses(std::string_view _bytes)
		{
			while (!_bytes.empty())
			{
				const std::optional<std::size_t> used = this->inMessage ? this->feedBody(_bytes) : this->feedHead(_bytes);
				if (!used)
				{
					return false;
				}
				_bytes.remove_prefix(*used);
			}
			return true;
		}

		/// Collects a head and parses it once it is complete.
		std::optional<std::size_t> feedHead(std::string_view _bytes)
		{
			const std::size_t before = this->headText.size();
			this->headText += _bytes;
			const std::size_t size = headSize(this->headText, before);
			if (!mayStartResponse(this->headText))
			{
				return std::nullopt;
			}
			if ((0 == size ? this->headText.size() : size) > this->limits.headerBytes)
			{
				this->failure = PartKind::HeadTooLarge;
				return std::nullopt;
			}
			if (0 == size)
			{
				return _bytes.size();
			}
			const std::string head = std::exchange(this->headText, "").substr(0, size);
			const HeadFault fault = checkResponseHead(head);
			if (HeadFault::None != fault)
			{
				this->failure = HeadFault::Joined == fault ? PartKind::JoinedHead : PartKind::Malformed;
				return std::nullopt;
			}
			http_parser_init(&this->raw, HTTP_RESPONSE);
			this->idleBytes = 0;
			return size == this->execute(head) ? std::optional(size - before) : std::nullopt;
		}

		std::optional<std::size_t> feedBody(std::string_view _bytes)
		{
			if (!this->checkChunkEnd(_bytes))
			{
				return std::nullopt;
			}
			this->idleBytes += _bytes.size();
			const std::optional<std::size_t> used = this->execute(_bytes);
			if (used && this->inMessage && this->idleBytes > kReadBufferBytes + this->limits.headerBytes)
			{
				this->failure = PartKind::HeadTooLarge; // a chunk's extensions, or trailers
				return std::nullopt;
			}
			return used;
		}

		/// @returns Whether the end of the connection completes a message, or lies between messages.
		bool feedEnd()
		{
			if (!this->headText.empty())
			{
				return false;
			}
			return this->execute({}) && !this->inMessage;
		}

		/// @returns Whether a message has been received in part.
		bool isWithinMessage() const
		{
			return this->inMessage || !this->headText.empty();
		}
	};

	HttpConnection::HttpConnection(kj::Own<kj::AsyncIoStream> _stream, Side _side, MessageLimits _limits)
	    : stream(kj::mv(_stream))
	    , parser(std::make_unique<Parser>(*this, _side, _limits))
	    , ownNumber(nextNumber())
	    , goneFork(nullptr)
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->goneFulfiller = kj::mv(paf.fulfiller);
		this->goneFork = paf.promise.fork();
		this->reading = this->readLoop().take().eagerlyEvaluate(nullptr);
	}

	HttpConnection::~HttpConnection() = default;

	aio::Task<void> HttpConnection::readLoop()
	{
		std::array<char, kReadBufferBytes> buffer;
		while (!this->gone)
		{
			if (this->bufferedBytes > kMaxBufferedBytes)
			{
				auto paf = kj::newPromiseAndFulfiller<void>();
				this->spaceWaiter = kj::mv(paf.fulfiller);
				co_await kj::mv(paf.promise);
			}
			std::size_t size = 0;
			bool broken = false;
			try
			{
				size = co_await this->stream->tryRead(buffer.data(), 1, buffer.size());
			}
			catch (const kj::Exception&)
			{
				broken = true; // reported to the reader as a reset
			}
			if (broken)
			{
				this->endWith(PartKind::Reset);
			}
			else if (0 == size)
			{
				// Completes a response that is delimited by the end of its connection.
				this->endWith(this->parser->feedEnd() ? PartKind::Closed : PartKind::Reset);
			}
			else if (const std::optional<PartKind> ending = this->parse({buffer.data(), size}))
			{
				this->endWith(*ending);
			}
		}
	}

	std::optional<PartKind> HttpConnection::parse(std::string_view _bytes)
	{
		if (!this->inExchange)
		{
			return PartKind::Unrequested;
		}
		return this->parser->feed(_bytes) ? std::nullopt : std::optional(this->parser->failure);
	}

	void HttpConnection::take(Part _part)
	{
		this->bufferedBytes += sizeof(Part) + _part.body.size();
		this->parts.push_back(std::move(_part));
		KJ_IF_MAYBE (waiter, this->partWaiter)
		{
			(*waiter)->fulfill();
			this->partWaiter = nullptr;
		}
	}

	void HttpConnection::endWith(PartKind _how)
	{
		this->gone = true;
		Part part;
		part.kind = _how;
		this->take(std::move(part));
		this->goneFulfiller->fulfill();
	}

	aio::Task<Part> HttpConnection::next()
	{
		while (this->parts.empty())
		{
			auto paf = kj::newPromiseAndFulfiller<void>();
			this->partWaiter = kj::mv(paf.fulfiller);
			co_await kj::mv(paf.promise);
		}
		const bool last = this->gone && 1 == this->parts.size();
		if (last)
		{
			co_return this->parts.front();
		}
		Part part = std::move(this->parts.front());
		this->parts.pop_front();
		this->bufferedBytes -= sizeof(Part) + part.body.size();
		KJ_IF_MAYBE (waiter, this->spaceWaiter)
		{
			if (this->bufferedBytes <= kMaxBufferedBytes)
			{
				(*waiter)->fulfill();
				this->spaceWaiter = nullptr;
			}
		}
		co_return part;
	}

	kj::Promise<void> HttpConnection::whenDisconnected()
	{
		return this->goneFork.addBranch();
	}

	aio::Task<void> HttpConnection::write(std::string _bytes)
	{
		co_await this->stream->write(_bytes.data(), _bytes.size());
	}

	bool HttpConnection::hasUnread() const
	{
		return !this->parts.empty();
	}

	bool HttpConnection::isDisconnected() const
	{
		return this->gone;
	}

	bool HttpConnection::isLost() const
	{
		return this->gone && (PartKind::Closed == this->parts.back().kind || PartKind::Reset == this->parts.back().kind);
	}

	bool HttpConnection::isMidMessage() const
	{
		return this->parser->isWithinMessage();
	}

	void HttpConnection::beginExchange(std::string_view _tag)
	{
		this->inExchange = true;
		if (!_tag.empty())
		{
			this->carried.push_back(std::hash<std::string_view>()(_tag));
		}
		if (this->carried.size() > kMaxCarriedTags)
		{
			this->carried.pop_front();
		}
	}

	void HttpConnection::endExchange()
	{
		this->inExchange = false;
	}

	bool HttpConnection::hasCarried(std::string_view _tag) const
	{
		return !_tag.empty() && this->carried.end() != std::find(this->carried.begin(), this->carried.end(), std::hash<std::string_view>()(_tag));
	}

	bool HttpConnection::isQuiet() const
	{
		return !this->gone && this->parts.empty() && !this->parser->isWithinMessage() && Waiting::Nothing == peek(*this->stream);
	}

	bool HttpConnection::hasStrayBytes() const
	{
		const bool closed = !this->parts.empty() && (PartKind::Closed == this->parts.front().kind || PartKind::Reset == this->parts.front().kind);
		return this->parser->isWithinMessage() || (!this->parts.empty() && !closed) || (!this->gone && Waiting::Bytes == peek(*this->stream));
	}

	std::optional<PartKind> HttpConnection::unreadKind() const
	{
		return this->parts.empty() ? std::nullopt : std::optional(this->parts.front().kind);
	}

	std::uint64_t HttpConnection::number() const
	{
		return this->ownNumber;
	}

	void HttpConnection::setLimits(MessageLimits _limits)
	{
		this->parser->limits = _limits;
	}
} // namespace archdyke::http
