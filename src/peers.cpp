#include "peers.h"

#include <absl/time/time.h>
#include <capnp/rpc-twoparty.h>

#include "rpc_convert.h"

namespace archdyke
{
	namespace
	{
		void writeState(rpc::ConfigState::Builder _to, const PeerState& _from)
		{
			writeMark(_to.initHead(), _from.held.head);
			writeMark(_to.initStaged(), _from.held.staged);
			_to.setZone(_from.zone);
			_to.setName(_from.name);
			_to.setIncarnation(_from.incarnation);
			_to.setLeaving(_from.leaving);
		}

		PeerState readState(rpc::ConfigState::Reader _from)
		{
			PeerState state;
			state.name = _from.getName().cStr();
			state.zone = _from.getZone().cStr();
			state.incarnation = _from.getIncarnation();
			state.leaving = _from.getLeaving();
			state.held = {readMark(_from.getHead()), readMark(_from.getStaged())};
			return state;
		}

		class PeerServer final : public rpc::Peer::Server
		{
		public:
			explicit PeerServer(PeerHandlers _handlers)
			    : handlers(std::move(_handlers))
			{
			}

		protected:
			kj::Promise<void> exchange(ExchangeContext _context) override
			{
				writeState(_context.getResults().initTheirs(), this->handlers.exchange(readState(_context.getParams().getMine())));
				return kj::READY_NOW;
			}

			kj::Promise<void> document(DocumentContext _context) override
			{
				const std::optional<std::string> bytes = this->handlers.document(_context.getParams().getDigest().cStr());
				_context.getResults().setFound(bytes.has_value());
				if (bytes)
				{
					_context.getResults().setBytes({reinterpret_cast<const capnp::byte*>(bytes->data()), bytes->size()});
				}
				return kj::READY_NOW;
			}

		private:
			const PeerHandlers handlers;
		};

		/// Answers gathered for a waiting thread. Shared, because late ones still arrive
		/// after it has given up.
		template <typename Answer>
		struct Gathering
		{
			absl::Mutex mutex;
			std::vector<Answer> answers ABSL_GUARDED_BY(mutex);
			std::size_t pending ABSL_GUARDED_BY(mutex) = 0;

			bool done() const ABSL_SHARED_LOCKS_REQUIRED(mutex)
			{
				return 0 == this->pending;
			}

			void add(std::optional<Answer> _answer)
			{
				absl::MutexLock lock(&this->mutex);
				this->pending -= 1;
				if (_answer)
				{
					this->answers.push_back(std::move(*_answer));
				}
			}

			std::vector<Answer> wait(Millis _timeoutMs)
			{
				absl::MutexLock lock(&this->mutex);
				this->mutex.AwaitWithTimeout(absl::Condition(this, &Gathering::done), absl::Milliseconds(_timeoutMs));
				return this->answers;
			}
		};
	} // namespace

	rpc::Peer::Client makePeerServer(PeerHandlers _handlers)
	{
		return kj::heap<PeerServer>(std::move(_handlers));
	}

	struct PeerCalls::Connection
	{
		explicit Connection(kj::Own<kj::AsyncIoStream> _stream)
		    : stream(kj::mv(_stream))
		    , client(*this->stream)
		    , peer(this->client.bootstrap().castAs<rpc::Peer>())
		{
		}

		kj::Own<kj::AsyncIoStream> stream;
		capnp::TwoPartyClient client;
		rpc::Peer::Client peer;
	};

	PeerCalls::PeerCalls(RpcLoop& _loop)
	    : loop(_loop)
	{
	}

	PeerCalls::~PeerCalls()
	{
		this->loop.run([this] {
			this->connections.clear();
		});
	}

	kj::Promise<PeerCalls::Connection*> PeerCalls::connect(const std::string& _address)
	{
		const auto it = this->connections.find(_address);
		if (this->connections.end() != it)
		{
			return it->second.get();
		}
		return this->loop.network().parseAddress(_address).then([](kj::Own<kj::NetworkAddress>&& _target) {
			                                                  return _target->connect().attach(kj::mv(_target));
		                                                  })
		    .then([this, _address](kj::Own<kj::AsyncIoStream>&& _stream) -> Connection* {
			    kj::Own<Connection>& connection = this->connections[_address];
			    if (nullptr == connection.get())
			    {
				    connection = kj::heap<Connection>(kj::mv(_stream));
			    }
			    return connection.get();
		    });
	}

	void PeerCalls::drop(const std::string& _address)
	{
		// Not from within one of its own promises.
		this->loop.post([this, _address] {
			this->connections.erase(_address);
		});
	}

	std::vector<PeerAnswer> PeerCalls::exchange(const std::vector<std::string>& _addresses, const PeerState& _mine, Millis _timeoutMs)
	{
		auto gathering = std::make_shared<Gathering<PeerAnswer>>();
		{
			absl::MutexLock lock(&gathering->mutex);
			gathering->pending = _addresses.size();
		}
		this->loop.post([this, gathering, addresses = _addresses, mine = _mine, _timeoutMs] {
			for (const std::string& address : addresses)
			{
				kj::Promise<void> call = this->connect(address).then([gathering, mine, address](Connection* _connection) {
					auto request = _connection->peer.exchangeRequest();
					writeState(request.initMine(), mine);
					return request.send().then([gathering, address](capnp::Response<rpc::Peer::ExchangeResults>&& _response) {
						gathering->add(PeerAnswer{address, readState(_response.getTheirs())});
					});
				});
				kj::Promise<void> limited = this->loop.timer().timeoutAfter(_timeoutMs * kj::MILLISECONDS, kj::mv(call));
				this->loop.spawn(limited.catch_([this, gathering, address](kj::Exception&&) {
					gathering->add(std::nullopt);
					this->drop(address);
				}));
			}
		});
		return gathering->wait(_timeoutMs);
	}

	std::optional<std::string> PeerCalls::document(const std::string& _address, const std::string& _digest, Millis _timeoutMs)
	{
		auto gathering = std::make_shared<Gathering<std::string>>();
		{
			absl::MutexLock lock(&gathering->mutex);
			gathering->pending = 1;
		}
		this->loop.post([this, gathering, address = _address, digest = _digest, _timeoutMs] {
			kj::Promise<void> call = this->connect(address).then([gathering, digest](Connection* _connection) {
				auto request = _connection->peer.documentRequest();
				request.setDigest(digest);
				return request.send().then([gathering](capnp::Response<rpc::Peer::DocumentResults>&& _response) {
					const capnp::Data::Reader bytes = _response.getBytes();
					gathering->add(_response.getFound() ? std::optional<std::string>(std::in_place, reinterpret_cast<const char*>(bytes.begin()), bytes.size()) : std::nullopt);
				});
			});
			kj::Promise<void> limited = this->loop.timer().timeoutAfter(_timeoutMs * kj::MILLISECONDS, kj::mv(call));
			this->loop.spawn(limited.catch_([this, gathering, address](kj::Exception&&) {
				gathering->add(std::nullopt);
				this->drop(address);
			}));
		});
		const std::vector<std::string> found = gathering->wait(_timeoutMs);
		return found.empty() ? std::nullopt : std::optional<std::string>(found.front());
	}
} // namespace archdyke
