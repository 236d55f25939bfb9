/// Relay of responses with late, duplicate, truncated and foreign frames.
#include "archdyke/relay.h"
#include "check.h"

using namespace archdyke;

namespace
{
	const RunKey kMine{"mine", 1};

	FrameHeader frame(const RunKey& _key, std::uint64_t _offset, std::uint64_t _size, bool _end, std::uint64_t _total)
	{
		return {_key, _offset, _size, _end, _total, false};
	}
} // namespace

Test(relay, a_truncated_response_never_ends_cleanly)
{
	RelayState state{kMine, 0, false};
	cr_assert(FrameAction::Deliver == acceptFrame(state, frame(kMine, 0, 10, false, 0)).action);
	cr_assert(FrameAction::Broken == acceptFrame(state, frame(kMine, 10, 5, true, 20)).action);
	cr_assert(!state.complete);
}

Test(relay, frames_of_another_attempt_are_dropped)
{
	RelayState state{kMine, 0, false};
	cr_assert(FrameAction::Drop == acceptFrame(state, frame({"mine", 0}, 0, 10, true, 10)).action);
	cr_assert(FrameAction::Drop == acceptFrame(state, frame({"other", 1}, 0, 10, true, 10)).action);
	cr_assert(0 == state.nextOffset);
}

Test(relay, a_failed_upstream_breaks_the_response)
{
	RelayState state{kMine, 0, false};
	FrameHeader failed = frame(kMine, 0, 0, true, 0);
	failed.failed = true;
	cr_assert(FrameAction::Broken == acceptFrame(state, failed).action);
}

/// For any order of frames, exactly the bytes of the response are delivered, from frames that contain
/// the next byte only.
Test(relay, delivers_exactly_the_response_for_any_frames)
{
	tests::checkProperty("relay under loss, doubles and strangers", [] {
		const std::string answer = *rc::gen::nonEmpty(rc::gen::string<std::string>());
		RelayState state{kMine, 0, false};
		std::string delivered;
		const int frames = *rc::gen::inRange(1, 40);
		for (int index = 0; index < frames; ++index)
		{
			const std::uint64_t offset = std::uint64_t(*rc::gen::inRange<std::size_t>(0, answer.size() + 1));
			const std::uint64_t size = std::uint64_t(*rc::gen::inRange<std::size_t>(0, answer.size() - offset + 1));
			const bool mine = *rc::gen::element(true, true, true, false);
			const bool end = offset + size == answer.size() && *rc::gen::arbitrary<bool>();
			const RunKey key = mine ? kMine : RunKey{"other", 1};
			const std::uint64_t before = state.nextOffset;
			const bool wasComplete = state.complete;
			const FrameDecision decision = acceptFrame(state, frame(key, offset, size, end, answer.size()));
			const bool follows = mine && !wasComplete && offset <= before && (before < offset + size || (end && before == answer.size()));
			RC_ASSERT((FrameAction::Deliver == decision.action) == follows);
			if (FrameAction::Deliver == decision.action)
			{
				delivered += answer.substr(offset, size).substr(decision.skip);
			}
			RC_ASSERT(answer.starts_with(delivered));
			RC_ASSERT(!state.complete || delivered == answer);
		}
	});
}
