/// Addresses of sockets from their text form.
#pragma once

#include <netinet/in.h>
#include <string>

namespace archdyke::http
{
	/// @param[in] _address "IP:port", IPv4.
	/// @throws InvalidInputError When the text is anything else.
	sockaddr_in socketAddress(const std::string& _address);
} // namespace archdyke::http
