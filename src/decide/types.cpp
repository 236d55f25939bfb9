#include "archdyke/types.h"

namespace archdyke
{
	std::string_view toString(Outcome _outcome)
	{
		switch (_outcome)
		{
		case Outcome::Ran:
			return "ran";
		case Outcome::NotRun:
			return "not-run";
		default:
			return "unknown";
		}
	}

	std::string_view toString(RefusalReason _reason)
	{
		switch (_reason)
		{
		case RefusalReason::None:
			return "none";
		case RefusalReason::Leaving:
			return "leaving";
		case RefusalReason::Overloaded:
			return "overloaded";
		case RefusalReason::WrongIncarnation:
			return "wrong-incarnation";
		case RefusalReason::OldSession:
			return "old-session";
		case RefusalReason::Duplicate:
			return "duplicate";
		case RefusalReason::Revoked:
			return "revoked";
		case RefusalReason::Deadline:
			return "deadline";
		case RefusalReason::CrashesUpstreams:
			return "crashes_upstreams";
		default:
			return "invalid";
		}
	}
} // namespace archdyke
