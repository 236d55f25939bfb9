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
		double pace = 1.0;          ///< Time of its steps against the declared one.

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

	/// All upstreams that the list names, by incarnation.
	class Board
	{
	public:
		/// @param[in] _zone Of this gateway.
		explicit Board(std::string _zone);

		/// Takes in a row of the list of upstreams. Leaving stays for an incarnation.
		void learn(const UpstreamRecord& _record, Millis _now);

		/// The list names the upstream no longer.
		void forget(const std::string& _incarnation, Millis _now);

		/// Takes in the reported load of the upstream at an address.
		void report(const std::string& _address, std::uint32_t _requests, double _pace, Millis _now);

		/// @returns An upstream for a request; null when there is none.
		UpstreamRef choose(const std::string& _service, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const;

		/// @returns Mean load of the upstreams of a service that take work; 0 when there are none.
		double meanLoad(const std::string& _service, Millis _now) const;

		/// @returns All upstreams, those that leave too, in no order.
		std::vector<UpstreamRef> all() const;

	private:
		std::string zone;
		absl::flat_hash_map<std::string, UpstreamRef> byIncarnation;
	};
} // namespace archdyke::gateway
