/// Which upstream of a service gets a request, by what is known of each.
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
	/// An upstream process as the list of upstreams names it.
	struct UpstreamRecord
	{
		std::string incarnation; ///< Random name of one run of the process.
		std::string service;
		std::string address; ///< IP:port.
		std::string zone;
		std::uint32_t slots = 1;         ///< Requests at once.
		bool leaving = false;            ///< Takes no new work.
		std::optional<Millis> coldForMs; ///< How much longer it was cold when it said so; none: it doesn't say.
		Millis startedAt = 0;            ///< Unix time of its start, ms; 0: it doesn't say. A later one holds and knows nothing of before.

		bool operator==(const UpstreamRecord&) const = default;
	};

	/// An upstream that may be chosen.
	struct UpstreamCandidate
	{
		double load = 0.0; ///< Requests there, running and waiting.
		std::uint32_t slots = 1;
		bool ownZone = false;
		bool suspended = false;   ///< Failed lately; used only when all are.
		bool excluded = false;    ///< This request was there already.
		double failureRate = 0.0; ///< Share of its late answers that failed, 0 to 1.
		double pace = 1.0;        ///< Time of its steps against the declared one; 1 when unknown.

		bool operator==(const UpstreamCandidate&) const = default;
	};

	/// Chooses the less loaded of two upstreams drawn at random; the least loaded of all when
	/// that one is full.
	/// @returns Index of the chosen one; none when all are excluded.
	/// @remarks Loads are some 100 ms old and many gateways look at the same ones: if all took
	/// the least loaded one, they would take the same. M. Mitzenmacher, "How Useful Is Old
	/// Information?", IEEE TPDS 11(1), 2000.
	std::optional<std::size_t> chooseUpstream(const std::vector<UpstreamCandidate>& _candidates, Random& _random);

	/// Naive version, for comparison: always the least loaded one.
	/// @returns Index of the chosen one; none when all are excluded.
	std::optional<std::size_t> chooseLeastLoaded(const std::vector<UpstreamCandidate>& _candidates);

	/// What the last answers of an upstream say of its health.
	struct UpstreamHealth
	{
		double failureRate = 0.0; ///< Moving mean of failed answers, 0 to 1.
		std::uint32_t failuresInARow = 0;
		Millis suspendedUntil = 0;

		bool operator==(const UpstreamHealth&) const = default;
	};

	/// Takes in how a try ended there.
	void noteTry(UpstreamHealth& _health, bool _failed, Millis _now);

	/// @returns Whether only a request that has no other choice goes there.
	bool isSuspended(const UpstreamHealth& _health, Millis _now);
} // namespace archdyke
