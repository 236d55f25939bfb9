/// Dispatches one request, tries it again where that is safe, and relays its answer.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "archdyke/relay.h"
#include "archdyke/retry.h"
#include "base/metrics.h"
#include "entry/call.h"
#include "entry/directory.h"
#include "entry/request.h"

namespace archdyke
{
	/// Retries that all requests of an entry share.
	class SharedRetryBudget
	{
	public:
		void earn();
		bool spend(Millis _now);

	private:
		absl::Mutex mutex;
		RetryBudget budget ABSL_GUARDED_BY(mutex);
	};

	/// What a request needs of its entry.
	struct RunContext
	{
		Directory& directory;
		SharedRetryBudget& retries;
		prometheus::Counter& retried;
		prometheus::Counter& resumed;
		prometheus::Counter& droppedFrames;
	};

	/// Status line of an upstream's answer.
	struct AnswerStart
	{
		int status = 200;
		std::string contentType;
		std::string upstream; ///< Name of the one that runs it.

		bool operator==(const AnswerStart&) const = default;
	};

	/// Used by one thread.
	class RequestRun
	{
	public:
		RequestRun(RunContext _context, const ResolvedRequest& _request, const CallerRequest& _caller);
		~RequestRun();
		RequestRun(const RequestRun&) = delete;
		RequestRun& operator=(const RequestRun&) = delete;

		/// Dispatches, until an answer begins.
		/// @throws RejectedError When it is given up; says what is proved of it.
		AnswerStart begin();

		/// @returns The next bytes of the answer; none at its end. Bytes of a streamed
		/// request count as delivered to the caller.
		/// @throws RejectedError When the answer can't be completed.
		std::optional<std::string> next();

		/// Starts over after a broken answer, if nothing went to the caller, the request
		/// may be repeated and the budget allows it.
		/// @throws RejectedError The same error, if not.
		AnswerStart restart(const RejectedError& _error);

		/// @returns Content type of the answer that began.
		std::string contentType() const;

		/// The caller has gone away.
		void abandon();

		/// @returns What is proved of all tries so far.
		Outcome outcome() const;

	private:
		/// One try.
		struct Try
		{
			std::shared_ptr<AgentLink> link;
			std::uint64_t incarnation = 0;
			std::shared_ptr<Call> call;
			RelayState relay;
			bool started = false;
			bool open = false; ///< Events may still come.
		};

		/// How a try ended without a whole answer.
		struct TryFailure
		{
			ExecutionProof proof = ExecutionProof::Unknown;
			RefusalReason refusal = RefusalReason::None;
			Millis retryAfterMs = 0;
			std::string reason;
			std::string message;
		};

		std::shared_ptr<AgentLink> chooseLink();
		void send(const std::shared_ptr<AgentLink>& _link);
		std::optional<TryFailure> waitForAnswer();
		std::optional<TryFailure> handleEvent(const CallEvent& _event);
		std::optional<TryFailure> handleVerdict(const VerdictEvent& _event);
		std::optional<TryFailure> handleFrame(const AnswerFrame& _frame);
		std::optional<TryFailure> handleLost(const LinkLostEvent& _event);
		std::optional<TryFailure> handleDeadline();
		std::optional<TryFailure> reconnect(Millis _until);
		std::optional<RevokeState> settle(Millis _until);
		std::optional<std::vector<AnswerFrame>> askToResume(Millis _until);
		std::optional<TryFailure> handleFrames(const std::vector<AnswerFrame>& _frames);
		void closeTry();
		AnswerStart attempt();
		TryFailure noUpstream() const;
		RejectedError giveUp(const TryFailure& _failure) const;
		void recordProof(ExecutionProof _proof);
		NextStep stepAfter(const TryFailure& _failure);

		RunContext context;
		const ResolvedRequest& request;
		const CallerRequest& caller;
		std::uint32_t attempts = 0;
		std::optional<ExecutionProof> worst; ///< Of the tries that ended.
		Try current;
		std::vector<std::string> tried;
		std::optional<AnswerStart> start;
		std::string pending; ///< Bytes of the answer not yet handed on.
		bool delivered = false;
	};
} // namespace archdyke
