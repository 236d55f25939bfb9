/// State of one caller request in the gateway's pipeline.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "archdyke/come_back.h"
#include "archdyke/event_stream.h"
#include "gateway/state.h"

namespace archdyke::gateway
{
	/// Statuses of the responses that the gateway itself gives.
	constexpr int kBadGateway = 502;     ///< The request may have run.
	constexpr int kUnavailable = 503;    ///< The request has not run.
	constexpr int kGatewayTimeout = 504; ///< The deadline has passed, and the request may have run.

	/// A complete request as read from the caller's connection.
	struct ReceivedRequest
	{
		http::RequestHead head;
		std::string body;
		Millis arrivedAt = 0;      ///< When its head was complete.
		std::size_t headBytes = 0; ///< Memory that its head takes.
	};

	/// @returns Memory that a request takes while it is run, with the copies of its head.
	std::size_t memoryOf(const ReceivedRequest& _request);

	/// What happens to the caller's connection after a request.
	enum class AfterRequest
	{
		KeepOpen,
		Close ///< The response was cut, or the caller has disconnected.
	};

	/// State of a request in the pipeline. Each member names the stage that sets it.
	struct RequestContext
	{
		GatewayState& state;
		http::HttpConnection& connection;
		ReceivedRequest received;
		http::MemoryCharge response; ///< relay: of the response's body that was received.

		CallerRequest caller; ///< decode
		std::shared_ptr<const CatalogIndex> catalog;
		const CatalogRoute* route = nullptr; ///< resolve; points into catalog
		std::string organisation;            ///< send permission: in whose name the request runs; empty: in nobody's.
		std::string service;                 ///< resolve
		Millis deadlineAt = 0;               ///< resolve

		GroupRef group;                       ///< admit, and dispatch for later attempts; null when there is none.
		std::set<std::string> tried;          ///< dispatch: incarnations that were tried.
		std::set<std::string> failedInGroups; ///< dispatch: groups in which an attempt failed.
		std::uint32_t sends = 0;
		bool maybeRunning = false; ///< An attempt was sent and isn't proved not to have run.
		bool headSent = false;     ///< relay: bytes of a response were sent to the caller.
		bool keepAlive = true;
		std::vector<std::string> suspects; ///< What may crash upstreams, for CrashTable; computed on first use.
		std::vector<std::string> trial;    ///< dispatch: doubtful suspects that the current attempt tries.
		EventSplitter splitter;
		std::optional<std::uint64_t> lastDeliveredId; ///< relay: id of the last event sent to the caller.
		std::optional<Millis> firstEventAt;
		Millis lastEventAt = 0;
		Millis longestGapMs = 0;
		int status = 0;
		UpstreamRef currentUpstream;         ///< relay: upstream of the current attempt.
		std::optional<Millis> limitedSendAt; ///< dispatch: when this attempt was counted against the limit that its upstream names.
		Millis sentAt = 0;                   ///< relay: when this attempt was sent.
		Millis lastHeardAt = 0;              ///< relay: when this attempt last received something, or started.
		bool writingToCaller = false;        ///< relay: a write to the caller, who may be slow, is in progress.
		std::string upstream;                ///< Incarnation of the last attempt.
		std::string reason;                  ///< Reasons for the ending, for the log.
		std::optional<Millis> comeBackMs;
		Ending ending = Ending::Failed;

		RequestContext(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _received)
		    : state(_state)
		    , connection(_connection)
		    , received(std::move(_received))
		    , response(_connection.chargedTo())
		{
		}
	};

	/// @returns The refusal of a request that has not run, with the time after which to retry.
	Refusal refuseNotRun(RequestContext& _context, RefusalCause _cause);

	/// Appends to a body without taking twice its memory.
	void appendToBody(std::string& _body, std::string_view _bytes);

	/// @returns How a request that the gateway itself answered with this status has ended.
	Ending endingOf(int _status);

	/// Appends to the reasons that are logged when the request ends.
	void appendReason(RequestContext& _context, const std::string& _reason);

	/// @returns Whether requests with keys may be admitted: the proof that the configuration is the
	/// newest is younger than the limit, or the deployment doesn't require a proof.
	bool isProofYoungerThan(const GatewayState& _state, Millis _limitMs);

	/// Runs a request through all stages: resolve, send permission, admit, dispatch, relay, accounting.
	/// Doesn't throw on failures of callers, upstreams or the network.
	aio::Task<AfterRequest> runRequest(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _received);

	/// @returns The present bounds of this gateway's resends.
	RetryLimits retryBounds(const GatewayState& _state);

	/// @returns The limits as they will be at a later time if the reported number of gateways stays the same.
	RetryLimits retryBounds(const GatewayState& _state, Millis _now);

	/// Counts an attempt that starts at the chosen upstream.
	void recordSend(RequestContext& _context);

	/// Sends a request to upstreams until one responds or no further attempt is allowed.
	/// @returns A refusal by the gateway; none when an upstream's response was delivered.
	aio::Task<std::optional<Refusal>> dispatch(RequestContext& _context);
} // namespace archdyke::gateway
