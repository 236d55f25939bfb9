/// What proves that a connection ended in order, whoever was told of its error.
#include <criterion/criterion.h>
#include <functional>

#include "base/socket_end.h"
#include "raw_sockets.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	const std::string kSent = std::string(500, 'a');

	/// The two ends of a connection. The client has sent more than the server reads, and got some bytes.
	struct Connection
	{
		Connection()
		{
			const int listener = socket(AF_INET, SOCK_STREAM, 0);
			sockaddr_in address = loopbackAddress(0);
			socklen_t size = sizeof(address);
			cr_assert(0 == bind(listener, reinterpret_cast<sockaddr*>(&address), size) && 0 == listen(listener, 1));
			cr_assert(0 == getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
			this->client = socket(AF_INET, SOCK_STREAM, 0);
			cr_assert(0 == connect(this->client, reinterpret_cast<sockaddr*>(&address), size));
			this->server = accept(listener, nullptr, nullptr);
			close(listener);
			const std::string upload(16'000'000, 'u');
			cr_assert(0 < send(this->client, upload.data(), upload.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
			cr_assert(ssize_t(kSent.size()) == send(this->server, kSent.data(), kSent.size(), MSG_NOSIGNAL));
		}

		~Connection()
		{
			close(this->client);
			if (0 <= this->server)
			{
				close(this->server);
			}
		}

		Connection(const Connection&) = delete;
		Connection& operator=(const Connection&) = delete;

		void finish() const
		{
			shutdown(this->server, SHUT_WR);
		}

		void reset()
		{
			endSocket(this->server, SocketEnd::Reset);
			this->server = -1;
		}

		/// @returns Whether all bytes that were sent, and no more, can be read.
		bool readsBytes() const
		{
			char buffer[1'000];
			return ssize_t(kSent.size()) == recv(this->client, buffer, sizeof(buffer), 0);
		}

		/// @returns Whether a read returns an end without an error.
		bool readsEnd() const
		{
			char byte = 0;
			return 0 == recv(this->client, &byte, 1, 0);
		}

		FinState fin() const
		{
			return finStateOf(this->client, kSent.size());
		}

		int client = -1;
		int server = -1;
	};

	/// A call to the system that is told of a socket's error, which no other call is told of then.
	struct ErrorTaker
	{
		std::string name;
		bool isToldBehindBytes = false; ///< Only once all bytes were read.
		std::function<void(int)> take;
	};

	std::vector<ErrorTaker> errorTakers()
	{
		return {
		    {"write", false, [](int _socket) {
			     send(_socket, "x", 1, MSG_NOSIGNAL);
		     }},
		    {"SO_ERROR", false, [](int _socket) {
			     int error = 0;
			     socklen_t size = sizeof(error);
			     getsockopt(_socket, SOL_SOCKET, SO_ERROR, &error, &size);
		     }},
		    {"peek", true, [](int _socket) {
			     char byte = 0;
			     recv(_socket, &byte, 1, MSG_PEEK);
		     }},
		    {"read", true, [](int _socket) {
			     char byte = 0;
			     recv(_socket, &byte, 1, 0);
		     }},
		};
	}

	/// Reads all bytes of a connection that has ended, and lets a call be told of its error.
	void readAround(const Connection& _connection, const ErrorTaker& _taker)
	{
		cr_assert(!_taker.isToldBehindBytes || _connection.readsBytes(), "%s", _taker.name.c_str());
		_taker.take(_connection.client);
		cr_assert(_taker.isToldBehindBytes || _connection.readsBytes(), "%s", _taker.name.c_str());
	}
} // namespace

/// Guards against an end being taken for orderly that isn't.
Test(connectionend, only_a_fin_proves_the_end_or_a_written_request_where_the_system_does_not_tell)
{
	for (const bool written : {false, true})
	{
		cr_assert(isOrderly({FinState::Received, written}));
		cr_assert(!isOrderly({FinState::Missing, written}));
		cr_assert(written == isOrderly({FinState::Unknown, written}));
	}
}

Test(connectionend, a_fin_is_known_while_the_connection_is_open_and_behind_a_reset)
{
	Connection connection;
	connection.finish();
	cr_assert(connection.readsBytes() && connection.readsEnd() && FinState::Received == connection.fin());
	connection.reset();
	cr_assert(FinState::Received == connection.fin());
}

/// Guards against a reset that a read doesn't report because something else was told of it.
Test(connectionend, a_reset_is_no_fin_whoever_was_told_of_it)
{
	for (const ErrorTaker& taker : errorTakers())
	{
		Connection connection;
		connection.reset();
		readAround(connection, taker);
		cr_assert(connection.readsEnd(), "%s: a read reported the reset", taker.name.c_str());
		cr_assert(FinState::Missing == connection.fin(), "%s", taker.name.c_str());
	}
}

Test(connectionend, a_fin_before_a_reset_is_known_whoever_was_told_of_the_reset)
{
	for (const ErrorTaker& taker : errorTakers())
	{
		Connection connection;
		connection.finish();
		connection.reset();
		readAround(connection, taker);
		cr_assert(connection.readsEnd() && FinState::Received == connection.fin(), "%s", taker.name.c_str());
	}
}

Test(connectionend, nothing_is_known_of_what_is_no_tcp_connection)
{
	int pair[2] = {-1, -1};
	cr_assert(0 == socketpair(AF_UNIX, SOCK_STREAM, 0, pair));
	cr_assert(FinState::Unknown == finStateOf(pair[0], 0) && FinState::Unknown == finStateOf(-1, 0));
	close(pair[0]);
	close(pair[1]);
}
