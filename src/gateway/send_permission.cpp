#include "gateway/send_permission.h"

#include "archdyke/key_permission.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		constexpr int kUnauthorized = 401;
		/// The configuration's proof must be younger than the bound on key revocation by this margin, ms:
		/// it covers clock rounding and the request's network latency.
		constexpr Millis kProofMarginMs = 300;

		/// @returns The refusal for a cause that a request can't run for any more.
		Refusal makeRefusal(RequestContext& _context, RefusalCause _cause)
		{
			if (_context.maybeRunning)
			{
				return {kBadGateway, std::nullopt, std::string(toString(_cause))};
			}
			return refuseNotRun(_context, _cause);
		}

		/// Judges the key, and sets in whose name the request runs.
		std::optional<Refusal> refuseKey(RequestContext& _context)
		{
			const GatewayState& state = _context.state;
			const CatalogIndex& newest = nullptr == state.catalog ? *_context.catalog : *state.catalog;
			if (newest.catalog.organisations.empty())
			{
				return std::nullopt;
			}
			const CatalogOrganisation* organisation = findOrganisation(newest, _context.caller.key);
			const KeyCheck check{_context.route->isPublic, nullptr != organisation, state.settings.bounds.strictRevocation, proofAge(state.freshness, nowMs()), state.settings.bounds.revocationMs - kProofMarginMs};
			switch (judgeKey(check))
			{
			case KeyPermission::Named:
				_context.organisation = organisation->name;
				return std::nullopt;
			case KeyPermission::StaleProof:
				return makeRefusal(_context, RefusalCause::StaleProof);
			case KeyPermission::UnknownKey:
				return Refusal{_context.maybeRunning ? kBadGateway : kUnauthorized, std::nullopt, "unknown_key"};
			default:
				_context.organisation.clear();
				return std::nullopt;
			}
		}
	} // namespace

	Refusal refuseStopped(RequestContext& _context)
	{
		return makeRefusal(_context, RefusalCause::Leaving);
	}

	Refusal deadlineRefusal(RequestContext& _context)
	{
		if (_context.maybeRunning)
		{
			return {kGatewayTimeout, std::nullopt, "deadline_over"};
		}
		Refusal refusal = refuseNotRun(_context, RefusalCause::Overloaded);
		refusal.reason = "deadline_over_before_a_send";
		return refusal;
	}

	std::optional<Refusal> refuseSend(RequestContext& _context)
	{
		const Millis now = nowMs();
		if (_context.deadlineAt <= now)
		{
			return deadlineRefusal(_context);
		}
		if (!mayBegin(_context.state.stop, _context.deadlineAt, now))
		{
			return refuseStopped(_context);
		}
		return refuseKey(_context);
	}
} // namespace archdyke::gateway
