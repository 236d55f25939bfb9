/// One HTTP/1.1 connection, either side: parses what comes in and notices at once when the
/// other side goes away, also while nothing is expected from it.
#pragma once

#include <deque>
#include <kj/async-io.h>
#include <memory>
#include <string>

#include "aio/task.h"
#include "http/http_message.h"

namespace archdyke::http
{
	/// Bounds of what one message may bring in.
	struct MessageLimits
	{
		std::size_t headerBytes = 16'384;
		std::size_t bodyBytes = std::size_t(4) << 20;

		bool operator==(const MessageLimits&) const = default;
	};

	/// What comes in on a connection, in order.
	enum class PartKind
	{
		Head,
		Body,
		End,      ///< The message is whole.
		Closed,   ///< The other side closed between two messages.
		Reset,    ///< The connection broke, or closed within a message.
		Garbage,  ///< Bytes that are no HTTP message.
		HeadSize, ///< The head is over its limit.
		BodySize, ///< The body is over its limit.
		Count
	};

	/// One part of a message.
	struct Part
	{
		PartKind kind = PartKind::Closed;
		RequestHead request;   ///< Of a Head that a server reads.
		ResponseHead response; ///< Of a Head that a client reads.
		std::string body;      ///< Of a Body.
	};

	enum class Side
	{
		Server,
		Client
	};

	class HttpConnection
	{
	public:
		HttpConnection(kj::Own<kj::AsyncIoStream> _stream, Side _side, MessageLimits _limits);
		~HttpConnection();
		HttpConnection(const HttpConnection&) = delete;
		HttpConnection& operator=(const HttpConnection&) = delete;

		/// @returns The next part; after Closed, Reset and Garbage the same again.
		/// @remarks One reader at a time.
		aio::Task<Part> next();

		/// @returns A promise that is fulfilled once the other side has closed or the
		/// connection broke, whatever is still to be read.
		kj::Promise<void> whenGone();

		/// Writes all bytes. The exception of a broken connection passes through.
		aio::Task<void> write(std::string _bytes);

		/// @returns Whether something came in that nobody has read, or the other side is gone.
		bool hasUnread() const;

		/// @returns Whether the other side has closed, or the connection broke.
		bool isGone() const;

		/// @returns Whether any byte of the message that is read now has come in.
		bool midMessage() const;

		/// Sets the bounds of what is parsed from now on.
		void setLimits(MessageLimits _limits);

	private:
		struct Parser;

		aio::Task<void> pump();
		void take(Part _part);
		void markGone(PartKind _how);

		kj::Own<kj::AsyncIoStream> stream;
		std::unique_ptr<Parser> parser;
		std::deque<Part> parts;
		std::size_t heldBytes = 0;
		bool gone = false;
		kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> partWaiter;
		kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> roomWaiter;
		kj::Own<kj::PromiseFulfiller<void>> goneFulfiller;
		kj::ForkedPromise<void> goneFork;
		kj::Promise<void> pumping = nullptr;
	};
} // namespace archdyke::http
