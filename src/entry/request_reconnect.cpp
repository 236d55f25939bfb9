/// What a request does when the link to its agent is lost.
#include <algorithm>

#include "base/config.h"
#include "base/process.h"
#include "entry/request_run.h"

namespace archdyke
{
	namespace
	{
		/// Between questions to an agent that isn't there just now, ms.
		constexpr Millis kAskAgainMs = 25;

		/// Waits for an event of one kind. Pieces of the answer that come meanwhile go to
		/// _frames, if given; else a resume asks for them again.
		/// @returns Nothing when the link is lost or the time has come.
		template <typename Event>
		std::optional<Event> waitFor(Call& _call, Millis _until, std::vector<AnswerFrame>* _frames = nullptr)
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
				AnswerFrame* frame = std::get_if<AnswerFrame>(&*event);
				if (nullptr != _frames && nullptr != frame)
				{
					_frames->push_back(std::move(*frame));
				}
			}
			return std::nullopt;
		}
	} // namespace

	/// Asks the agent to take the run back, until it answers.
	/// @returns Nothing when it didn't answer in time.
	std::optional<RevokeState> RequestRun::settle(Millis _until)
	{
		while (nowMs() < _until)
		{
			this->current.link->revoke(this->current.call, this->current.relay.key, this->current.incarnation);
			const std::optional<RevokeEvent> answer = waitFor<RevokeEvent>(*this->current.call, _until);
			if (answer && answer->available)
			{
				return answer->state;
			}
			waitFor<RevokeEvent>(*this->current.call, std::min(_until, nowMs() + kAskAgainMs));
		}
		return std::nullopt;
	}

	/// Asks for the rest of the answer, until the agent says whether it knows the run.
	/// @returns The pieces that came with its answer; nothing when it doesn't know the run
	/// or didn't answer in time.
	std::optional<std::vector<AnswerFrame>> RequestRun::askToResume(Millis _until)
	{
		while (nowMs() < _until)
		{
			std::vector<AnswerFrame> frames;
			this->current.link->resume(this->current.call, this->current.relay.key, this->current.incarnation, this->current.relay.nextOffset);
			const std::optional<ResumeEvent> answer = waitFor<ResumeEvent>(*this->current.call, _until, &frames);
			if (answer && answer->available)
			{
				return answer->known ? std::optional(std::move(frames)) : std::nullopt;
			}
			waitFor<ResumeEvent>(*this->current.call, std::min(_until, nowMs() + kAskAgainMs));
		}
		return std::nullopt;
	}

	/// The link was lost: finds out whether the run started, and goes on with its answer.
	std::optional<RequestRun::TryFailure> RequestRun::reconnect(Millis _until)
	{
		if (!this->current.started)
		{
			const std::optional<RevokeState> state = this->settle(_until);
			if (RevokeState::NotRun == state)
			{
				return TryFailure{ExecutionProof::NotRun, RefusalReason::None, kComeBackMs, "link_lost", "the link to the upstream was lost and the request was taken back; come back after the time in Retry-After"};
			}
			if (RevokeState::Started != state)
			{
				return TryFailure{ExecutionProof::Unknown, RefusalReason::None, 0, "link_lost", "the link to the upstream was lost and whether the request ran can't be known; check before you send it again"};
			}
			this->current.started = true;
		}
		const std::optional<std::vector<AnswerFrame>> frames = this->askToResume(_until);
		if (frames)
		{
			this->context.resumed.Increment();
			return this->handleFrames(*frames);
		}
		return TryFailure{ExecutionProof::Ran, RefusalReason::None, 0, "answer_lost", "the request ran, but the link to its upstream was lost and the answer can't be completed; check before you send it again"};
	}

	std::optional<RequestRun::TryFailure> RequestRun::handleFrames(const std::vector<AnswerFrame>& _frames)
	{
		for (const AnswerFrame& frame : _frames)
		{
			std::optional<TryFailure> failure = this->handleFrame(frame);
			if (failure)
			{
				return failure;
			}
		}
		return std::nullopt;
	}

	std::optional<RequestRun::TryFailure> RequestRun::handleLost(const LinkLostEvent& _event)
	{
		if (_event.neverSent)
		{
			return TryFailure{ExecutionProof::NotRun, RefusalReason::None, kComeBackMs, "link_down", "the link to the upstream is down; come back after the time in Retry-After"};
		}
		const bool another = this->request.repeatable && !this->delivered;
		const Millis limit = another ? kQuickResumeMs : this->current.started ? kResumeMs
		                                                                      : kRevokeMs;
		return this->reconnect(std::min(this->request.deadline, nowMs() + limit));
	}
} // namespace archdyke
