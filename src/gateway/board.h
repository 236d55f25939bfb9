/// The upstreams that one gateway knows: who they are, what load they have, how they fare.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "archdyke/upstream_choice.h"

namespace archdyke::gateway
{
	/// What a load report says of one upstream.
	struct ReportedLoad
	{
		std::uint32_t requests = 0; ///< Running and waiting there, of all gateways.
		Millis at = 0;              ///< Own clock when it came.
		std::uint32_t ownThen = 0;  ///< Of these, how many were this gateway's then.

		bool operator==(const ReportedLoad&) const = default;
	};

	/// One upstream process. Kept while requests are at it, also once it is gone.
	struct Upstream
	{
		UpstreamRecord record;
		std::uint32_t inFlight = 0; ///< Of this gateway.
		std::optional<ReportedLoad> reported;
		UpstreamHealth health;
		std::optional<Millis> leavingSince; ///< Own clock; stays for this incarnation.
	};

	using UpstreamRef = std::shared_ptr<Upstream>;

	/// @returns Requests at an upstream: as reported, corrected by what this gateway sent and
	/// finished since; without a recent report what this gateway has there.
	double loadOf(const Upstream& _upstream, Millis _now);

	/// Load of the upstreams of a service.
	struct BoardLoad
	{
		double least = 0.0;
		double mean = 0.0;
		std::size_t upstreams = 0;

		bool operator==(const BoardLoad&) const = default;
	};

	class Board
	{
	public:
		explicit Board(std::string _zone);

		/// Takes in a row of the list of upstreams. Leaving stays for an incarnation.
		/// @returns Whether it changed what may be chosen.
		bool learn(const UpstreamRecord& _record, Millis _now);

		/// The list names the upstream no longer.
		void forget(const std::string& _incarnation, Millis _now);

		/// Takes in a whole list: what it doesn't name is gone.
		void replaceAll(const std::vector<UpstreamRecord>& _records, Millis _now);

		/// Takes in the reported load of the upstream at an address.
		void report(const std::string& _address, std::uint32_t _requests, Millis _now);

		/// @returns An upstream for a request; null when there is none.
		UpstreamRef choose(const std::string& _service, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const;

		/// @returns Load of the upstreams of a service that may be chosen.
		BoardLoad loadOfService(const std::string& _service, Millis _now) const;

		std::vector<UpstreamRef> all() const;

		/// @returns Upstreams of a service that take work.
		std::size_t countOpen(const std::string& _service) const;

	private:
		std::string zone;
		absl::flat_hash_map<std::string, UpstreamRef> byIncarnation;
	};
} // namespace archdyke::gateway
