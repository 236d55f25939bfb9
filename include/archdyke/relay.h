/// Which pieces of an answer go on to the caller. Only the next byte of the live try
/// does; whatever is late, doubled or out of order is dropped or asked for again.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// How far an answer has been handed on.
	struct RelayState
	{
		RunKey key;
		std::uint64_t nextOffset = 0; ///< Bytes handed on.
		bool complete = false;

		bool operator==(const RelayState&) const = default;
	};

	/// A piece of an answer without its bytes.
	struct FrameHead
	{
		RunKey key;
		std::uint64_t offset = 0;
		std::uint64_t size = 0;
		bool end = false;
		std::uint64_t total = 0; ///< Bytes of the whole body; valid at the end.
		bool failed = false;     ///< The upstream broke off.

		bool operator==(const FrameHead&) const = default;
	};

	enum class FrameAction
	{
		Deliver, ///< Hand on the bytes after skip.
		Drop,    ///< Another request's, another try's, or seen before.
		Gap,     ///< Bytes are missing before this piece: resume at nextOffset.
		Broken,  ///< The answer can't be completed.
		Count
	};

	/// What to do with a piece.
	struct FrameDecision
	{
		FrameAction action = FrameAction::Drop;
		std::uint64_t skip = 0; ///< Bytes of the piece that were handed on before.

		bool operator==(const FrameDecision&) const = default;
	};

	/// Decides on a piece and moves the state on.
	FrameDecision acceptFrame(RelayState& _state, const FrameHead& _frame);
} // namespace archdyke
