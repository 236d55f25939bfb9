/// Open-loop load on an office: requests are sent at scheduled times, independent of the responses.
/// Each response is checked to be complete and to belong to its request, and the reported outcome is recorded.
#pragma once

#include <atomic>
#include <map>
#include <string>
#include <vector>

#include "archdyke/document.h"
#include "archdyke/types.h"

namespace archdyke::lab
{
	/// Kinds of calls of a load.
	enum class CallKind
	{
		Streamed,
		Whole,
		Lookup,        ///< Plain, repeatable.
		NotRepeatable, ///< Plain, with an Idempotency-Key.
		Count
	};

	/// Options of a load.
	struct LoadOptions
	{
		std::vector<std::string> entries;       ///< Addresses for callers.
		std::vector<std::string> organisations; ///< Their API keys are "key-NAME".
		std::string model;
		std::string plain;
		std::string notRepeatablePath; ///< Path prefix of the plain service.
		double perSecond = 50.0;
		std::uint32_t requests = 200;
		std::uint32_t tokens = 24; ///< Tokens of each model response.
		std::uint32_t threads = 64;
		std::uint64_t seed = 1;
		std::string tokenPrefix = "t"; ///< Must differ between loads on the same office.
		bool retryLost = true;         ///< Retry a call without any response at the next entry.
		const std::atomic<bool>* stop = nullptr;
	};

	/// @returns Options for the services and organisations of a file, without entries.
	LoadOptions loadOptionsFor(const Document& _document);

	/// Result of one call.
	struct CallRecord
	{
		CallKind kind = CallKind::Streamed;
		std::string token;
		std::vector<Outcome> told;     ///< Reported outcome of each attempt with a response.
		int lost = 0;                  ///< Number of attempts without a response.
		int status = 0;                ///< HTTP status of the last response.
		bool whole = false;            ///< The response is complete and belongs to this call.
		bool foreign = false;          ///< The response has bytes that don't belong to this call.
		bool cleanlyTruncated = false; ///< The response is truncated but ended without an error.
		bool visiblyBroken = false;    ///< The response is truncated and the caller could detect it.
		std::string reason;            ///< Reason of a final response that is not an upstream's.
		double firstByteMs = -1.0;     ///< Time from the scheduled start to the first byte, ms; negative: none.
		double totalMs = -1.0;         ///< Time from the scheduled start to the end, ms.
		std::string upstream;
		Millis begunAt = 0; ///< On the clock of nowMs().
	};

	struct LoadResult
	{
		std::vector<CallRecord> calls;
	};

	/// Runs a load with calls of all kinds.
	LoadResult runLoad(const LoadOptions& _options);

	/// Run a load with calls of one kind only: lookups of the plain service, or streamed calls.
	LoadResult runPlain(const LoadOptions& _options);
	LoadResult runStreams(const LoadOptions& _options);

	/// Sends one call through one entry.
	CallRecord sendCall(const LoadOptions& _options, CallKind _kind, const std::string& _token, const std::string& _entry, const std::string& _organisation);

	/// Violations found by comparing the callers' records with those of the stand-ins.
	struct Violations
	{
		int foreign = 0;          ///< A response had bytes of another call.
		int cleanlyTruncated = 0; ///< A truncated response ended as if it were complete.
		int ranDespiteNotRun = 0; ///< The caller was told that the call did not run, but it ran.
		int doubled = 0;          ///< A call that is not repeatable ran more than once.
		int silent = 0;           ///< No attempt got a final response.

		bool operator==(const Violations&) const = default;
		int total() const;
	};

	/// Counts the violations of a load.
	/// @param[in] _runs Number of runs of each token, from the stand-ins.
	Violations judge(const LoadResult& _result, const std::map<std::string, int>& _runs);

	/// Summary of a load.
	struct LoadSummary
	{
		std::uint32_t calls = 0;
		std::uint32_t whole = 0;
		std::uint32_t notRun = 0;
		std::uint32_t unknown = 0;
		std::uint32_t broken = 0;
		std::map<std::string, int> reasons;
		double firstP50 = 0.0; ///< Time to the first byte of complete streamed responses, ms; likewise below.
		double firstP95 = 0.0;
		double firstP99 = 0.0;
		double totalP50 = 0.0; ///< Total time of all complete responses, ms.
		double totalP99 = 0.0;
	};

	LoadSummary summarizeLoad(const LoadResult& _result);

	/// @returns The _share quantile; 0 for no values.
	double quantile(std::vector<double> _values, double _share);
} // namespace archdyke::lab
