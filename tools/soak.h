/// A seeded run of the programs for the users' platform under load, with faults that overlap, repeat
/// and come in series. The responses to callers and the runs of upstreams are checked for violations.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chaos.h"

namespace archdyke::lab
{
	/// Kinds of requests.
	enum class SoakKind
	{
		Safe,   ///< May run more than once.
		Once,   ///< May run at most once.
		Stream, ///< A stream of twelve events; may be resumed.
		Crash,  ///< Crashes each upstream that starts to run it, or any other request with the same part; may run more than once.
		Count
	};

	/// Result of one caller's request. Times are on the machine's steady clock, ms.
	struct SoakCall
	{
		std::string id;
		SoakKind kind = SoakKind::Safe;
		std::string key;
		std::string gateway;
		Millis sentAt = 0;
		Millis endedAt = 0;
		int status = 0;      ///< HTTP status; 0: no complete response.
		bool whole = false;  ///< The body is the one that an upstream returns for this request.
		std::string target;  ///< Path and query.
		std::string badPart; ///< Part of its prompt that crashes upstreams; empty: none.
		std::string stamp;   ///< Stamp of the response; empty: none, as in responses of the gateway itself.
		std::string body;    ///< Body of a stamped response.
	};

	/// An upstream started to run a request.
	struct SoakRun
	{
		std::string request;
		std::string upstream; ///< Incarnation.
		Millis at = 0;
		bool saidLeaving = false; ///< The response says that the upstream is leaving.
		double limitPerS = 0.0;   ///< Limit that the response names, requests per second; 0: none.
	};

	/// An upstream rejected a request.
	struct SoakRejection
	{
		std::string request;
		std::string upstream; ///< Incarnation.
		Millis at = 0;
		Millis backOffMs = 0; ///< Requested back-off of the gateway; 0: none.
	};

	/// An upstream named a limit of requests per second from all gateways together.
	struct SoakLimit
	{
		std::string upstream; ///< Incarnation.
		double perSecond = 0.0;
		Millis from = 0;
		Millis until = 0;
	};

	/// A gateway or sidecar exited although it was neither killed nor asked to stop.
	struct SoakExit
	{
		std::string part;
		Millis at = 0;
		int status = 0; ///< Exit code, or the negated number of the signal that ended it.
	};

	/// The time in which a fault affected a part of the deployment.
	struct FaultSpan
	{
		std::string part; ///< Name of a gateway, upstream or rank; "store"; "links".
		FaultKind kind = FaultKind::Count;
		Millis from = 0;
		Millis until = 0;
	};

	/// @returns Whether the fault was active at any time from _from to _until.
	bool overlaps(const FaultSpan& _span, Millis _from, Millis _until);

	/// Everything recorded in a run.
	struct SoakRecord
	{
		std::vector<SoakCall> calls;
		std::vector<SoakRun> runs;
		std::vector<SoakRejection> rejections;
		std::vector<SoakLimit> limits;
		std::vector<FaultSpan> spans;
		std::vector<SoakExit> exits;
		std::map<std::string, Millis> revokedAt; ///< By key: when the store confirmed the revocation.
		std::map<std::string, Millis> leavingAt; ///< By upstream: when the store confirmed its draining state.
		std::set<std::string> knownKeys;         ///< Keys of any configuration so far.
	};

	/// Time limits of the checks, ms.
	struct SoakBounds
	{
		Millis revocationMs = 4'000;  ///< Until a revoked key is rejected.
		Millis drainMs = 2'000;       ///< Until a leaving upstream gets no new requests.
		Millis contactMs = 3'000;     ///< After a fault, the time limits apply to a gateway again after this time.
		Millis graceMs = 8'000;       ///< Time between the stop signal and the kill.
		Millis backOffSlackMs = 500;  ///< Requests in flight when an upstream asks for back-off may still arrive.
		Millis limitWindowMs = 4'000; ///< Span in which the arrivals at an upstream that names a limit are counted.
		double limitOvershoot = 1.5;  ///< Allowed arrivals in it relative to the limit.
		double limitAllowance = 5.0;  ///< Further allowed arrivals.
		Millis limitHeardMs = 500;    ///< A limit applies to a gateway from this time after it forwarded a response that names it.
		Millis stutterTailMs = 5'000; ///< Idle connections may carry bytes of a stutter for this long after its end.
		Millis lossSlackMs = 200;     ///< A request that was cut off sooner may not have been read by the gateway.
	};

	/// Violated guarantees, each with a line of details.
	struct SoakViolations
	{
		std::vector<std::string> lines;
		std::map<std::string, int> byKind;

		void add(const std::string& _kind, const std::string& _line);
		int total() const;
	};

	/// Checks the records of callers and upstreams for violations.
	SoakViolations findSoakViolations(const SoakRecord& _record, const SoakBounds& _bounds);

	struct SoakResult
	{
		std::map<std::string, int> faults; ///< Number of faults by kind.
		std::map<int, int> statuses;       ///< Number of calls by status.
		SoakViolations violations;
	};

	/// Runs one seed. Keeps the directory of logs if there were violations.
	SoakResult runSoak(const ChaosOptions& _options);
} // namespace archdyke::lab
