#include "gateway/crashes.h"

#include <absl/hash/hash.h>

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
		/// Crashes that wait to be told, at most: beyond that the store is away, and they are told by none.
		constexpr std::size_t kMostUntold = 1'000;

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

		std::string callerOf(const RequestContext& _context)
		{
			return nullptr == _context.organisation ? "" : _context.organisation->name;
		}

		/// @returns What a request has in common with its caller's repeats, through whichever gateway: target,
		/// organisation and body.
		const std::string& fingerprintOf(RequestContext& _context)
		{
			if (_context.fingerprint.empty())
			{
				_context.fingerprint = sha256Hex(_context.received.head.target + "\n" + callerOf(_context) + "\n" + _context.received.body).substr(0, kFingerprintDigits);
			}
			return _context.fingerprint;
		}

		/// @returns The same for this process alone, at a fraction of the cost.
		std::size_t hashOf(const RequestContext& _context)
		{
			return absl::HashOf(_context.received.head.target, callerOf(_context), _context.received.body);
		}

		void logIfRefused(const CrashTable& _table, const std::string& _request, Millis _now)
		{
			if (kCrashesToRefuse == crashesOf(_table, _request, _now))
			{
				logError("request_refused_for_crashes", {{"fingerprint", _request}, {"crashes", kCrashesToRefuse}, {"for_ms", refusedForMs(_table, _request, _now).value_or(0)}, {"remedy", "look at the upstreams' logs; remove its rows from the table archdyke_crashes to let it run again"}});
			}
		}
	} // namespace

	aio::Task<void> noteBrokenTry(RequestContext& _context, UpstreamRef _upstream)
	{
		GatewayState& state = _context.state;
		const bool ended = co_await check(state, _upstream->record);
		if (!ended)
		{
			co_return;
		}
		const Millis now = nowMs();
		if (ranLately(state.crashes.runs, hashOf(_context), now))
		{
			logInfo("upstream_crashed_by_others", {{"request", _context.caller.id}, {"upstream", _upstream->record.incarnation}, {"service", _context.service}});
			co_return;
		}
		const Crash crash{fingerprintOf(_context), _upstream->record.incarnation};
		if (!noteCrash(state.crashes.table, crash, now))
		{
			co_return;
		}
		if (state.crashes.untold.size() < kMostUntold)
		{
			state.crashes.untold.push_back({crash, now, 1 < crashesOf(state.crashes.table, crash.request, now)});
		}
		state.counters.upstreamCrashes.Increment();
		logWarning("upstream_crashed", {{"request", _context.caller.id}, {"fingerprint", crash.request}, {"upstream", crash.incarnation}, {"service", _context.service}, {"address", _upstream->record.address}, {"at_once", _upstream->inFlight}, {"crashes_of_request", crashesOf(state.crashes.table, crash.request, now)}});
		logIfRefused(state.crashes.table, crash.request, now);
	}

	void noteWholeRun(RequestContext& _context)
	{
		CrashRecord& record = _context.state.crashes;
		noteRun(record.runs, hashOf(_context), nowMs());
		if (record.table.crashes.empty())
		{
			return;
		}
		removeFromStore(record, clearRequest(record.table, fingerprintOf(_context)), nowMs());
	}

	void removeFromStore(CrashRecord& _record, std::vector<Crash> _crashes, Millis _now)
	{
		std::erase_if(_crashes, [&](const Crash& _crash) {
			return 0 < std::erase_if(_record.untold, [&](const UntoldCrash& _untold) {
				       return _untold.crash == _crash;
			       });
		});
		_record.clearedSince = _record.cleared.empty() ? _now : _record.clearedSince;
		_record.cleared.insert(_record.cleared.end(), _crashes.begin(), _crashes.end());
	}

	std::optional<Millis> crashRefusalMs(RequestContext& _context)
	{
		const CrashTable& table = _context.state.crashes.table;
		return table.crashes.empty() ? std::nullopt : refusedForMs(table, fingerprintOf(_context), nowMs());
	}

	void takeCrash(CrashRecord& _record, const Crash& _crash, Millis _at)
	{
		if (noteCrash(_record.table, _crash, _at))
		{
			logIfRefused(_record.table, _crash.request, nowMs());
		}
	}
} // namespace archdyke::gateway
