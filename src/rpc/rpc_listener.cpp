#include "rpc/rpc_listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		/// Time without acknowledgements after which a connection is closed, ms.
		constexpr unsigned int kPeerTimeoutMs = 10'000;

		void setPeerTimeout(kj::AsyncIoStream& _stream)
		{
			const int yes = 1;
			_stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
			_stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kPeerTimeoutMs, sizeof(kPeerTimeoutMs));
		}
	} // namespace

	struct RpcListener::State : public kj::TaskSet::ErrorHandler
	{
		explicit State(capnp::Capability::Client _bootstrap)
		    : server(kj::mv(_bootstrap))
		    , tasks(*this)
		{
		}

		void taskFailed(kj::Exception&&) override
		{
			// The connection failed; the peer reconnects.
		}

		void accept()
		{
			this->tasks.add(this->receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& _stream) {
				setPeerTimeout(*_stream);
				this->server.accept(kj::mv(_stream));
				this->accept();
			}));
		}

		capnp::TwoPartyServer server;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::TaskSet tasks;
	};

	RpcListener::RpcListener(RpcLoop& _loop, const Address& _address, std::function<capnp::Capability::Client()> _bootstrap)
	    : loop(_loop)
	    , bound(_address)
	{
		std::string error;
		this->loop.run([&] {
			try
			{
				sockaddr_in target{};
				target.sin_family = AF_INET;
				target.sin_port = htons(static_cast<std::uint16_t>(_address.port));
				if (1 != inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr))
				{
					error = "not an IPv4 address";
					return;
				}
				this->state = kj::heap<State>(_bootstrap());
				this->state->receiver = this->loop.network().getSockaddr(&target, sizeof(target))->listen();
				this->bound.port = int(this->state->receiver->getPort());
				this->state->accept();
			}
			catch (const kj::Exception& exception)
			{
				error = exception.getDescription().cStr();
			}
		});
		if (!error.empty())
		{
			throw ArchdykeError("can't listen on " + toString(_address) + " (" + error + "): free the port or set another in the settings");
		}
	}

	RpcListener::~RpcListener()
	{
		this->loop.run([this] {
			this->state = nullptr;
		});
	}

	const Address& RpcListener::address() const
	{
		return this->bound;
	}
} // namespace archdyke
