#include "gateway/crashes.h"

#include "base/log.h"
#include "base/process.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Hex digits of a fingerprint: 128 bits.
		constexpr std::size_t kFingerprintDigits = 32;
		/// How long a dead port or a living upstream may take to say so, ms: the way across zones and back.
		/// Longer silence is a cut link or a dead VM, and proves nothing.
		constexpr Millis kCheckMs = 100;
		/// How long a check holds for others whose connections broke with it, ms: those of a group break together.
		constexpr Millis kCheckHoldsMs = 500;
		/// How long the connection of a check may rest, ms.
		constexpr Millis kCheckRestMs = 1'000;

		aio::Task<bool> hasEnded(GatewayState& _state, std::string _address)
		{
			http::ConnectOptions options;
			options.connectTimeoutMs = kCheckMs;
			try
			{
				http::Lease lease = co_await _state.pool.connect(std::move(_address), options);
				_state.pool.giveBack(std::move(lease), kCheckRestMs);
			}
			catch (const kj::Exception& error)
			{
				co_return kj::Exception::Type::DISCONNECTED == error.getType();
			}
			co_return false;
		}

		kj::Promise<bool> check(GatewayState& _state, const UpstreamRecord& _upstream)
		{
			std::map<std::string, CrashCheck>& checks = _state.crashes.checks;
			const Millis now = nowMs();
			std::erase_if(checks, [now](const auto& _check) {
				return kCheckHoldsMs < now - _check.second.begunAt;
			});
			auto found = checks.find(_upstream.incarnation);
			if (checks.end() == found)
			{
				found = checks.emplace(_upstream.incarnation, CrashCheck{hasEnded(_state, _upstream.address).take().fork(), now}).first;
			}
			return found->second.ended.addBranch();
		}
	} // namespace

	const std::string& fingerprintOf(RequestContext& _context)
	{
		if (_context.fingerprint.empty())
		{
			const std::string organisation = nullptr == _context.organisation ? "" : _context.organisation->name;
			const http::RequestHead& head = _context.received.head;
			_context.fingerprint = sha256Hex(head.target + "\n" + organisation + "\n" + _context.received.body).substr(0, kFingerprintDigits);
		}
		return _context.fingerprint;
	}

	aio::Task<void> noteBrokenTry(RequestContext& _context, UpstreamRef _upstream)
	{
		GatewayState& state = _context.state;
		const bool ended = co_await check(state, _upstream->record);
		if (!ended)
		{
			co_return;
		}
		const Crash crash{fingerprintOf(_context), _upstream->record.incarnation};
		if (!noteCrash(state.crashes.table, crash, nowMs()))
		{
			co_return;
		}
		state.counters.upstreamCrashes.Increment();
		logWarning("upstream_crashed", {{"request", _context.caller.id}, {"fingerprint", crash.request}, {"upstream", crash.incarnation}, {"service", _context.service}, {"address", _upstream->record.address}, {"at_once", _upstream->inFlight}, {"crashes_of_request", crashesOf(state.crashes.table, crash.request, nowMs())}});
	}
} // namespace archdyke::gateway
