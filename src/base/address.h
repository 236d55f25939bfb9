/// IP addresses with ports, as written in settings.
#pragma once

#include <string>

namespace archdyke
{
	/// Address "IP:port"; with port 0 the kernel chooses the port.
	struct Address
	{
		std::string host;
		int port = 0;

		bool operator==(const Address&) const = default;
	};

	/// @throws InvalidInputError When the text is not "IP:port".
	Address parseAddress(const std::string& _text);

	/// @returns "IP:port".
	std::string toString(const Address& _address);
} // namespace archdyke
