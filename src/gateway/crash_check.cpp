#include "gateway/crash_check.h"

#include "aio/task.h"
#include "base/process.h"
#include "gateway/state.h"

namespace archdyke::gateway
{
	namespace
	{
		/// How long a dead port or a living upstream may take to say so, ms: the way across zones and back.
		/// Longer silence is a cut link or a dead VM, and proves nothing.
		constexpr Millis kCheckMs = 400;
		/// A process that ends may close its port after its connections: one that was taken then breaks so soon, ms.
		constexpr Millis kEndingMs = 50;
		/// How long a check holds for others whose connections broke with it, ms: those of a group break together.
		constexpr Millis kCheckHoldsMs = 500;
		/// How long the connection of a check may rest, ms.
		constexpr Millis kCheckRestMs = 1'000;

		/// @returns Whether an upstream's port is dead, or broke the connection that it took.
		aio::Task<bool> refuses(GatewayState& _state, std::string _address)
		{
			http::ConnectOptions options;
			options.connectTimeoutMs = kCheckMs;
			try
			{
				http::Lease lease = co_await _state.pool.connect(std::move(_address), options);
				co_await lease.connection->whenGone().exclusiveJoin(_state.loop.timer.afterDelay(kEndingMs * kj::MILLISECONDS));
				const bool gone = lease.connection->isGone();
				_state.pool.giveBack(std::move(lease), kCheckRestMs);
				co_return gone;
			}
			catch (const kj::Exception& error)
			{
				co_return kj::Exception::Type::DISCONNECTED == error.getType();
			}
		}

		aio::Task<void> look(GatewayState& _state, UpstreamRecord _upstream)
		{
			std::string address = _upstream.address;
			bool ended = co_await refuses(_state, std::move(address));
			if (ended)
			{
				// A living upstream that has its most connections resets one more, too, but doesn't refuse the next.
				std::string again = _upstream.address;
				ended = co_await refuses(_state, std::move(again));
			}
			_state.crashes.checks.at(_upstream.incarnation).ended = ended;
		}
	} // namespace

	CrashCheck& checkOf(GatewayState& _state, const UpstreamRecord& _upstream)
	{
		CrashChecks& checks = _state.crashes.checks;
		const Millis now = nowMs();
		std::erase_if(checks, [now](const auto& _check) {
			return _check.second.ended && kCheckHoldsMs < now - _check.second.begunAt;
		});
		const auto found = checks.find(_upstream.incarnation);
		if (checks.end() != found)
		{
			return found->second;
		}
		CrashCheck& check = checks.emplace(_upstream.incarnation, CrashCheck{now, std::nullopt, nullptr}).first->second;
		check.looking = look(_state, _upstream).take().fork();
		return check;
	}
} // namespace archdyke::gateway
