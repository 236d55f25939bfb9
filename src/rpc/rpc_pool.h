/// Connections to servers of one Cap'n Proto interface, by address, and calls with a time
/// limit on them.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <capnp/rpc-twoparty.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	/// Answers gathered for a waiting thread. Shared, since late ones still arrive after it
	/// has given up.
	template <typename Answer>
	class Gathering
	{
	public:
		explicit Gathering(std::size_t _count)
		    : pending(_count)
		{
		}

		/// Takes in an answer, or that there is none.
		void add(std::optional<Answer> _answer)
		{
			absl::MutexLock lock(&this->mutex);
			this->pending -= 1;
			if (_answer)
			{
				this->answers.push_back(std::move(*_answer));
			}
		}

		/// @returns What came in time.
		std::vector<Answer> wait(Millis _timeoutMs)
		{
			absl::MutexLock lock(&this->mutex);
			const auto done = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
				return 0 == this->pending;
			};
			this->mutex.AwaitWithTimeout(absl::Condition(&done), absl::Milliseconds(_timeoutMs));
			return this->answers;
		}

	private:
		absl::Mutex mutex;
		std::vector<Answer> answers ABSL_GUARDED_BY(mutex);
		std::size_t pending ABSL_GUARDED_BY(mutex);
	};

	/// Its methods may be called from any thread.
	template <typename Interface>
	class RpcPool
	{
	public:
		using Client = typename Interface::Client;
		/// Makes a call and handles its answer. On the loop's thread.
		using Request = std::function<kj::Promise<void>(Client&)>;

		explicit RpcPool(RpcLoop& _loop)
		    : loop(_loop)
		    , state(std::make_shared<State>())
		{
		}

		/// Ends all calls; none of their functions runs after that.
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

		/// Calls a server. Either _request ends well, or _failed is called once.
		void call(const std::string& _address, Millis _timeoutMs, Request _request, std::function<void()> _failed)
		{
			this->loop.post([&target = this->loop, shared = this->state, address = _address, _timeoutMs, request = std::move(_request), failed = std::move(_failed)] {
				if (shared->closed)
				{
					return;
				}
				kj::Promise<void> calling = connect(target, shared, address).then([shared, address, request] {
					return request(shared->connections.at(address)->client);
				});
				shared->tasks->add(target.timer().timeoutAfter(_timeoutMs * kj::MILLISECONDS, kj::mv(calling)).catch_([&target, shared, address, failed](kj::Exception&&) {
					failed();
					// Not from within one of its own promises.
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
			capnp::TwoPartyClient network;
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
				// Every call handles its own failure.
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
