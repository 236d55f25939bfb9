/// How a connection ends.
#include <array>
#include <utility>

#include "base/socket_end.h"
#include "http/http_connection.h"
#include "http/socket_state.h"

namespace archdyke::http
{
	namespace
	{
		/// Bytes that are dropped at once when a connection is closed.
		constexpr std::size_t kDiscardBytes = 16'384;
	} // namespace

	ConnectionEnd HttpConnection::connectionEnd() const
	{
		FinState fin = FinState::Unknown;
		KJ_IF_MAYBE (descriptor, this->stream->getFd())
		{
			fin = finStateOf(*descriptor, this->readBytes);
		}
		return {fin, 0 == this->unfinishedWrites};
	}

	void HttpConnection::endWith(PartKind _how)
	{
		this->gone = true;
		Part part;
		part.kind = _how;
		this->take(std::move(part));
		this->goneFulfiller->fulfill();
	}

	kj::Promise<void> HttpConnection::whenDisconnected()
	{
		return this->goneFork.addBranch();
	}

	bool HttpConnection::isDisconnected() const
	{
		return this->gone;
	}

	bool HttpConnection::isLost() const
	{
		return this->gone && (PartKind::Closed == this->parts.back().kind || PartKind::Reset == this->parts.back().kind);
	}

	std::optional<PartKind> HttpConnection::ending() const
	{
		return this->gone ? std::optional(this->parts.back().kind) : std::nullopt;
	}

	bool HttpConnection::isHungUp() const
	{
		return http::isHungUp(*this->stream);
	}

	aio::Task<void> HttpConnection::discard(std::size_t _maxBytes)
	{
		static std::array<char, kDiscardBytes> buffer; // for all connections, since nobody looks at these bytes
		std::size_t discarded = 0;
		std::size_t size = 1;
		while (0 < size && discarded < _maxBytes)
		{
			if (nullptr != this->charge.chargedTo())
			{
				co_await this->charge.chargedTo()->resources().turns().next();
			}
			size = co_await this->stream->tryRead(buffer.data(), 1, buffer.size());
			discarded += size;
		}
	}

	aio::Task<void> HttpConnection::closeGracefully(kj::Timer& _timer, std::size_t _maxBytes, Millis _maxMs)
	{
		this->reading = nullptr;
		this->parts = {};
		this->behind = {};
		this->bufferedBytes = 0;
		this->readCapacity = 0;
		this->parser.release();
		this->updateCharge();
		try
		{
			this->stream->shutdownWrite();
			co_await this->discard(_maxBytes).take().exclusiveJoin(_timer.afterDelay(_maxMs * kj::MILLISECONDS));
		}
		catch (const kj::Exception&)
		{
			// The other side has closed already.
		}
	}
} // namespace archdyke::http
