#include "soak_crowd.h"

#include <arpa/inet.h>
#include <array>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "archdyke/random.h"
#include "base/address.h"
#include "base/process.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kTickMs = 10;
		/// How long a client keeps its connection, ms.
		constexpr std::uint64_t kMinHoldMs = 200;
		constexpr std::uint64_t kMaxHoldMs = 4'000;
		constexpr std::size_t kRepeats = 4'000;

		/// What a client sends: a start, and something again and again.
		struct CrowdBytes
		{
			std::string start;
			std::string block;
			std::size_t blocks = 0;
		};

		std::string chunkOf(std::size_t _bytes)
		{
			return fmt::format("{:x}\r\n{}\r\n", _bytes, std::string(_bytes, 'x'));
		}

		std::string times(const std::string& _text, std::size_t _count)
		{
			std::string all;
			for (std::size_t time = 0; time < _count; ++time)
			{
				all += _text;
			}
			return all;
		}

		std::vector<CrowdBytes> makeKinds()
		{
			const std::string post = "POST /safe/crowd HTTP/1.1\r\nHost: office.example\r\n";
			const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
			return {
			    {chunked, chunkOf(4'096), 15},
			    {post + "Content-Length: 65536\r\n\r\n", std::string(65'535, 'x'), 1},
			    {chunked, times(chunkOf(1), 1'000), 60},
			    {post + "Content-Length: 99999999999\r\n\r\n", std::string(65'536, 'x'), kRepeats},
			    {chunked, chunkOf(65'536), kRepeats},
			    {post, times("a:\r\n", 100), kRepeats},
			    {"", times("GET /nowhere HTTP/1.1\r\nHost: office.example\r\n\r\n", 50), kRepeats},
			};
		}

		struct Client
		{
			int descriptor = -1;
			const CrowdBytes* bytes = nullptr;
			std::size_t sent = 0;
			Millis until = 0;
		};

		int connectTo(const std::string& _address)
		{
			const Address address = parseAddress(_address);
			sockaddr_in target{};
			target.sin_family = AF_INET;
			target.sin_port = htons(std::uint16_t(address.port));
			inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
			const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			(void)connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)); // its end is seen when something is sent
			return descriptor;
		}

		void sendSome(Client& _client)
		{
			const CrowdBytes& bytes = *_client.bytes;
			const bool inStart = _client.sent < bytes.start.size();
			const std::size_t total = bytes.start.size() + bytes.block.size() * bytes.blocks;
			if (total <= _client.sent)
			{
				return;
			}
			const std::string& source = inStart ? bytes.start : bytes.block;
			const std::size_t offset = inStart ? _client.sent : (_client.sent - bytes.start.size()) % bytes.block.size();
			const ssize_t size = send(_client.descriptor, source.data() + offset, source.size() - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
			_client.sent += 0 < size ? std::size_t(size) : 0;
		}
	} // namespace

	SoakCrowd::SoakCrowd(SoakDeployment& _deployment, std::uint64_t _seed, std::uint32_t _clients)
	    : deployment(_deployment)
	    , thread([this, _seed, _clients] {
		    this->play(_seed, _clients);
	    })
	{
	}

	SoakCrowd::~SoakCrowd()
	{
		this->ended = true;
		this->thread.join();
	}

	void SoakCrowd::play(std::uint64_t _seed, std::uint32_t _clients)
	{
		const std::vector<CrowdBytes> kinds = makeKinds();
		Random random(_seed);
		std::vector<Client> clients(_clients);
		while (!this->ended)
		{
			const Millis now = nowMs();
			for (Client& client : clients)
			{
				if (client.until <= now)
				{
					if (0 <= client.descriptor)
					{
						close(client.descriptor);
					}
					client = {connectTo(this->deployment.pickGateway(random).address), &kinds[randomBelow(random, kinds.size())], 0, now + Millis(kMinHoldMs + randomBelow(random, kMaxHoldMs - kMinHoldMs))};
				}
				sendSome(client);
			}
			pauseMs(kTickMs);
		}
		for (const Client& client : clients)
		{
			if (0 <= client.descriptor)
			{
				close(client.descriptor);
			}
		}
	}
} // namespace archdyke::lab
