#include "http/message_parser.h"

#include <algorithm>
#include <utility>

#include "archdyke/response_head.h"

namespace archdyke::http
{
	namespace
	{
		constexpr int kFirstFinalStatus = 200;
		constexpr int kNoContent = 204;
		constexpr int kNotModified = 304;
		/// Bytes of a header line besides its name and value: a colon and the end of the line.
		constexpr std::size_t kMinLineBytes = 2;
		/// A string takes up to twice the bytes that it holds.
		constexpr std::size_t kMaxGrowth = 2;

		Part partOf(PartKind _kind)
		{
			Part part;
			part.kind = _kind;
			return part;
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

	MessageParser::MessageParser(Side _side, MessageLimits _limits, std::function<void(Part)> _take)
	    : side(_side)
	    , limits(_limits)
	    , take(std::move(_take))
	{
		http_parser_init(&this->raw, Side::Server == _side ? HTTP_REQUEST : HTTP_RESPONSE);
		this->raw.data = this;
		http_parser_settings_init(&this->callbacks);
		this->callbacks.on_message_begin = [](http_parser* _raw) {
			return of(_raw).begin();
		};
		this->callbacks.on_url = [](http_parser* _raw, const char* _at, std::size_t _size) {
			return of(_raw).headData(of(_raw).target, _at, _size);
		};
		this->callbacks.on_header_field = [](http_parser* _raw, const char* _at, std::size_t _size) {
			return of(_raw).headerName(_at, _size);
		};
		this->callbacks.on_header_value = [](http_parser* _raw, const char* _at, std::size_t _size) {
			return of(_raw).headerValue(_at, _size);
		};
		this->callbacks.on_headers_complete = [](http_parser* _raw) {
			return of(_raw).headersComplete();
		};
		this->callbacks.on_body = [](http_parser* _raw, const char* _at, std::size_t _size) {
			return of(_raw).requestBody(_at, _size);
		};
		this->callbacks.on_message_complete = [](http_parser* _raw) {
			return of(_raw).requestComplete();
		};
	}

	MessageParser& MessageParser::of(http_parser* _raw)
	{
		return *static_cast<MessageParser*>(_raw->data);
	}

	int MessageParser::begin()
	{
		this->target.clear();
		this->headers = {};
		this->headBytes = 0;
		this->bodyBytes = 0;
		this->valueSeen = true;
		this->inRequest = Side::Server == this->side;
		return 0;
	}

	int MessageParser::headData(std::string& _text, const char* _at, std::size_t _size)
	{
		_text.append(_at, _size);
		this->headBytes += _size;
		return this->headBytes <= this->limits.headerBytes || this->fail(PartKind::HeadTooLarge) ? 0 : 1;
	}

	int MessageParser::headerName(const char* _at, std::size_t _size)
	{
		if (this->valueSeen)
		{
			this->headers.lines.emplace_back();
			this->headBytes += kMinLineBytes;
			this->valueSeen = false;
		}
		return this->headData(this->headers.lines.back().name, _at, _size);
	}

	int MessageParser::headerValue(const char* _at, std::size_t _size)
	{
		this->valueSeen = true;
		return this->headData(this->headers.lines.back().value, _at, _size);
	}

	int MessageParser::headersComplete()
	{
		constexpr int kNoBody = 1; // for the library, as the next
		constexpr int kFailed = -1;
		if (Side::Client == this->side)
		{
			this->beginBody();
			return kNoBody;
		}
		const bool hasLength = 0 != (this->raw.flags & F_CONTENTLENGTH);
		if (hasLength && this->limits.bodyBytes < this->raw.content_length)
		{
			this->fail(PartKind::BodyTooLarge);
			return kFailed;
		}
		Part part = partOf(PartKind::Head);
		part.headBytes = this->memoryBytes();
		part.request = {http_method_str(http_method(this->raw.method)), std::move(this->target), std::move(this->headers), 0 != http_should_keep_alive(&this->raw)};
		this->target.clear();
		this->headers = {};
		this->headBytes = 0;
		this->take(std::move(part));
		return 0;
	}

	int MessageParser::requestBody(const char* _at, std::size_t _size)
	{
		this->bodyBytes += _size;
		if (this->limits.bodyBytes < this->bodyBytes)
		{
			this->fail(PartKind::BodyTooLarge);
			return 1;
		}
		this->requestData.append(_at, _size);
		return 0;
	}

	void MessageParser::flushRequestBody()
	{
		if (!this->requestData.empty())
		{
			Part part = partOf(PartKind::Body);
			part.body = std::exchange(this->requestData, {});
			this->take(std::move(part));
		}
	}

	int MessageParser::requestComplete()
	{
		if (Side::Server == this->side)
		{
			this->inRequest = false;
			this->flushRequestBody();
			this->takeEnd();
			this->paused = true;
			http_parser_pause(&this->raw, 1);
		}
		return 0;
	}

	bool MessageParser::execute(std::string_view& _bytes)
	{
		const std::size_t parsed = http_parser_execute(&this->raw, &this->callbacks, _bytes.data(), _bytes.size());
		const bool valid = this->paused || (_bytes.size() == parsed && HPE_OK == HTTP_PARSER_ERRNO(&this->raw));
		_bytes.remove_prefix(std::min(parsed, _bytes.size()));
		return valid && 0 == this->raw.upgrade;
	}

	bool MessageParser::isPaused() const
	{
		return this->paused;
	}

	void MessageParser::resume()
	{
		this->paused = false;
		http_parser_pause(&this->raw, 0);
	}

	std::size_t MessageParser::memoryBytes() const
	{
		return kMaxGrowth * (this->headBytes + this->headText.size()) + this->headers.lines.capacity() * sizeof(Header) + this->requestData.capacity();
	}

	void MessageParser::release()
	{
		this->target = {};
		this->headers = {};
		this->headText = {};
		this->requestData = {};
		this->headBytes = 0;
	}

	std::optional<PartKind> MessageParser::feed(std::string_view& _bytes)
	{
		this->failure = PartKind::Malformed;
		bool valid = true;
		if (Side::Server == this->side && !this->paused)
		{
			valid = this->execute(_bytes);
			if (valid)
			{
				this->flushRequestBody();
			}
		}
		bool counted = false;
		while (Side::Client == this->side && valid && !_bytes.empty())
		{
			this->bytesBehind += this->ended && !counted ? _bytes.size() : 0;
			counted = counted || this->ended;
			valid = this->framing ? this->feedResponseBody(_bytes) : this->feedResponseHead(_bytes);
		}
		return valid ? std::nullopt : std::optional(this->failure);
	}

	bool MessageParser::feedResponseHead(std::string_view& _bytes)
	{
		const std::size_t before = this->headText.size();
		std::string_view text = _bytes;
		if (0 < before)
		{
			this->headText += _bytes;
			text = this->headText;
		}
		const std::size_t size = headSize(text, before);
		if (!mayStartResponse(text))
		{
			return false;
		}
		if (this->interimBytes + (0 == size ? text.size() : size) > this->limits.headerBytes)
		{
			return this->fail(PartKind::HeadTooLarge);
		}
		if (0 == size)
		{
			if (0 == before)
			{
				this->headText = std::string(text);
			}
			_bytes = {};
			return true;
		}
		_bytes.remove_prefix(size - before);
		const bool parsed = this->parseResponseHead(text.substr(0, size));
		this->headText.clear();
		return parsed;
	}

	bool MessageParser::parseResponseHead(std::string_view _head)
	{
		const HeadFault fault = checkResponseHead(_head);
		if (HeadFault::None != fault)
		{
			return this->fail(HeadFault::Joined == fault ? PartKind::JoinedHead : PartKind::Malformed);
		}
		http_parser_init(&this->raw, HTTP_RESPONSE);
		this->interimBytes += _head.size();
		std::string_view head = _head;
		return this->execute(head) && head.empty();
	}

	void MessageParser::beginBody()
	{
		const int status = int(this->raw.status_code);
		if (kFirstFinalStatus > status)
		{
			return;
		}
		const bool bodiless = kNoContent == status || kNotModified == status;
		const bool hasLength = bodiless || (0 != (this->raw.flags & F_CONTENTLENGTH) && 0 == this->raw.uses_transfer_encoding);
		const bool chunked = 0 != (this->raw.flags & F_CHUNKED) && !bodiless;
		const BodyFraming unchunked = hasLength ? BodyFraming::Length : BodyFraming::UntilClose;
		this->framing = chunked ? BodyFraming::Chunks : unchunked;
		this->interimBytes = 0;
		this->ended = false;
		this->chunks = {};
		this->lengthLeft = bodiless || !hasLength ? 0 : this->raw.content_length;
		Part part = partOf(PartKind::Head);
		part.response = {status, std::move(this->headers), 0 != http_should_keep_alive(&this->raw), *this->framing};
		this->take(std::move(part));
		if (BodyFraming::Length == this->framing && 0 == this->lengthLeft)
		{
			this->takeEnd();
		}
	}

	bool MessageParser::feedResponseBody(std::string_view& _bytes)
	{
		if (BodyFraming::Chunks == this->framing)
		{
			return this->feedChunks(_bytes);
		}
		const bool untilClose = BodyFraming::UntilClose == this->framing;
		const std::size_t size = untilClose ? _bytes.size() : std::size_t(std::min<std::uint64_t>(this->lengthLeft, _bytes.size()));
		const bool taken = this->takeBody(std::string(_bytes.substr(0, size)));
		_bytes.remove_prefix(size);
		this->lengthLeft -= untilClose ? 0 : size;
		if (taken && !untilClose && 0 == this->lengthLeft)
		{
			this->takeEnd();
		}
		return taken;
	}

	bool MessageParser::fail(PartKind _how)
	{
		this->failure = _how;
		return false;
	}

	bool MessageParser::feedEnd(const ConnectionEnd& _end)
	{
		if (Side::Server == this->side)
		{
			std::string_view none;
			return this->paused || (this->execute(none) && !this->inRequest);
		}
		if (BodyFraming::UntilClose == this->framing && isOrderly(_end))
		{
			this->takeEnd();
		}
		return !this->isWithinMessage();
	}

	bool MessageParser::isWithinMessage() const
	{
		return this->inRequest || this->framing || 0 < this->interimBytes || !this->headText.empty();
	}

	std::size_t MessageParser::countBytesBehind() const
	{
		return this->ended ? this->bytesBehind : 0;
	}

	void MessageParser::setLimits(MessageLimits _limits)
	{
		this->limits = _limits;
	}
} // namespace archdyke::http
