/// A server on loopback that answers before it has read the whole request, and ends the connection while it is uploaded.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <limits>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "raw_sockets.h"

namespace archdyke::tests
{
	constexpr std::size_t kUploadBytes = 3'000'000;
	constexpr std::size_t kWholeUpload = std::numeric_limits<std::size_t>::max();

	/// How a server ends its connection.
	enum class EarlyEnd
	{
		Reset,
		FinAndReset, ///< The reset comes at once behind the FIN.
		FinAndRead,  ///< The rest of the request is read.
	};

	struct EarlyAnswer
	{
		std::string bytes;
		EarlyEnd end = EarlyEnd::Reset;
		std::size_t readBytes = 0; ///< Of the request's body, before the answer; kWholeUpload: all.
		Millis pauseMs = 0;        ///< Between the answer and the end.
	};

	/// Moments of an upload at which a server answers, in bytes of the request's body that it has read.
	inline std::vector<std::size_t> uploadMoments()
	{
		return {0, kUploadBytes / 2, kUploadBytes - 1, kWholeUpload};
	}

	/// Serves one request a connection.
	class EarlyServer
	{
	public:
		/// @param[in] _answer Makes the answer to a request's head.
		explicit EarlyServer(std::function<EarlyAnswer(const std::string&)> _answer)
		    : answer(std::move(_answer))
		    , server([this](int _connection) {
			    this->serve(_connection);
		    })
		    , address(this->server.address)
		{
		}

		std::atomic<int> requests = 0;

	private:
		/// @returns Size of the body that a head announces.
		static std::size_t bodySize(const std::string& _head)
		{
			const std::string name = "Content-Length: ";
			const std::size_t at = _head.find(name);
			return std::string::npos == at ? 0 : std::stoul(_head.substr(at + name.size()));
		}

		static void readBody(int _connection, std::size_t _size)
		{
			std::vector<char> buffer(65'536);
			ssize_t got = 1;
			for (std::size_t left = _size; 0 < left && 0 < got; left -= std::size_t(std::max<ssize_t>(0, got)))
			{
				got = recv(_connection, buffer.data(), std::min(left, buffer.size()), 0);
			}
		}

		void serve(int _connection)
		{
			const std::string head = readHeadBytes(_connection);
			const EarlyAnswer made = head.empty() ? EarlyAnswer() : this->answer(head);
			this->requests += head.empty() ? 0 : 1;
			readBody(_connection, std::min(made.readBytes, bodySize(head)));
			send(_connection, made.bytes.data(), made.bytes.size(), MSG_NOSIGNAL);
			usleep(useconds_t(made.pauseMs * 1'000));
			if (EarlyEnd::Reset != made.end)
			{
				shutdown(_connection, SHUT_WR);
			}
			if (EarlyEnd::FinAndRead == made.end)
			{
				readBody(_connection, kWholeUpload);
			}
			endSocket(_connection, SocketEnd::Reset);
		}

		const std::function<EarlyAnswer(const std::string&)> answer;
		const ConnectionServer server;

	public:
		const std::string address; ///< "IP:port". Behind the server, which chooses it.
	};
} // namespace archdyke::tests
