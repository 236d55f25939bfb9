/// Tells whether a connection has ended in order.
///
/// A response without length and chunks is complete if the server has ended its connection in order, and incomplete if the
/// connection broke (RFC 9112, 8). What a read returns doesn't tell which: the system reports the error of a socket once, to the
/// first call that asks. If a write of the request gets it, the reads behind it return an end without an error.
#pragma once

namespace archdyke
{
	/// Whether the other side has ended its bytes with a FIN.
	enum class FinState
	{
		Received,
		Missing,
		Unknown, ///< The system doesn't tell.
		Count
	};

	/// What is known of a connection on which a read returned its end.
	struct ConnectionEnd
	{
		FinState fin = FinState::Unknown;
		bool requestWritten = false; ///< To its last byte: no write has failed, and none is under way.

		bool operator==(const ConnectionEnd&) const = default;
	};

	/// @returns Whether the end of a connection completes a response that nothing else delimits.
	/// @remarks A FIN proves it at any moment of the request: a server may respond before it has read the request, and reset the
	/// connection behind its FIN.
	bool isOrderly(const ConnectionEnd& _end);
} // namespace archdyke
