/// Pool of connections to servers of one Cap'n Proto interface, by address, with timeouts
/// for calls.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	/// Collects responses for a waiting thread. Shared, since late responses still arrive after
	/// the thread has timed out.
	template <typename Response>
	class ResponseCollector
	{
	public:
		explicit ResponseCollector(std::size_t _count)
		    : pending(_count)
		{
		}

		/// Adds a response, or records a failed call.
		void add(std::optional<Response> _response)
		{
			absl::MutexLock lock(&this->mutex);
			this->pending -= 1;
			if (_response)
			{
				this->responses.push_back(std::move(*_response));
			}
		}

		/// Waits for all responses, _timeoutMs at most.
		/// @returns The responses received so far.
		std::vector<Response> wait(Millis _timeoutMs)
		{
			absl::MutexLock lock(&this->mutex);
			const auto done = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
				return 0 == this->pending;
			};
			this->mutex.AwaitWithTimeout(absl::Condition(&done), absl::Milliseconds(_timeoutMs));
			return this->responses;
		}

	private:
		absl::Mutex mutex;
		std::vector<Response> responses ABSL_GUARDED_BY(mutex);
		std::size_t pending ABSL_GUARDED_BY(mutex);
	};

	/// Its methods may be called from any thread.
	template <typename Interface>
	class RpcPool
	{
	public:
		using Client = typename Interface::Client;
		/// Makes a call and handles its response. Runs on the loop's thread.
		using Request = std::function<kj::Promise<void>(Client&)>;

		explicit RpcPool(RpcLoop& _loop)
		    : loop(_loop)
		    , state(std::make_shared<State>())
		{
		}

		/// Cancels all calls; none of their callbacks runs afterwards.
		~RpcPool()
		{
			this->loop.run([this] {
				this->state->tasks.reset();
				this->state->connections.clear();
				this->state->closed = true;
			});
		}

		RpcPool(const RpcPool&) = delete;
		RpcPool& operator=(const RpcPool&) = delete;

		/// Calls a server. Either _request succeeds, or _failed is called once.
		void call(const std::string& _address, Millis _timeoutMs, Request _request, std::function<void()> _failed)
		{
			this->loop.post([&target = this->loop, shared = this->state, address = _address, _timeoutMs, request = std::move(_request), failed = std::move(_failed)] {
				if (shared->closed)
				{
					return;
				}
				kj::Promise<void> pendingCall = connect(target, shared, address).then([shared, address, request] {
					return request(shared->connections.at(address)->client);
				});
				shared->tasks->add(target.timer().timeoutAfter(_timeoutMs * kj::MILLISECONDS, kj::mv(pendingCall)).catch_([&target, shared, address, failed](kj::Exception&&) {
					failed();
					// The connection must not be destroyed from within one of its own promises.
					target.post([shared, address] {
						shared->connections.erase(address);
					});
				}));
			});
		}

	private:
		struct Connection
		{
			explicit Connection(kj::Own<kj::AsyncIoStream> _stream)
			    : stream(kj::mv(_stream))
			    , network(*this->stream)
			    , client(this->network.bootstrap().template castAs<Interface>())
			{
			}

			kj::Own<kj::AsyncIoStream> stream;
			RpcClient network;
			Client client;
		};

		struct State : public kj::TaskSet::ErrorHandler
		{
			State()
			    : tasks(std::make_unique<kj::TaskSet>(*this))
			{
			}

			void taskFailed(kj::Exception&&) override
			{
				// Each call handles its own failure.
			}

			absl::flat_hash_map<std::string, kj::Own<Connection>> connections;
			std::unique_ptr<kj::TaskSet> tasks;
			bool closed = false;
		};

		static kj::Promise<void> connect(RpcLoop& _loop, const std::shared_ptr<State>& _state, const std::string& _address)
		{
			if (_state->connections.contains(_address))
			{
				return kj::READY_NOW;
			}
			return _loop.network().parseAddress(_address).then([](kj::Own<kj::NetworkAddress>&& _target) {
				                                             return _target->connect().attach(kj::mv(_target));
			                                             })
			    .then([state = _state, _address](kj::Own<kj::AsyncIoStream>&& _stream) {
				    kj::Own<Connection>& connection = state->connections[_address];
				    if (nullptr == connection.get())
				    {
					    connection = kj::heap<Connection>(kj::mv(_stream));
				    }
			    });
		}

		RpcLoop& loop;
		std::shared_ptr<State> state;
	};
} // namespace archdyke
