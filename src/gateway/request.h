/// One request of a caller on its way through the gateway.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "archdyke/come_back.h"
#include "archdyke/event_stream.h"
#include "gateway/state.h"

namespace archdyke::gateway
{
	/// Statuses of the gateway's own final answers.
	constexpr int kBadGateway = 502;     ///< It may have run.
	constexpr int kUnavailable = 503;    ///< It has not run.
	constexpr int kGatewayTimeout = 504; ///< The deadline is over, and it may have run.

	/// A whole request as it was read.
	struct ReceivedRequest
	{
		http::RequestHead head;
		std::string body;
		Millis arrivedAt = 0; ///< When its head was whole.
	};

	/// How a connection goes on after a request.
	enum class AfterRequest
	{
		KeepOpen,
		Close ///< The answer was cut, or the caller is gone.
	};

	/// What the pipeline knows of a request. Each stage fills in its part.
	struct RequestContext
	{
		GatewayState& state;
		http::HttpConnection& connection;
		ReceivedRequest received;

		CallerRequest caller; ///< decode
		std::shared_ptr<const CatalogIndex> catalog;
		const CatalogRoute* route = nullptr;               ///< resolve; points into catalog
		const CatalogOrganisation* organisation = nullptr; ///< authenticate; points into catalog
		std::string service;                               ///< resolve
		Millis deadlineAt = 0;                             ///< resolve

		GroupRef group;                       ///< admit, and dispatch for later tries; null when there is none.
		std::set<std::string> tried;          ///< dispatch: incarnations.
		std::set<std::string> failedInGroups; ///< dispatch: groups whose ranks failed it.
		std::uint32_t sends = 0;
		bool maybeRunning = false; ///< A try was sent whose end isn't proved.
		bool headSent = false;     ///< relay: bytes of an answer went to the caller.
		bool keepAlive = true;
		std::string fingerprint; ///< Empty until somebody asks for it.
		EventSplitter splitter;
		std::optional<std::uint64_t> delivered; ///< Last event that went to the caller.
		std::optional<Millis> firstEventAt;
		Millis lastEventAt = 0;
		Millis longestGapMs = 0;
		int status = 0;
		UpstreamRef sentTo;   ///< dispatch: where the try under way is.
		Millis heardAt = 0;   ///< relay: when this try last heard something, or was sent.
		bool writing = false; ///< relay: bytes are on their way to the caller, who may be slow.
		std::string upstream; ///< Last incarnation tried.
		std::string reason;   ///< Why it ended as it did; for the log.
		std::optional<Millis> comeBackMs;
		Ending ending = Ending::Failed;

		RequestContext(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _received)
		    : state(_state)
		    , connection(_connection)
		    , received(std::move(_received))
		{
		}
	};

	/// @returns The refusal of a request that has not run, with a time to come back.
	Refusal refuseNotRun(RequestContext& _context, RefusalCause _cause);

	/// Adds to the reasons why a request ended as it did.
	void addReason(RequestContext& _context, const std::string& _reason);

	/// @returns Whether keyed requests may be let in: the proof that the configuration is the
	/// newest is younger than the limit, or the deployment doesn't ask for one.
	bool proofIsYounger(const GatewayState& _state, Millis _limitMs);

	/// Takes a request through all stages: resolve, authenticate, admit, dispatch, relay,
	/// account. Never throws for what the world does.
	aio::Task<AfterRequest> runRequest(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _received);

	/// @returns Bounds of this gateway's resends now.
	RetryBounds retryBounds(const GatewayState& _state);

	/// Notes that a try of a request begins at the upstream that was chosen for it.
	void noteSend(RequestContext& _context);

	/// Sends a request to upstreams until it is answered or no further try is allowed.
	/// @returns A refusal of the gateway's own; none when an upstream's answer was delivered.
	aio::Task<std::optional<Refusal>> dispatch(RequestContext& _context);
} // namespace archdyke::gateway
