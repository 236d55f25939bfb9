/// Upstreams that crash while they run requests, as one gateway sees it.
#pragma once

#include <kj/async.h>
#include <map>
#include <string>

#include "aio/task.h"
#include "archdyke/crash_blame.h"
#include "gateway/board.h"

namespace archdyke::gateway
{
	struct RequestContext;

	/// A look whether an upstream's process is there.
	struct CrashCheck
	{
		kj::ForkedPromise<bool> ended; ///< Whether it has ended.
		Millis begunAt = 0;
	};

	/// What a gateway knows of crashes.
	struct CrashRecord
	{
		CrashTable table;
		std::map<std::string, CrashCheck> checks; ///< By incarnation.
	};

	/// @returns What a request has in common with its caller's repeats, through whichever gateway: target,
	/// organisation and body; 32 hex digits.
	const std::string& fingerprintOf(RequestContext& _context);

	/// A connection broke while its upstream had a request. Finds out whether the upstream has ended, and holds it
	/// against the request if so.
	aio::Task<void> noteBrokenTry(RequestContext& _context, UpstreamRef _upstream);
} // namespace archdyke::gateway
