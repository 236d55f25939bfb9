/// Lets C++ coroutines return and await kj promises.
///
/// A coroutine that returns Task<T> starts at once and runs on the event loop of its thread.
/// Destroying the task, or the promise taken from it, cancels the coroutine: its frame is destroyed together
/// with whatever it awaits. A coroutine must not destroy its own task while it runs.
#pragma once

#include <coroutine>
#include <exception>
#include <kj/async.h>
#include <kj/debug.h>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace archdyke::aio
{
	namespace detail
	{
		template <typename T>
		class Awaiter;

		template <typename T>
		struct Coroutine;
	} // namespace detail

	/// Return type of coroutines. Wraps a promise because g++ 12 fails on coroutine return types whose
	/// destructor may throw, such as kj::Promise.
	template <typename T>
	class [[nodiscard]] Task
	{
	public:
		using promise_type = detail::Coroutine<T>;

		Task(kj::Promise<T>&& _promise) // NOLINT(google-explicit-constructor): a promise is a task
		    : promise(kj::mv(_promise))
		{
		}

		Task(Task&& _other) noexcept
		    : promise(kj::mv(_other.promise))
		{
		}

		Task(const Task&) = delete;
		Task& operator=(const Task&) = delete;
		Task& operator=(Task&&) = delete;

		~Task() noexcept
		{
		}

		/// Moves the promise out of the task.
		kj::Promise<T> take()
		{
			return kj::mv(this->promise);
		}

	private:
		kj::Promise<T> promise;
	};

	namespace detail
	{
		/// Owns a coroutine's frame; lives as long as the promise that it is attached to.
		class FrameOwner
		{
		public:
			explicit FrameOwner(std::coroutine_handle<> _frame)
			    : frame(_frame)
			{
			}

			FrameOwner(FrameOwner&& _other) noexcept
			    : frame(std::exchange(_other.frame, nullptr))
			{
			}

			FrameOwner(const FrameOwner&) = delete;
			FrameOwner& operator=(const FrameOwner&) = delete;
			FrameOwner& operator=(FrameOwner&&) = delete;

			~FrameOwner()
			{
				if (this->frame)
				{
					this->frame.destroy();
				}
			}

		private:
			std::coroutine_handle<> frame;
		};

		/// @returns The exception being handled, converted to a kj::Exception.
		inline kj::Exception currentException()
		{
			try
			{
				throw;
			}
			catch (kj::Exception& error)
			{
				return kj::mv(error);
			}
			catch (const std::exception& error)
			{
				return KJ_EXCEPTION(FAILED, error.what());
			}
		}

		template <typename T>
		struct CoroutineBase
		{
			// g++ 12 fails on aggregates as promise types of coroutines.
			CoroutineBase() = default;
			CoroutineBase(const CoroutineBase&) = delete;
			CoroutineBase& operator=(const CoroutineBase&) = delete;

			kj::Own<kj::PromiseFulfiller<T>> fulfiller;

			Task<T> makeTask(std::coroutine_handle<> _frame)
			{
				auto paf = kj::newPromiseAndFulfiller<T>();
				this->fulfiller = kj::mv(paf.fulfiller);
				return paf.promise.attach(FrameOwner(_frame));
			}

			std::suspend_never initial_suspend() noexcept
			{
				return {};
			}

			std::suspend_always final_suspend() noexcept
			{
				return {};
			}

			/// Any kj promise can be awaited.
			template <typename U>
			Awaiter<U> await_transform(kj::Promise<U>&& _promise)
			{
				return Awaiter<U>(kj::mv(_promise));
			}

			template <typename U>
			Awaiter<U> await_transform(Task<U>&& _task)
			{
				return Awaiter<U>(_task.take());
			}

			void unhandled_exception()
			{
				this->fulfiller->reject(currentException());
			}
		};

		template <typename T>
		struct Coroutine : CoroutineBase<T>
		{
			Coroutine() = default;

			Task<T> get_return_object()
			{
				return this->makeTask(std::coroutine_handle<Coroutine>::from_promise(*this));
			}

			void return_value(T _value)
			{
				this->fulfiller->fulfill(kj::mv(_value));
			}
		};

		template <>
		struct Coroutine<void> : CoroutineBase<void>
		{
			Coroutine() = default;

			Task<void> get_return_object()
			{
				return this->makeTask(std::coroutine_handle<Coroutine>::from_promise(*this));
			}

			void return_void()
			{
				this->fulfiller->fulfill();
			}
		};

		/// Outcome of a promise: a value or an exception.
		template <typename T>
		struct Result
		{
			std::optional<T> value;
			kj::Maybe<kj::Exception> error;

			T take()
			{
				return kj::mv(*this->value);
			}
		};

		template <>
		struct Result<void>
		{
			kj::Maybe<kj::Exception> error;

			void take()
			{
			}
		};

		/// Awaits a promise. kj doesn't allow a callback to destroy its own promise, so the coroutine is resumed in
		/// a separate event, which does nothing if the frame has been destroyed in the meantime.
		template <typename T>
		class Awaiter
		{
		public:
			explicit Awaiter(kj::Promise<T>&& _promise)
			    : promise(kj::mv(_promise))
			    , alive(std::make_shared<bool>(true))
			{
			}

			~Awaiter()
			{
				*this->alive = false;
			}

			Awaiter(const Awaiter&) = delete;
			Awaiter& operator=(const Awaiter&) = delete;

			bool await_ready() const noexcept
			{
				return false;
			}

			void await_suspend(std::coroutine_handle<> _frame)
			{
				this->waiting = this->store(kj::mv(this->promise))
				                    .then([this, _frame] {
					                    this->resumeLater(_frame);
				                    },
				                          [this, _frame](kj::Exception&& _error) {
					this->result.error = kj::mv(_error);
					this->resumeLater(_frame);
				                    })
				    .eagerlyEvaluate(nullptr);
			}

			T await_resume()
			{
				KJ_IF_MAYBE (error, this->result.error)
				{
					kj::throwFatalException(kj::mv(*error));
				}
				return this->result.take();
			}

		private:
			kj::Promise<void> store(kj::Promise<T>&& _promise)
			{
				if constexpr (std::is_void_v<T>)
				{
					return kj::mv(_promise);
				}
				else
				{
					return _promise.then([this](T&& _value) {
						this->result.value.emplace(kj::mv(_value));
					});
				}
			}

			void resumeLater(std::coroutine_handle<> _frame)
			{
				kj::evalLater([_frame, stillAlive = this->alive] {
					if (*stillAlive)
					{
						_frame.resume();
					}
				}).detach([](kj::Exception&&) {});
			}

			kj::Promise<T> promise;
			kj::Promise<void> waiting = nullptr;
			std::shared_ptr<bool> alive;
			Result<T> result;
		};
	} // namespace detail
} // namespace archdyke::aio
