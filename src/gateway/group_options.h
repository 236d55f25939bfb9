/// The groups that a request may go to, as the gateway sees them now.
#pragma once

#include <functional>
#include <vector>

#include "archdyke/batch_admission.h"
#include "archdyke/group_choice.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	/// On what terms a request may take room of a group.
	struct RoomTerms
	{
		bool yields = false;       ///< It leaves room to more urgent ones.
		double headroom = 0.0;     ///< Slots that it leaves.
		std::uint32_t granted = 0; ///< Requests that were just let in and aren't counted yet.
		bool shareSpent = false;   ///< The gateway took its part of what it last saw there.
		bool first = true;         ///< None goes before it: it may take more where it came back.

		bool operator==(const RoomTerms&) const = default;
	};

	using TermsOf = std::function<RoomTerms(const UpstreamGroup&)>;

	/// The groups of a request's service, and what the choice goes by of each.
	struct GroupOptions
	{
		std::vector<GroupRef> groups;
		std::vector<GroupCandidate> candidates;
	};

	/// @returns null when the request isn't a stream of an engine: others need no admission.
	const EngineModel* batchEngineOf(const RequestContext& _context);

	/// @returns Time that the caller gave its request.
	Millis patienceOf(const RequestContext& _context);

	/// @returns Whether the caller was here before with this request.
	bool cameBack(const RequestContext& _context);

	/// @returns Gateways that serve the deployment, as last told: they get alike many requests.
	std::uint32_t gatewaysAlike(const GatewayState& _state, Millis _now);

	/// @returns What is known of a group's engines.
	BatchView batchView(const UpstreamGroup& _group, const GatewayState& _state, Millis _now);

	GroupOptions optionsOf(const RequestContext& _context, const TermsOf& _termsOf);

	/// @returns null when no group has room.
	GroupRef chosenOf(const GroupOptions& _options, Random& _random);

	bool allAreDown(const GroupOptions& _options);

	/// One line for each group: why the request can't go there.
	void logNoRoom(const RequestContext& _context, const GroupOptions& _options);

	/// @returns Terms of a request that yields to none.
	RoomTerms anyRoom(const UpstreamGroup& _group);
} // namespace archdyke::gateway
