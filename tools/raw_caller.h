/// A caller that sends a request in pieces and reads what comes for it, on a connection of its own.
#pragma once

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/process.h"

namespace archdyke::lab
{
	class RawCaller
	{
	public:
		explicit RawCaller(const std::string& _address)
		    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
		{
			const Address parsed = parseAddress(_address);
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_port = htons(std::uint16_t(parsed.port));
			inet_pton(AF_INET, parsed.host.c_str(), &address.sin_addr);
			this->connected = 0 == ::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
		}

		~RawCaller()
		{
			::close(this->descriptor);
		}

		RawCaller(const RawCaller&) = delete;
		RawCaller& operator=(const RawCaller&) = delete;

		/// @returns Whether the connection took all bytes.
		bool send(std::string_view _bytes)
		{
			while (!_bytes.empty())
			{
				const ssize_t sent = ::send(this->descriptor, _bytes.data(), _bytes.size(), MSG_NOSIGNAL);
				if (0 >= sent)
				{
					return false;
				}
				_bytes.remove_prefix(std::size_t(sent));
			}
			return this->connected;
		}

		/// Reads a response with a length, until it is whole, the connection ends or the time is over.
		/// @returns Its bytes as far as they came.
		std::string receive(Millis _timeoutMs)
		{
			const Millis until = nowMs() + _timeoutMs;
			std::string bytes;
			while (!isWhole(bytes) && nowMs() < until)
			{
				const Millis leftMs = until - nowMs();
				const timeval wait{leftMs / 1'000, (leftMs % 1'000) * 1'000 + 1};
				::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
				char buffer[4'096];
				const ssize_t size = ::recv(this->descriptor, buffer, sizeof(buffer), 0);
				if (0 >= size)
				{
					break;
				}
				bytes.append(buffer, std::size_t(size));
			}
			return bytes;
		}

		/// @returns Whether a response has come whole.
		static bool isWhole(const std::string& _bytes)
		{
			constexpr std::string_view kLength = "Content-Length: ";
			const std::size_t head = _bytes.find("\r\n\r\n");
			const std::size_t length = _bytes.find(kLength);
			return std::string::npos != head && length < head && _bytes.size() >= head + 4 + std::stoul(_bytes.substr(length + kLength.size()));
		}

		/// @returns Status of a whole response; 0 if there is none.
		static int statusOf(const std::string& _bytes)
		{
			return isWhole(_bytes) && _bytes.starts_with("HTTP/1.1 ") ? std::atoi(_bytes.c_str() + 9) : 0;
		}

		/// @returns The value of a header of a response; empty if it has none.
		static std::string headerOf(const std::string& _bytes, const std::string& _name)
		{
			const std::size_t at = _bytes.find("\r\n" + _name + ": ");
			const std::size_t begin = at + _name.size() + 4;
			return at < _bytes.find("\r\n\r\n") ? _bytes.substr(begin, _bytes.find("\r\n", begin) - begin) : "";
		}

		/// @returns The body of a whole response.
		static std::string bodyOf(const std::string& _bytes)
		{
			return isWhole(_bytes) ? _bytes.substr(_bytes.find("\r\n\r\n") + 4) : "";
		}

	private:
		const int descriptor;
		bool connected = false;
	};
} // namespace archdyke::lab
