/// A seeded run of the programs for the users' platform under load, where faults come in series,
/// overlap and come twice. What callers got and what upstreams ran judges it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chaos.h"

namespace archdyke::lab
{
	enum class SoakKind
	{
		Safe,   ///< May run more than once.
		Once,   ///< May run at most once.
		Stream, ///< Twelve events; may be resumed.
		Crash,  ///< Ends each upstream that begins to run it; may run more than once.
		Count
	};

	/// What one caller's request came to. Times are the machine's steady clock, ms.
	struct SoakCall
	{
		std::string id;
		SoakKind kind = SoakKind::Safe;
		std::string key;
		std::string gateway;
		Millis sentAt = 0;
		Millis endedAt = 0;
		int status = 0;     ///< 0: no whole answer.
		bool whole = false; ///< The body is the one that an upstream gives this request.
		std::string target; ///< Path and query.
	};

	/// That an upstream began a request.
	struct SoakRun
	{
		std::string request;
		std::string upstream; ///< Incarnation.
		Millis at = 0;
		bool saidLeaving = false; ///< Its answer says that the upstream leaves.
	};

	/// That an upstream turned a request away.
	struct SoakRefusal
	{
		std::string request;
		std::string upstream; ///< Incarnation.
		Millis at = 0;
		Millis askedMs = 0; ///< For so long it wants nothing from the gateway; 0: it didn't say.
	};

	/// Something that happened to a part of the deployment.
	struct SoakSpan
	{
		std::string part; ///< Name of a gateway, upstream or rank; "store"; "links".
		FaultKind kind = FaultKind::Count;
		Millis from = 0;
		Millis until = 0;
	};

	/// @returns Whether it was so at any time from _from to _until.
	bool overlaps(const SoakSpan& _span, Millis _from, Millis _until);

	/// All that is known of a run when it is over.
	struct SoakRecord
	{
		std::vector<SoakCall> calls;
		std::vector<SoakRun> runs;
		std::vector<SoakRefusal> refusals;
		std::vector<SoakSpan> spans;
		std::map<std::string, Millis> withdrawnAt; ///< By key: when the store confirmed it.
		std::map<std::string, Millis> leavingAt;   ///< By upstream: the same.
		std::set<std::string> heldKeys;            ///< Held by any configuration.
	};

	/// The bounds that a run is judged by, ms.
	struct SoakBounds
	{
		Millis revocationMs = 4'000; ///< A withdrawn key works no longer.
		Millis drainMs = 2'000;      ///< An upstream that leaves gets no new work.
		Millis contactMs = 3'000;    ///< After trouble this long, a gateway is bound again.
		Millis graceMs = 8'000;      ///< From the stop signal to the kill.
		Millis backOffSlackMs = 500; ///< What is under way when an upstream asks for nothing may still come.
		Millis lossSlackMs = 200;    ///< A request that was cut sooner may not have been read.
	};

	/// Promises that were broken, each with a line that says where.
	struct SoakViolations
	{
		std::vector<std::string> lines;
		std::map<std::string, int> byKind;

		void add(const std::string& _kind, const std::string& _line);
		int total() const;
	};

	/// Judges a run by what callers and upstreams saw.
	SoakViolations judgeSoak(const SoakRecord& _record, const SoakBounds& _bounds);

	struct SoakResult
	{
		std::map<std::string, int> faults; ///< By kind.
		std::map<int, int> statuses;       ///< Calls by status.
		SoakViolations violations;
	};

	/// Runs one seed. The logs stay in a directory of their own if anything was violated.
	SoakResult runSoak(const ChaosOptions& _options);
} // namespace archdyke::lab
