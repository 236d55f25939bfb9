/// Dispatches one request, retries it where that is safe, and relays its response.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "archdyke/relay.h"
#include "archdyke/retry.h"
#include "base/metrics.h"
#include "entry/call.h"
#include "entry/crash_record.h"
#include "entry/directory.h"
#include "entry/request.h"

namespace archdyke
{
	/// Retry budget that all requests of an entry share.
	class SharedRetryBudget
	{
	public:
		void earn();
		bool spend(Millis _now);

	private:
		absl::Mutex mutex;
		RetryBudget budget ABSL_GUARDED_BY(mutex);
	};

	/// Parts of the entry that a request uses.
	struct RunContext
	{
		Directory& directory;
		SharedRetryBudget& retries;
		CrashRecord& crashes;
		prometheus::Counter& retried;
		prometheus::Counter& resumed;
		prometheus::Counter& droppedFrames;
	};

	/// Start of an upstream's response.
	struct ResponseStart
	{
		int status = 200;
		std::string contentType;
		std::string upstream; ///< Name of the upstream that runs the request.

		bool operator==(const ResponseStart&) const = default;
	};

	/// @returns The rejection of a request under which several upstreams crashed.
	/// @param[in] _outcome What is proved for the attempts so far.
	RejectedError crashRejection(Outcome _outcome, bool _repeatable, Millis _refusalMs);

	/// Runs one request. Used by one thread.
	class RequestRun
	{
	public:
		RequestRun(RunContext _context, const ResolvedRequest& _request, const CallerRequest& _caller);
		~RequestRun();
		RequestRun(const RequestRun&) = delete;
		RequestRun& operator=(const RequestRun&) = delete;

		/// Dispatches the request, with retries, until a response begins.
		/// @throws RejectedError When no attempt is left; has the proved outcome of the request.
		ResponseStart begin();

		/// @returns The next bytes of the response; none at its end. Bytes of a streamed
		/// request count as delivered to the caller.
		/// @throws RejectedError When the response can't be completed.
		std::optional<std::string> next();

		/// Dispatches the request again after an incomplete response, if nothing was delivered
		/// to the caller, the request is repeatable and the retry budget allows it.
		/// @throws RejectedError The same error, if not.
		ResponseStart restart(const RejectedError& _error);

		/// @returns Content type of the response that began.
		std::string contentType() const;

		/// Cancels the run: the caller has disconnected.
		void abandon();

		/// @returns The outcome that is proved for all attempts so far.
		Outcome outcome() const;

	private:
		/// One attempt, on one agent.
		struct Attempt
		{
			std::shared_ptr<AgentLink> link;
			std::uint64_t incarnation = 0;
			std::shared_ptr<Call> call;
			RelayState relay;
			bool started = false;
			bool open = false; ///< Events may still arrive.
		};

		/// Why an attempt ended without a complete response.
		struct AttemptFailure
		{
			ExecutionProof proof = ExecutionProof::Unknown;
			RefusalReason refusal = RefusalReason::None;
			Millis retryAfterMs = 0;
			std::string reason;
			std::string message;
		};

		std::shared_ptr<AgentLink> chooseLink();
		void send(const std::shared_ptr<AgentLink>& _link);
		std::optional<AttemptFailure> waitForResponse();
		std::optional<AttemptFailure> handleEvent(CallEvent& _event);
		std::optional<AttemptFailure> handleVerdict(const VerdictEvent& _event);
		std::optional<AttemptFailure> handleFrame(ResponseFrame& _frame);
		std::optional<AttemptFailure> handleLinkLost(const LinkLostEvent& _event);
		std::optional<AttemptFailure> handleDeadline();
		std::optional<AttemptFailure> reconnect(Millis _until);
		std::optional<RevokeState> revokeUntilAnswered(Millis _until);
		std::optional<std::vector<ResponseFrame>> resumeUntilAnswered(Millis _until);
		std::optional<AttemptFailure> handleFrames(std::vector<ResponseFrame>& _frames);
		void closeAttempt();
		ResponseStart runAttempts();
		AttemptFailure noUpstreamFailure() const;
		RejectedError makeRejection(const AttemptFailure& _failure) const;
		void recordProof(ExecutionProof _proof);
		NextStep decideNextStep(const AttemptFailure& _failure);
		/// @throws RejectedError When the request may no longer run because several upstreams crashed under it.
		void refuseIfCrashing();

		RunContext context;
		const ResolvedRequest& request;
		const CallerRequest& caller;
		std::uint32_t attempts = 0;
		std::optional<ExecutionProof> worstProof; ///< Of the attempts that ended.
		Attempt current;
		std::vector<std::string> triedAgents;
		std::optional<ResponseStart> start;
		std::string undelivered; ///< Bytes of the response not yet forwarded.
		bool delivered = false;
		bool callerClosed = false; ///< The caller's connection was closed for memory: nobody waits for the response.
		bool crashed = false;      ///< An upstream crashed during an attempt.
	};
} // namespace archdyke
