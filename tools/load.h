/// Load on an office: requests at scheduled times whatever the answers (open loop), each
/// checked for wholeness and ownership, with a ledger of what its caller was told.
#pragma once

#include <atomic>
#include <map>
#include <string>
#include <vector>

#include "archdyke/document.h"
#include "archdyke/types.h"

namespace archdyke::lab
{
	/// Kinds of calls in a mix.
	enum class CallKind
	{
		Streamed,
		Whole,
		Lookup,        ///< Plain, repeatable.
		NotRepeatable, ///< Plain, with an Idempotency-Key.
		Count
	};

	/// One profile of load.
	struct LoadOptions
	{
		std::vector<std::string> entries;       ///< Addresses of callers' side.
		std::vector<std::string> organisations; ///< Whose keys are "key-NAME".
		std::string model;
		std::string plain;
		std::string notRepeatablePath; ///< Of the plain service.
		double perSecond = 50.0;
		std::uint32_t requests = 200;
		std::uint32_t tokens = 24; ///< Of each model answer.
		std::uint32_t threads = 64;
		std::uint64_t seed = 1;
		std::string tokenPrefix = "t"; ///< So that two loads don't share tokens.
		bool repeatLost = true;        ///< Send a call again whose entry gave no answer.
		const std::atomic<bool>* stop = nullptr;
	};

	/// @returns Options for the services and organisations of a file, with no entries yet.
	LoadOptions loadOptionsFor(const Document& _document);

	/// What became of one call.
	struct CallRecord
	{
		CallKind kind = CallKind::Streamed;
		std::string token;
		std::vector<Outcome> told; ///< For each sending that got a final answer.
		int lost = 0;              ///< Sendings without an answer.
		int status = 0;            ///< Of the last answer.
		bool whole = false;        ///< An answer came whole and is this call's own.
		bool foreign = false;      ///< Bytes that aren't this call's.
		bool cutClean = false;     ///< An answer ended cleanly and is not whole.
		bool brokenTold = false;   ///< An answer broke off and the caller could see it.
		std::string reason;        ///< Of a final answer that is not an upstream's.
		double firstMs = -1.0;     ///< From the scheduled time to the first byte.
		double totalMs = -1.0;
		std::string upstream;
		Millis begunAt = 0; ///< On nowMs.
	};

	struct LoadResult
	{
		std::vector<CallRecord> calls;
	};

	LoadResult runLoad(const LoadOptions& _options);

	/// The same with calls of one kind only: lookups of the plain service, or streams.
	LoadResult runPlain(const LoadOptions& _options);
	LoadResult runStreams(const LoadOptions& _options);

	/// Sends one call through one entry.
	CallRecord sendCall(const LoadOptions& _options, CallKind _kind, const std::string& _token, const std::string& _entry, const std::string& _organisation);

	/// What is wrong by the records of both sides.
	struct Violations
	{
		int foreign = 0;     ///< A caller got bytes that aren't its own.
		int cutClean = 0;    ///< A cut answer ended as if it were whole.
		int falseNotRun = 0; ///< Told not run, and it ran.
		int doubled = 0;     ///< Not repeatable, and it ran more than once.
		int silent = 0;      ///< No final answer though its entry lives.

		bool operator==(const Violations&) const = default;
		int total() const;
	};

	/// @param[in] _runs How often each token ran, from the stand-ins.
	Violations judge(const LoadResult& _result, const std::map<std::string, int>& _runs);

	/// Figures of a load for people.
	struct LoadFigures
	{
		std::uint32_t calls = 0;
		std::uint32_t whole = 0;
		std::uint32_t notRun = 0;
		std::uint32_t unknown = 0;
		std::uint32_t broken = 0;
		std::map<std::string, int> reasons;
		double firstP50 = 0.0; ///< ms, of whole streamed answers; likewise below.
		double firstP95 = 0.0;
		double firstP99 = 0.0;
		double totalP50 = 0.0; ///< ms, of all whole answers.
		double totalP99 = 0.0;
	};

	LoadFigures figuresOf(const LoadResult& _result);

	/// @returns The _share quantile; 0 for no values.
	double quantile(std::vector<double> _values, double _share);
} // namespace archdyke::lab
