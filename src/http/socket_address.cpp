#include "http/socket_address.h"

#include <arpa/inet.h>

#include "archdyke/errors.h"
#include "base/address.h"

namespace archdyke::http
{
	sockaddr_in parseSocketAddress(const std::string& _address)
	{
		const Address parsed = parseAddress(_address);
		sockaddr_in socket{};
		socket.sin_family = AF_INET;
		socket.sin_port = htons(std::uint16_t(parsed.port));
		if (1 != inet_pton(AF_INET, parsed.host.c_str(), &socket.sin_addr))
		{
			throw InvalidInputError("address", {{_address, "\"" + parsed.host + "\"", "write an IPv4 address and a port, for example 10.0.0.1:8080"}});
		}
		return socket;
	}
} // namespace archdyke::http
