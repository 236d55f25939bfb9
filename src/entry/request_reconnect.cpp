/// Recovery of a request whose link to its agent is lost.
#include <algorithm>

#include "base/config.h"
#include "base/process.h"
#include "entry/request_run.h"

namespace archdyke
{
	namespace
	{
		/// Interval between revoke or resume requests to an agent that is unavailable, ms.
		constexpr Millis kRetryIntervalMs = 25;

		/// Waits for an event of one type. Frames that arrive meanwhile are appended to
		/// _frames, if given; otherwise they are dropped, and a later resume requests them again.
		/// @returns Nothing when the link is lost or the time limit is reached.
		template <typename Event>
		std::optional<Event> waitFor(Call& _call, Millis _until, std::vector<ResponseFrame>* _frames = nullptr)
		{
			while (std::optional<CallEvent> event = _call.wait(_until))
			{
				if (const Event* found = std::get_if<Event>(&*event))
				{
					return *found;
				}
				if (std::holds_alternative<LinkLostEvent>(*event))
				{
					return std::nullopt;
				}
				ResponseFrame* frame = std::get_if<ResponseFrame>(&*event);
				if (nullptr != _frames && nullptr != frame)
				{
					_frames->push_back(std::move(*frame));
				}
			}
			return std::nullopt;
		}
	} // namespace

	/// Asks the agent to revoke the run, and repeats this until it responds.
	/// @returns Nothing when it didn't respond in time.
	std::optional<RevokeState> RequestRun::revokeUntilAnswered(Millis _until)
	{
		while (nowMs() < _until)
		{
			this->current.link->revoke(this->current.call, this->current.relay.key, this->current.incarnation);
			const std::optional<RevokeEvent> response = waitFor<RevokeEvent>(*this->current.call, _until);
			if (response && response->available)
			{
				return response->state;
			}
			waitFor<RevokeEvent>(*this->current.call, std::min(_until, nowMs() + kRetryIntervalMs));
		}
		return std::nullopt;
	}

	/// Requests the rest of the response, and repeats this until the agent says whether it
	/// knows the run.
	/// @returns The frames that arrived before its reply; nothing when it doesn't know the run
	/// or didn't reply in time.
	std::optional<std::vector<ResponseFrame>> RequestRun::resumeUntilAnswered(Millis _until)
	{
		while (nowMs() < _until)
		{
			std::vector<ResponseFrame> frames;
			this->current.link->resume(this->current.call, this->current.relay.key, this->current.incarnation, this->current.relay.nextOffset);
			const std::optional<ResumeEvent> response = waitFor<ResumeEvent>(*this->current.call, _until, &frames);
			if (response && response->available)
			{
				return response->known ? std::optional(std::move(frames)) : std::nullopt;
			}
			waitFor<ResumeEvent>(*this->current.call, std::min(_until, nowMs() + kRetryIntervalMs));
		}
		return std::nullopt;
	}

	/// Recovers from a lost link or a gap: finds out whether the run started, and resumes its response.
	std::optional<RequestRun::AttemptFailure> RequestRun::reconnect(Millis _until)
	{
		if (!this->current.started)
		{
			const std::optional<RevokeState> state = this->revokeUntilAnswered(_until);
			if (RevokeState::NotRun == state)
			{
				return AttemptFailure{ExecutionProof::NotRun, RefusalReason::None, kDefaultRetryDelayMs, "link_lost", "the link to the upstream was lost and the request was revoked; retry after the time in Retry-After"};
			}
			if (RevokeState::Started != state)
			{
				return AttemptFailure{ExecutionProof::Unknown, RefusalReason::None, 0, "link_lost", "the link to the upstream was lost and it is unknown whether the request ran; check before you send it again"};
			}
			this->current.started = true;
		}
		std::optional<std::vector<ResponseFrame>> frames = this->resumeUntilAnswered(_until);
		if (frames)
		{
			this->context.resumed.Increment();
			return this->handleFrames(*frames);
		}
		return AttemptFailure{ExecutionProof::Ran, RefusalReason::None, 0, "answer_lost", "the request ran, but the link to its upstream was lost and the response can't be completed; check before you send it again"};
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleFrames(std::vector<ResponseFrame>& _frames)
	{
		for (ResponseFrame& frame : _frames)
		{
			std::optional<AttemptFailure> failure = this->handleFrame(frame);
			if (failure)
			{
				return failure;
			}
		}
		return std::nullopt;
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleLinkLost(const LinkLostEvent& _event)
	{
		if (_event.neverSent)
		{
			return AttemptFailure{ExecutionProof::NotRun, RefusalReason::None, kDefaultRetryDelayMs, "link_down", "the link to the upstream is down; retry after the time in Retry-After"};
		}
		const bool mayRetry = this->request.repeatable && !this->delivered;
		const Millis limit = mayRetry ? kShortResumeTimeoutMs : this->current.started ? kResumeTimeoutMs
		                                                                              : kRevokeTimeoutMs;
		return this->reconnect(std::min(this->request.deadline, nowMs() + limit));
	}
} // namespace archdyke
