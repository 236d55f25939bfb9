/// One HTTP/1.1 connection, for servers and clients: parses incoming messages and detects at once when the
/// other side disconnects, even while no data is expected from it.
///
/// On the side of the client each byte belongs to one exchange, or to none and then ends the connection: bytes that come
/// while no exchange is under way, a head that contains another one, and chunks that don't end where they say.
#pragma once

#include <deque>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "aio/task.h"
#include "http/message_parser.h"
#include "http/resource_budget.h"

namespace archdyke::http
{
	class HttpConnection
	{
	public:
		HttpConnection(kj::Own<kj::AsyncIoStream> _stream, Side _side, MessageLimits _limits);
		~HttpConnection();
		HttpConnection(const HttpConnection&) = delete;
		HttpConnection& operator=(const HttpConnection&) = delete;

		/// @returns The next part. Once the connection has ended, the last part (such as Closed, Reset or Malformed) is
		/// returned again by each call.
		/// @remarks One reader at a time.
		aio::Task<Part> next();

		/// @returns A promise that is fulfilled once the other side has closed or the connection broke,
		/// even if parts are still unread.
		kj::Promise<void> whenDisconnected();

		/// Writes all bytes.
		/// @throws kj::Exception When the connection is broken.
		aio::Task<void> write(std::string _bytes);

		/// Writes a head and a body, without a copy of the body.
		/// @param[in] _body Must stay until the write has ended.
		/// @throws kj::Exception When the connection is broken.
		aio::Task<void> write(std::string _head, std::string_view _body);

		/// Charges what this connection holds to a holder, whose connection it serves; null: to none.
		void chargeTo(std::shared_ptr<ResourceHolder> _holder);

		/// @returns The holder; null when there is none.
		const std::shared_ptr<ResourceHolder>& chargedTo() const;

		/// Tells the holder, if there is one, what its memory is held for.
		void setHeldFor(HeldFor _what);

		/// @returns A promise that is fulfilled once the holder has to give its memory back.
		kj::Promise<void> whenLosingMemory() const;

		/// Sets the size of the system's buffers.
		void limitBuffers(std::unique_ptr<BufferGrant> _grant);

		/// Ends the side of this process and reads on without keeping anything, so that the other side, which may still be sending,
		/// sees what was written. Nothing else may be awaited here from now on.
		/// @param[in] _maxBytes Bytes that are read at most, within _maxMs.
		aio::Task<void> closeGracefully(kj::Timer& _timer, std::size_t _maxBytes, Millis _maxMs);

		/// @returns Whether bytes came behind a request in progress.
		bool hasBehind() const;

		/// @returns Whether the other side has closed, even if bytes before that weren't read.
		bool isHungUp() const;

		/// @returns Whether there are unread parts, including the end of the connection.
		bool hasUnread() const;

		/// @returns Whether the connection has ended, for whatever reason.
		bool isDisconnected() const;

		/// @returns Whether the other side has closed, or the connection broke, not because of what it sent.
		bool isLost() const;

		/// @returns How the connection has ended; none if it hasn't.
		std::optional<PartKind> ending() const;

		/// @returns Number of bytes that were written and of which no error was reported, as far as a piece was written whole.
		std::uint64_t countWritten() const;

		/// @returns Whether a message has been received in part.
		bool isMidMessage() const;

		/// Starts the exchange that the bytes from now on belong to. A new connection is in an exchange.
		/// @param[in] _tag Identifies the exchange in responses; empty if they don't name it.
		void beginExchange(std::string_view _tag);

		/// Ends the exchange: bytes that come before the next one end the connection.
		void endExchange();

		/// @returns Whether an exchange with this tag was begun here, as far as recent ones are known. A second response to it may
		/// still come.
		bool hasCarried(std::string_view _tag) const;

		/// @returns Whether the connection is usable for another exchange: the other side hasn't closed it and sent nothing
		/// that wasn't read, not even bytes that the system has received but the event loop hasn't seen.
		bool isQuiet() const;

		/// @returns Number of bytes that came behind the last complete response, as far as they were received.
		std::size_t countBytesBehind() const;

		/// @returns Whether bytes came that weren't read, other than the end of the connection.
		bool hasStrayBytes() const;

		/// @returns The kind of the oldest unread part; none if all parts were read.
		std::optional<PartKind> unreadKind() const;

		/// @returns Number of this connection in this process, for logs.
		std::uint64_t number() const;

		/// Sets the limits for data parsed from now on.
		void setLimits(MessageLimits _limits);

	private:
		aio::Task<void> readLoop();
		/// Waits until bytes may be read: the reader has room, no request is in progress behind which they came, and it is this
		/// connection's turn.
		aio::Task<void> awaitRoom();
		bool isShortOfMemory() const;
		/// Waits until the budget has room for what is read.
		aio::Task<void> awaitMemory();
		/// Reads what is left to send, and drops it.
		aio::Task<void> discard(std::size_t _maxBytes);
		/// Parses bytes. What is behind a request in progress is kept for later.
		/// @returns How the connection ends because of these bytes; none if it goes on.
		std::optional<PartKind> parse(std::string_view _bytes);
		void take(Part _part);
		void endWith(PartKind _how);
		/// @returns What is known once a read has returned the end of the connection.
		ConnectionEnd connectionEnd() const;
		void updateCharge();
		void recordMoved(std::size_t _bytes);
		void recordWritten(std::size_t _bytes);
		bool mustWait() const;
		/// Lets the reading go on if it waits and there is room again.
		void wakeReader();

		std::unique_ptr<BufferGrant> buffers;
		kj::Own<kj::AsyncIoStream> stream;
		const Side side;
		MessageParser parser;
		std::deque<Part> parts;
		std::uint64_t ownNumber;
		bool inExchange = true;
		std::deque<std::size_t> carried; ///< Hashes of the tags of recent exchanges.
		std::size_t bufferedBytes = 0;
		std::string behind;           ///< Bytes that came behind a request in progress.
		std::size_t readCapacity = 0; ///< Size of the read buffer, bytes.
		std::size_t messageBytes = 0; ///< Bytes of the request that is being received.
		MemoryCharge charge;
		std::uint64_t readBytes = 0;
		std::uint64_t writtenBytes = 0;
		int unfinishedWrites = 0; ///< Also those that failed.
		bool gone = false;
		kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> partWaiter;
		kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> roomWaiter;
		kj::Own<kj::PromiseFulfiller<void>> goneFulfiller;
		kj::ForkedPromise<void> goneFork;
		kj::Promise<void> reading = nullptr;
	};
} // namespace archdyke::http
