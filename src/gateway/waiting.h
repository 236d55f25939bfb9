/// The requests of each service that wait at this gateway for room at the engines, and what wakes them.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <kj/async.h>
#include <kj/timer.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "archdyke/catalog.h"
#include "archdyke/come_back.h"
#include "archdyke/room_share.h"
#include "archdyke/urgency.h"
#include "archdyke/waiting_room.h"
#include "gateway/board.h"

namespace archdyke::gateway
{
	struct GatewayState;
	struct RequestContext;
	class Ticket;

	/// Requests that were let in during one look, by group: they aren't counted there yet.
	using Granted = absl::flat_hash_map<const UpstreamGroup*, std::uint32_t>;

	/// What waits for one service.
	struct ServiceQueue
	{
		WaitingRoom room;
		absl::flat_hash_map<std::uint64_t, Ticket*> tickets;
		std::map<std::pair<std::string, Rank>, RoomShare> shares; ///< By group and rank.
		std::uint64_t lastTicket = 0;
		UrgencyScale scale;                              ///< Of the catalog below.
		std::shared_ptr<const CatalogIndex> scaleSource; ///< Null: none was looked at yet.
	};

	/// A request's place in the queue of its service; left when it goes out of scope.
	class Ticket
	{
	public:
		/// @param[in] _arrivedAt When the request asked first.
		Ticket(RequestContext& _context, Millis _arrivedAt);
		~Ticket();
		Ticket(const Ticket&) = delete;
		Ticket& operator=(const Ticket&) = delete;

		/// @returns Whether it was let in; its context has the group then.
		bool admitted() const;
		/// @returns Why it is to be refused now; none while it may wait.
		std::optional<RefusalCause> refusal();
		/// Until something changed for it, or some time passed.
		kj::Promise<void> change();

		/// Looks for a group with room.
		bool findGroup(Claim _claim, const Granted& _granted);
		/// Lets it in to the group that was found.
		void admit(Granted& _granted);
		/// It loses its place.
		void displace();

	private:
		bool yields() const;
		bool hasLastChance() const;
		RefusalCause causeNow();

		RequestContext& context;
		ServiceQueue& queue;
		WaitingRequest request;
		bool inOrder = false; ///< Requests of its service differ in urgency.
		bool isAdmitted = false;
		bool displaced = false; ///< The queue was full.
		kj::Own<kj::PromiseFulfiller<void>> waiting;
	};

	/// Lets in whoever finds room at a service. Called when room may have come: a try ended, or loads
	/// were told.
	void serveWaiting(GatewayState& _state, const std::string& _service);

	/// @returns The queues as the state dump shows them.
	nlohmann::json describeWaiting(const GatewayState& _state);
} // namespace archdyke::gateway
