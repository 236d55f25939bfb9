#include "http/http_connection.h"

#include <array>
#include <atomic>
#include <http_parser.h>
#include <memory>

namespace archdyke::http
{
	namespace
	{
		/// Size of the read buffer, bytes.
		constexpr std::size_t kReadBufferBytes = 16'384;
		/// Parsed bytes that may wait for the reader before reading from the connection pauses. Large enough for
		/// several events of a stream; bounds the memory that one slow reader can use.
		constexpr std::size_t kMaxBufferedBytes = 262'144;

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
			Part part;
			part.kind = PartKind::Body;
			part.body.assign(_at, _size);
			this->owner.take(std::move(part));
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
			return 0;
		}

		/// @returns false when the bytes are malformed or exceed a limit.
		bool feed(const char* _bytes, std::size_t _size)
		{
			this->failure = PartKind::Malformed;
			const std::size_t parsed = http_parser_execute(&this->raw, &this->callbacks, _bytes, _size);
			return HPE_OK == HTTP_PARSER_ERRNO(&this->raw) && parsed == _size && 0 == this->raw.upgrade;
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
				const bool whole = this->parser->feed(nullptr, 0) && !this->parser->inMessage;
				this->endWith(whole ? PartKind::Closed : PartKind::Reset);
			}
			else if (!this->parser->feed(buffer.data(), size))
			{
				this->endWith(this->parser->failure);
			}
		}
	}

	void HttpConnection::take(Part _part)
	{
		this->bufferedBytes += _part.body.size();
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
		this->bufferedBytes -= part.body.size();
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

	bool HttpConnection::isMidMessage() const
	{
		return this->parser->inMessage;
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
