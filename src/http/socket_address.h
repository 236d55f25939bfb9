/// Conversion of text to socket addresses.
#pragma once

#include <netinet/in.h>
#include <string>

namespace archdyke::http
{
	/// @param[in] _address "IP:port", IPv4.
	/// @throws InvalidInputError When the text isn't such an address.
	sockaddr_in parseSocketAddress(const std::string& _address);
} // namespace archdyke::http
