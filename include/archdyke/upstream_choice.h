/// Chooses the upstream of a service that gets a request, by load, health and zone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// An upstream process as registered in the list of upstreams.
	struct UpstreamRecord
	{
		std::string incarnation; ///< Random ID of this run of the process.
		std::string service;
		std::string address; ///< IP:port.
		std::string zone;
		std::uint32_t slots = 1;         ///< Requests that it can process at once.
		bool leaving = false;            ///< Accepts no new requests.
		std::optional<Millis> coldForMs; ///< Remaining cold time when it registered, ms; none if it doesn't report one.
		Millis startedAt = 0;            ///< Unix time of its start, ms; 0 if it doesn't report one. A process with a later start supersedes the earlier one and has none of its state.

		bool operator==(const UpstreamRecord&) const = default;
	};

	/// An upstream to choose from.
	struct UpstreamCandidate
	{
		double load = 0.0; ///< Running and queued requests.
		std::uint32_t slots = 1;
		bool ownZone = false;
		bool suspended = false;   ///< Failed recently; used only if no healthy one is left.
		bool excluded = false;    ///< This request was already sent there.
		double failureRate = 0.0; ///< Share of its recent responses that failed, 0 to 1.
		double pace = 1.0;        ///< Step time relative to the declared one; 1 when unknown.

		bool operator==(const UpstreamCandidate&) const = default;
	};

	/// Chooses the less loaded of two random upstreams, or the least loaded of all if that one
	/// is full.
	/// @returns Index of the chosen one; none when all are excluded.
	/// @remarks Load reports are about 100 ms old and shared by many gateways: if each chose the
	/// least loaded upstream, all would choose the same one. M. Mitzenmacher, "How Useful Is Old
	/// Information?", IEEE TPDS 11(1), 2000.
	std::optional<std::size_t> chooseUpstream(const std::vector<UpstreamCandidate>& _candidates, Random& _random);

	/// Baseline for comparison: always chooses the least loaded upstream.
	/// @returns Index of the chosen one; none when all are excluded.
	std::optional<std::size_t> chooseLeastLoaded(const std::vector<UpstreamCandidate>& _candidates);

	/// Health of an upstream, derived from its recent responses.
	struct UpstreamHealth
	{
		double failureRate = 0.0; ///< Moving average of failed responses, 0 to 1.
		std::uint32_t consecutiveFailures = 0;
		Millis suspendedUntil = 0;

		bool operator==(const UpstreamHealth&) const = default;
	};

	/// Records the result of an attempt at the upstream.
	void recordAttempt(UpstreamHealth& _health, bool _failed, Millis _now);

	/// @returns Whether the upstream is suspended: it gets a request only if no healthy one is left.
	bool isSuspended(const UpstreamHealth& _health, Millis _now);
} // namespace archdyke
