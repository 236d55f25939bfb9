#include "http/http_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <functional>
#include <memory>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace archdyke::http
{
	namespace
	{
		/// Size of the read buffer, bytes.
		constexpr std::size_t kReadBufferBytes = 16'384;
		/// Parsed bytes that may wait for the reader before reading from the connection pauses. Large enough for
		/// several events of a stream; bounds the memory that one slow reader can use.
		constexpr std::size_t kMaxBufferedBytes = 262'144;
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

	HttpConnection::HttpConnection(kj::Own<kj::AsyncIoStream> _stream, Side _side, MessageLimits _limits)
	    : stream(kj::mv(_stream))
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
				this->endWith(this->parser.feedEnd() ? PartKind::Closed : PartKind::Reset);
			}
			else if (const std::optional<PartKind> ending = this->parse({buffer.data(), size}))
			{
				this->endWith(*ending);
			}
		}
	}

	std::optional<PartKind> HttpConnection::parse(std::string_view _bytes)
	{
		return this->inExchange ? this->parser.feed(_bytes) : std::optional(PartKind::Unrequested);
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
			this->bufferedBytes += sizeof(Part) + _part.body.size();
			this->parts.push_back(std::move(_part));
		}
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
		return this->parser.isWithinMessage();
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
		return !this->gone && this->parts.empty() && !this->parser.isWithinMessage() && Waiting::Nothing == peek(*this->stream);
	}

	std::size_t HttpConnection::countBytesBehind() const
	{
		int waiting = 0;
		KJ_IF_MAYBE (descriptor, this->stream->getFd())
		{
			const bool known = 0 == ioctl(*descriptor, FIONREAD, &waiting); // fails once the connection has ended
			waiting = known ? waiting : 0;
		}
		return this->parser.countBytesBehind() + std::size_t(waiting);
	}

	bool HttpConnection::hasStrayBytes() const
	{
		const bool closed = !this->parts.empty() && (PartKind::Closed == this->parts.front().kind || PartKind::Reset == this->parts.front().kind);
		return this->parser.isWithinMessage() || (!this->parts.empty() && !closed) || (!this->gone && Waiting::Bytes == peek(*this->stream));
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
		this->parser.setLimits(_limits);
	}
} // namespace archdyke::http
