#include "http/http_connection.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>
#include <vector>

#include "base/socket_buffers.h"

namespace archdyke::http
{
	namespace
	{
		/// Size of the read buffer, bytes: of a connection on which little comes, and of others.
		constexpr std::size_t kMinReadBufferBytes = 2'048;
		constexpr std::size_t kReadBufferBytes = 16'384;
		/// Bytes of one message that are read at once. Further ones are read in turn with those of other connections, behind all
		/// other work of the event loop.
		constexpr std::size_t kUnqueuedBytes = 65'536;
		/// Bytes of a body that are written at once; what was written is counted after each.
		constexpr std::size_t kWriteBytes = 65'536;
		/// Parsed bytes that may wait for the reader before reading from the connection pauses. Large enough for
		/// several events of a stream; bounds the memory that one slow reader can use.
		constexpr std::size_t kMaxBufferedBytes = 262'144;

		std::uint64_t nextNumber()
		{
			static std::atomic<std::uint64_t> last{0};
			return ++last;
		}
	} // namespace

	HttpConnection::HttpConnection(kj::Own<kj::AsyncIoStream> _stream, Side _side, MessageLimits _limits)
	    : stream(kj::mv(_stream))
	    , side(_side)
	    , parser(_side, _limits, [this](Part _part) {
		    this->take(std::move(_part));
	    })
	    , ownNumber(nextNumber())
	    , goneFork(nullptr)
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->goneFulfiller = kj::mv(paf.fulfiller);
		this->goneFork = paf.promise.fork();
		this->reading = this->readLoop().take().eagerlyEvaluate(nullptr);
	}

	HttpConnection::~HttpConnection() = default;

	bool HttpConnection::mustWait() const
	{
		return this->bufferedBytes > kMaxBufferedBytes || (this->parser.isPaused() && !this->behind.empty());
	}

	aio::Task<void> HttpConnection::awaitRoom()
	{
		while (this->mustWait())
		{
			auto paf = kj::newPromiseAndFulfiller<void>();
			this->roomWaiter = kj::mv(paf.fulfiller);
			co_await kj::mv(paf.promise);
		}
		if (this->messageBytes > kUnqueuedBytes && nullptr != this->charge.chargedTo())
		{
			co_await this->charge.chargedTo()->resources().turns().next();
		}
	}

	bool HttpConnection::isShortOfMemory() const
	{
		return nullptr != this->charge.chargedTo() && this->charge.chargedTo()->mustWait();
	}

	aio::Task<void> HttpConnection::awaitMemory()
	{
		while (this->isShortOfMemory())
		{
			co_await this->charge.chargedTo()->whenRoom();
		}
	}

	aio::Task<void> HttpConnection::readLoop()
	{
		std::vector<char> buffer;
		this->readCapacity = kMinReadBufferBytes;
		while (!this->gone)
		{
			if (this->mustWait() || this->messageBytes > kUnqueuedBytes)
			{
				co_await this->awaitRoom();
			}
			if (!this->behind.empty())
			{
				if (this->isShortOfMemory())
				{
					co_await this->awaitMemory();
				}
				const std::string bytes = std::exchange(this->behind, {});
				if (const std::optional<PartKind> ending = this->parse(bytes))
				{
					this->endWith(*ending);
				}
				continue;
			}
			if (this->readCapacity != buffer.size())
			{
				buffer = std::vector<char>(this->readCapacity);
			}
			std::size_t size = 0;
			bool broken = false;
			try
			{
				size = co_await this->stream->tryRead(buffer.data(), 1, buffer.size());
				this->readBytes += size;
			}
			catch (const kj::Exception&)
			{
				broken = true; // reported to the reader as a reset
			}
			if (this->isShortOfMemory())
			{
				co_await this->awaitMemory(); // what is parsed may take many times the bytes that were read
			}
			if (broken)
			{
				this->endWith(PartKind::Reset);
			}
			else if (0 == size)
			{
				// Completes a response that is delimited by the end of its connection.
				this->endWith(this->parser.feedEnd(this->connectionEnd()) ? PartKind::Closed : PartKind::Reset);
			}
			else if (const std::optional<PartKind> ending = this->parse({buffer.data(), size}))
			{
				this->endWith(*ending);
			}
			const bool full = size == buffer.size();
			this->readCapacity = !this->parser.isWithinMessage() ? kMinReadBufferBytes : full ? kReadBufferBytes
			                                                                                  : this->readCapacity;
		}
	}

	std::optional<PartKind> HttpConnection::parse(std::string_view _bytes)
	{
		if (!this->inExchange)
		{
			return PartKind::Unrequested;
		}
		this->messageBytes += Side::Server == this->side ? _bytes.size() : 0;
		this->recordMoved(_bytes.size());
		std::string_view rest = _bytes;
		const std::optional<PartKind> ending = this->parser.feed(rest);
		if (!ending && this->parser.isPaused())
		{
			this->behind = std::string(rest);
		}
		this->updateCharge();
		return ending;
	}

	void HttpConnection::updateCharge()
	{
		if (nullptr != this->charge.chargedTo() && Side::Server == this->side)
		{
			this->charge.chargedTo()->setBehind(!this->behind.empty());
		}
		const std::size_t buffer = this->readCapacity > kMinReadBufferBytes ? this->readCapacity : 0;
		this->charge.set(this->bufferedBytes + this->behind.capacity() + this->parser.memoryBytes() + buffer);
	}

	void HttpConnection::take(Part _part)
	{
		if (PartKind::Body == _part.kind && !this->parts.empty() && PartKind::Body == this->parts.back().kind)
		{
			this->bufferedBytes += _part.body.size();
			this->parts.back().body += _part.body; // a Part takes many times the memory of a small chunk
		}
		else
		{
			this->bufferedBytes += sizeof(Part) + _part.headBytes + _part.body.size();
			this->parts.push_back(std::move(_part));
		}
		KJ_IF_MAYBE (waiter, this->partWaiter)
		{
			(*waiter)->fulfill();
			this->partWaiter = nullptr;
		}
	}

	aio::Task<Part> HttpConnection::next()
	{
		if (this->parts.empty() && this->parser.isPaused())
		{
			this->parser.resume();
			this->messageBytes = 0;
			this->wakeReader();
		}
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
		this->bufferedBytes -= sizeof(Part) + part.headBytes + part.body.size();
		this->updateCharge();
		this->wakeReader();
		co_return part;
	}

	void HttpConnection::wakeReader()
	{
		KJ_IF_MAYBE (waiter, this->roomWaiter)
		{
			if (!this->mustWait())
			{
				(*waiter)->fulfill();
				this->roomWaiter = nullptr;
			}
		}
	}

	aio::Task<void> HttpConnection::write(std::string _bytes)
	{
		this->unfinishedWrites += 1;
		co_await this->stream->write(_bytes.data(), _bytes.size());
		this->recordWritten(_bytes.size());
		this->unfinishedWrites -= 1;
	}

	aio::Task<void> HttpConnection::write(std::string _head, std::string_view _body)
	{
		std::string start = std::move(_head);
		const std::size_t first = std::min(_body.size(), kWriteBytes);
		start += _body.substr(0, first);
		this->unfinishedWrites += 1;
		co_await this->write(std::move(start));
		for (std::size_t at = first; at < _body.size(); at += kWriteBytes)
		{
			const std::string_view piece = _body.substr(at, kWriteBytes);
			co_await this->stream->write(piece.data(), piece.size());
			this->recordWritten(piece.size());
		}
		this->unfinishedWrites -= 1;
	}

	void HttpConnection::chargeTo(std::shared_ptr<ResourceHolder> _holder)
	{
		this->charge.moveTo(std::move(_holder));
	}

	const std::shared_ptr<ResourceHolder>& HttpConnection::chargedTo() const
	{
		return this->charge.chargedTo();
	}

	void HttpConnection::recordMoved(std::size_t _bytes)
	{
		if (nullptr != this->charge.chargedTo())
		{
			this->charge.chargedTo()->recordMoved(_bytes);
		}
	}

	void HttpConnection::recordWritten(std::size_t _bytes)
	{
		this->writtenBytes += _bytes;
		this->recordMoved(_bytes);
	}

	void HttpConnection::setHeldFor(HeldFor _what)
	{
		if (nullptr != this->charge.chargedTo())
		{
			this->charge.chargedTo()->setHeldFor(_what);
		}
	}

	kj::Promise<void> HttpConnection::whenLosingMemory() const
	{
		return nullptr == this->charge.chargedTo() ? kj::Promise<void>(kj::NEVER_DONE) : this->charge.chargedTo()->whenClosing();
	}

	void HttpConnection::limitBuffers(std::unique_ptr<BufferGrant> _grant)
	{
		this->buffers = std::move(_grant);
		KJ_IF_MAYBE (descriptor, this->stream->getFd())
		{
			limitSocketBuffers(*descriptor, this->buffers->bufferBytes);
		}
	}

	bool HttpConnection::hasBehind() const
	{
		return !this->behind.empty();
	}

	bool HttpConnection::hasUnread() const
	{
		return !this->parts.empty();
	}

	std::uint64_t HttpConnection::countWritten() const
	{
		return this->writtenBytes;
	}

	bool HttpConnection::isMidMessage() const
	{
		return this->parser.isWithinMessage();
	}

	std::uint64_t HttpConnection::number() const
	{
		return this->ownNumber;
	}

	void HttpConnection::setLimits(MessageLimits _limits)
	{
		this->parser.setLimits(_limits);
	}
} // namespace archdyke::http
