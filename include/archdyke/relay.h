/// Decides which frames of a response are forwarded to the caller. Only the next byte of the current
/// attempt is forwarded; late, duplicate or out-of-order frames are dropped or requested again.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// Forwarding progress of a response.
	struct RelayState
	{
		RunKey key;
		std::uint64_t nextOffset = 0; ///< Bytes forwarded so far.
		bool complete = false;

		bool operator==(const RelayState&) const = default;
	};

	/// Metadata of a response frame.
	struct FrameHeader
	{
		RunKey key;
		std::uint64_t offset = 0;
		std::uint64_t size = 0;
		bool end = false;
		std::uint64_t total = 0; ///< Size of the complete body; valid if end is set.
		bool failed = false;     ///< The upstream broke off the response.

		bool operator==(const FrameHeader&) const = default;
	};

	enum class FrameAction
	{
		Deliver, ///< Forward the bytes after skip.
		Drop,    ///< Belongs to another request or attempt, or is a duplicate.
		Gap,     ///< Bytes before this frame are missing: resume at nextOffset.
		Broken,  ///< The response can't be completed.
		Count
	};

	/// How to handle a frame.
	struct FrameDecision
	{
		FrameAction action = FrameAction::Drop;
		std::uint64_t skip = 0; ///< Bytes of the frame that were already forwarded.

		bool operator==(const FrameDecision&) const = default;
	};

	/// Decides how to handle a frame and updates the state.
	FrameDecision acceptFrame(RelayState& _state, const FrameHeader& _frame);
} // namespace archdyke
