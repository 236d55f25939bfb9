#include "base/address.h"

#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		constexpr int kMaxPort = 65535;
	} // namespace

	Address parseAddress(const std::string& _text)
	{
		const std::size_t colon = _text.rfind(':');
		int port = -1;
		if (std::string::npos != colon && colon + 1 < _text.size() && _text.size() <= colon + 6 && std::string::npos == _text.find_first_not_of("0123456789", colon + 1))
		{
			port = std::stoi(_text.substr(colon + 1));
		}
		if (port < 0 || kMaxPort < port || 0 == colon)
		{
			throw InvalidInputError("address", {{"\"" + _text + "\"", "not an IP address and port", "write it as IP:port, for example 127.0.0.1:8080"}});
		}
		return {_text.substr(0, colon), port};
	}

	std::string toString(const Address& _address)
	{
		return _address.host + ":" + std::to_string(_address.port);
	}
} // namespace archdyke
