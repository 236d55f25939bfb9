/// The bytes of one connection of an HTTP server, counted in a registry and bounded in size and time.
#pragma once

#include <array>
#include <atomic>
#include <httplib.h>
#include <limits>

#include "archdyke/types.h"
#include "base/connection_registry.h"

namespace archdyke
{
	/// When the connections of a server end their reading and writing, local clock. Set from another thread when the server stops.
	struct StopTimes
	{
		std::atomic<Millis> readFrom{std::numeric_limits<Millis>::max()}; ///< From then on a request has little time to come whole.
		std::atomic<Millis> writeUntil{std::numeric_limits<Millis>::max()};
	};

	/// Times for the next bytes of a connection, s.
	struct StreamTimeouts
	{
		time_t readS = 0;
		time_t writeS = 0;
	};

	/// A request that is longer than its limit is cut. Used by the connection's thread.
	class SocketStream final : public httplib::Stream
	{
	public:
		/// @param[in] _connection Null: bytes aren't counted.
		/// @param[in] _stop Must outlive this object.
		SocketStream(socket_t _socket, ConnectionRegistry::Connection* _connection, const StopTimes& _stop, std::size_t _maxBodyBytes, StreamTimeouts _timeouts);

		void beginRequest();

		/// @returns Whether there are bytes to read, or the connection has ended, within the time.
		bool hasBytes(Millis _waitMs) const;

		/// Ends sending, reads on for some time and drops what comes, if the server stopped reading within a request: its client, who may
		/// still be sending, then sees the response.
		void discardRest();

		bool is_readable() const override;
		bool is_writable() const override;
		ssize_t read(char* _bytes, std::size_t _size) override;
		ssize_t write(const char* _bytes, std::size_t _size) override;
		void get_remote_ip_and_port(std::string&, int&) const override;
		void get_local_ip_and_port(std::string&, int&) const override;
		socket_t socket() const override;

	private:
		/// @returns Whether the request has had its time since the server stopped reading.
		bool isReadingOver() const;

		/// @returns Whether bytes were read.
		bool fill();

		static constexpr std::size_t kBufferBytes = 4'096;

		const socket_t descriptor;
		ConnectionRegistry::Connection* const connection;
		const StopTimes& stop;
		const std::size_t maxBytes;
		const StreamTimeouts timeouts;
		std::array<char, kBufferBytes> buffer{};
		Millis begunAt = 0;
		std::size_t begin = 0;
		std::size_t end = 0;
		std::size_t received = 0;  ///< Bytes of the request that is being read.
		std::size_t unsent = 0;    ///< Bytes of the response that were given to write() and not sent.
		std::size_t sentBytes = 0; ///< Bytes that were given with these and sent.
		bool ended = false;
		bool cutShort = false; ///< The server stopped reading within a request.
	};
} // namespace archdyke
