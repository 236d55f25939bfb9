#include "gateway/crash_check.h"

#include "aio/task.h"
#include "base/process.h"
#include "gateway/state.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Timeout of a connection attempt, ms: covers a round trip across zones. Longer silence means a cut link or a dead
		/// VM, and doesn't prove that the process has ended.
		constexpr Millis kProbeTimeoutMs = 400;
		/// Wait for a new connection to break, ms: a process that ends may still accept one, since it may close its port
		/// after its connections.
		constexpr Millis kCloseDelayMs = 50;
		/// Time for which a positive result is reused, ms: connections of a group break together.
		constexpr Millis kResultValidMs = 500;
		/// Idle timeout of the connection of a check, ms.
		constexpr Millis kProbeIdleTimeoutMs = 1'000;

		/// @returns Whether an upstream's port refused a connection, or accepted one that broke at once.
		aio::Task<bool> isPortDead(GatewayState& _state, std::string _address)
		{
			http::ConnectOptions options;
			options.connectTimeoutMs = kProbeTimeoutMs;
			try
			{
				http::Lease lease = co_await _state.pool.connect(std::move(_address), options);
				co_await lease.connection->whenDisconnected().exclusiveJoin(_state.loop.timer.afterDelay(kCloseDelayMs * kj::MILLISECONDS));
				// A process that sends anything, even if it closes then, hasn't ended.
				const std::optional<http::PartKind> unread = lease.connection->unreadKind();
				const bool gone = lease.connection->isLost() && (http::PartKind::Closed == unread || http::PartKind::Reset == unread);
				_state.pool.returnToPool(std::move(lease), kProbeIdleTimeoutMs);
				co_return gone;
			}
			catch (const kj::Exception& error)
			{
				co_return kj::Exception::Type::DISCONNECTED == error.getType();
			}
		}

		aio::Task<void> probeUpstream(GatewayState& _state, UpstreamRecord _upstream)
		{
			std::string address = _upstream.address;
			bool ended = co_await isPortDead(_state, std::move(address));
			if (ended)
			{
				// A live upstream at its connection limit resets a further connection, too, but accepts the next one.
				std::string again = _upstream.address;
				ended = co_await isPortDead(_state, std::move(again));
			}
			_state.crashes.checks.at(_upstream.incarnation).ended = ended;
		}
	} // namespace

	CrashCheck& crashCheckFor(GatewayState& _state, const UpstreamRecord& _upstream)
	{
		CrashChecks& checks = _state.crashes.checks;
		const Millis now = nowMs();
		std::erase_if(checks, [now](const auto& _check) {
			return _check.second.ended && kResultValidMs < now - _check.second.startedAt;
		});
		const auto found = checks.find(_upstream.incarnation);
		if (checks.end() != found)
		{
			return found->second;
		}
		CrashCheck& check = checks.emplace(_upstream.incarnation, CrashCheck{now, std::nullopt, nullptr}).first->second;
		check.completion = probeUpstream(_state, _upstream).take().fork();
		return check;
	}
} // namespace archdyke::gateway
