/// Addresses as settings name them.
#pragma once

#include <string>

namespace archdyke
{
	/// Address as "IP:port"; port 0 lets the kernel choose.
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
