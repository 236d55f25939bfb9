#include "rpc/peer_server.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize-async.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "base/socket_buffers.h"

namespace archdyke
{
	namespace
	{
		/// Bytes of a message that are read at once; they are charged before the next ones.
		constexpr std::size_t kReadBytes = 16'384;
		/// Responses that may wait for a peer to read them, bytes; until it does its calls aren't read.
		constexpr std::size_t kMaxUnreadBytes = 262'144;
		/// A connection that moved nothing for this long may be closed for a new one, ms: links between daemons are used more often.
		constexpr Millis kSilentMs = 10'000;
		/// Time without acknowledgements after which a connection is closed, ms.
		constexpr unsigned int kPeerTimeoutMs = 10'000;
		/// Delay after a failed accept, ms: without free file descriptors each further one fails, too.
		constexpr Millis kAcceptRetryMs = 50;
		constexpr Millis kRefusalLogIntervalMs = 1'000;

		/// A stream whose incoming message is charged while it comes.
		class ChargedStream final : public kj::AsyncIoStream
		{
		public:
			ChargedStream(kj::Own<kj::AsyncIoStream> _stream, std::shared_ptr<http::ResourceHolder> _holder)
			    : stream(kj::mv(_stream))
			    , holder(std::move(_holder))
			    , incoming(this->holder)
			{
			}

			kj::Promise<std::size_t> tryRead(void* _buffer, std::size_t _minBytes, std::size_t _maxBytes) override
			{
				return this->readPieces(static_cast<char*>(_buffer), _minBytes, _maxBytes).take();
			}

			kj::Promise<void> write(const void* _buffer, std::size_t _size) override
			{
				return this->stream->write(_buffer, _size).then([this, _size] {
					this->holder->recordMoved(_size);
				});
			}

			kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> _pieces) override
			{
				return this->stream->write(_pieces).then([this] {
					this->holder->recordMoved(1);
				});
			}

			kj::Promise<void> whenWriteDisconnected() override
			{
				return this->stream->whenWriteDisconnected();
			}

			void shutdownWrite() override
			{
				this->stream->shutdownWrite();
			}

			void abortRead() override
			{
				this->stream->abortRead();
			}

			void getsockopt(int _level, int _option, void* _value, kj::uint* _length) override
			{
				this->stream->getsockopt(_level, _option, _value, _length);
			}

			/// @returns Bytes that were read since the last call.
			std::size_t takeBytesRead()
			{
				return std::exchange(this->bytesRead, 0);
			}

		private:
			aio::Task<std::size_t> readPieces(char* _buffer, std::size_t _minBytes, std::size_t _maxBytes)
			{
				std::size_t done = 0;
				std::size_t size = 1;
				while (0 < size && done < std::max<std::size_t>(1, _minBytes))
				{
					this->incoming.set(done);
					while (this->holder->mustWait())
					{
						co_await this->holder->whenRoom();
					}
					size = co_await this->stream->tryRead(_buffer + done, 1, std::min(_maxBytes - done, kReadBytes));
					this->holder->recordMoved(size);
					done += size;
				}
				this->bytesRead += done;
				this->incoming.set(0);
				co_return done;
			}

			kj::Own<kj::AsyncIoStream> stream;
			const std::shared_ptr<http::ResourceHolder> holder;
			http::MemoryCharge incoming;
			std::size_t bytesRead = 0;
		};

		/// Messages that are charged until their readers are destroyed.
		class ChargedMessages final : public capnp::MessageStream
		{
		public:
			ChargedMessages(ChargedStream& _stream, std::shared_ptr<http::ResourceHolder> _holder)
			    : stream(_stream)
			    , messages(_stream)
			    , holder(std::move(_holder))
			    , unread(this->holder)
			{
			}

			/// @param[in] _network The network that this stream belongs to.
			void setNetwork(capnp::TwoPartyVatNetwork& _network)
			{
				this->network = &_network;
			}

			kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> _descriptors, capnp::ReaderOptions _options, kj::ArrayPtr<capnp::word> _scratch) override
			{
				if (this->unreadBytes() <= kMaxUnreadBytes)
				{
					return this->readNow(_descriptors, _options, _scratch);
				}
				auto paf = kj::newPromiseAndFulfiller<void>();
				this->readWaiter = kj::mv(paf.fulfiller);
				return paf.promise.then([this, _descriptors, _options, _scratch] {
					return this->readNow(_descriptors, _options, _scratch);
				});
			}

			kj::Promise<void> writeMessage(kj::ArrayPtr<const int> _descriptors, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> _segments) override
			{
				this->unread.set(this->unreadBytes());
				return this->messages.writeMessage(_descriptors, _segments).then([this] {
					this->wakeReaderLater();
				});
			}

			kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> _messages) override
			{
				this->unread.set(this->unreadBytes());
				return this->messages.writeMessages(_messages).then([this] {
					this->wakeReaderLater();
				});
			}

			kj::Maybe<int> getSendBufferSize() override
			{
				return this->messages.getSendBufferSize();
			}

			kj::Promise<void> end() override
			{
				return this->messages.end();
			}

		private:
			std::size_t unreadBytes() const
			{
				return nullptr == this->network ? 0 : this->network->getCurrentQueueSize();
			}

			/// The network counts a message as sent only after its write has ended.
			void wakeReaderLater()
			{
				this->waking = kj::evalLater([this] {
					               this->wakeReader();
				               })
				                   .eagerlyEvaluate(nullptr);
			}

			void wakeReader()
			{
				this->unread.set(this->unreadBytes());
				KJ_IF_MAYBE (waiter, this->readWaiter)
				{
					if (this->unreadBytes() <= kMaxUnreadBytes)
					{
						(*waiter)->fulfill();
						this->readWaiter = nullptr;
					}
				}
			}

			kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> readNow(kj::ArrayPtr<kj::AutoCloseFd> _descriptors, capnp::ReaderOptions _options, kj::ArrayPtr<capnp::word> _scratch)
			{
				return this->messages.tryReadMessage(_descriptors, _options, _scratch).then([this](kj::Maybe<capnp::MessageReaderAndFds>&& _message) {
					KJ_IF_MAYBE (message, _message)
					{
						auto charge = kj::heap<http::MemoryCharge>(this->holder);
						charge->set(this->stream.takeBytesRead());
						message->reader = message->reader.attach(kj::mv(charge));
					}
					return kj::mv(_message);
				});
			}

			ChargedStream& stream;
			capnp::AsyncIoMessageStream messages;
			const std::shared_ptr<http::ResourceHolder> holder;
			http::MemoryCharge unread;
			capnp::TwoPartyVatNetwork* network = nullptr;
			kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> readWaiter;
			kj::Promise<void> waking = kj::READY_NOW;
		};

		/// One connection of a peer.
		struct PeerConnection
		{
			PeerConnection(kj::Own<kj::AsyncIoStream> _stream, const std::shared_ptr<http::ResourceHolder>& _holder, std::unique_ptr<http::BufferGrant> _buffers, capnp::Capability::Client _bootstrap)
			    : buffers(std::move(_buffers))
			    , stream(kj::mv(_stream), _holder)
			    , messages(this->stream, _holder)
			    , network(this->messages, capnp::rpc::twoparty::Side::SERVER)
			    , rpc(capnp::makeRpcServer(this->network, kj::mv(_bootstrap)))
			{
				this->messages.setNetwork(this->network);
			}

			std::unique_ptr<http::BufferGrant> buffers;
			ChargedStream stream;
			ChargedMessages messages;
			capnp::TwoPartyVatNetwork network;
			capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
		};
	} // namespace

	PeerServer::PeerServer(kj::Timer& _timer, http::ResourceBudget& _resources, capnp::Capability::Client _bootstrap, std::size_t _maxConnections)
	    : timer(_timer)
	    , resources(_resources)
	    , bootstrap(kj::mv(_bootstrap))
	    , maxConnections(_maxConnections)
	    , connections(*this)
	{
	}

	kj::Promise<void> PeerServer::listen(kj::ConnectionReceiver& _receiver)
	{
		return _receiver.accept().then([this](kj::Own<kj::AsyncIoStream>&& _stream) -> kj::Promise<void> {
			                         this->acceptOne(kj::mv(_stream));
			                         return kj::READY_NOW;
		                         },
		                               [this](kj::Exception&& _error) -> kj::Promise<void> {
			                               logWarning("accept_failed", {{"reason", _error.getDescription().cStr()}, {"remedy", "raise the limit of file descriptors"}});
			                               return this->timer.afterDelay(kAcceptRetryMs * kj::MILLISECONDS);
		                               })
		    .then([this, &_receiver] {
			    return this->listen(_receiver);
		    });
	}

	void PeerServer::acceptOne(kj::Own<kj::AsyncIoStream> _stream)
	{
		const Millis now = nowMs();
		if (this->holders.size() < this->maxConnections || this->resources.closeSilent(this->holders, kSilentMs))
		{
			this->serve(kj::mv(_stream));
		}
		else if (this->refusalLoggedAt + kRefusalLogIntervalMs <= now)
		{
			this->refusalLoggedAt = now;
			logWarning("peers_not_served", {{"open", this->holders.size()}, {"remedy", "raise the limit of file descriptors, and check who connects to the port for daemons"}});
		}
	}

	void PeerServer::serve(kj::Own<kj::AsyncIoStream> _stream)
	{
		const std::shared_ptr<http::ResourceHolder> holder = this->resources.open();
		this->holders.insert(holder.get());
		std::unique_ptr<http::BufferGrant> buffers = this->resources.grantBuffers();
		KJ_IF_MAYBE (descriptor, _stream->getFd())
		{
			limitSocketBuffers(*descriptor, buffers->bufferBytes);
		}
		const int yes = 1;
		_stream->setsockopt(SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
		_stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kPeerTimeoutMs, sizeof(kPeerTimeoutMs));
		auto connection = kj::heap<PeerConnection>(kj::mv(_stream), holder, std::move(buffers), this->bootstrap);
		kj::Promise<void> ended = connection->network.onDisconnect();
		this->connections.add(ended.exclusiveJoin(holder->whenClosing()).attach(kj::mv(connection)).attach(kj::defer([this, holder] {
			this->holders.erase(holder.get());
		})));
	}

	void PeerServer::taskFailed(kj::Exception&& _error)
	{
		logWarning("peer_connection_failed", {{"reason", _error.getDescription().cStr()}});
	}
} // namespace archdyke
