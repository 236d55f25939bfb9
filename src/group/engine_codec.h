/// Translation of an engine's HTTP messages on one kind of deployment: plain functions that an adapter
/// provides. They only convert formats and make no decisions.
#pragma once

#include <string>

#include "archdyke/forward_switch.h"
#include "http/http_message.h"

namespace archdyke::group
{
	/// An engine's report of its state.
	struct EngineReport
	{
		std::string group; ///< Empty: it is in no group.
		std::uint32_t rank = 0;
		std::uint32_t ranks = 0; ///< Size of the group.
		RankView view;
		std::uint32_t queued = 0;
		std::uint32_t active = 0;
		double pace = 1.0; ///< Time of a step relative to the declared time.

		bool operator==(const EngineReport&) const = default;
	};

	/// How often an engine's requests have chosen each expert since the engine's start.
	struct EngineCounts
	{
		std::uint64_t epoch = 0;
		std::vector<std::uint32_t> counts; ///< Set by set.

		bool operator==(const EngineCounts&) const = default;
	};

	/// Experts by set and rank.
	using RankExperts = std::vector<std::vector<std::vector<std::uint32_t>>>;

	/// An order for an engine.
	struct EngineOrder
	{
		RankOrderKind kind = RankOrderKind::Prepare;
		std::uint64_t epoch = 0;
		std::uint64_t version = 0;
		std::uint64_t step = 0;
		RankExperts expertsByRank; ///< Only for a prepare order.

		bool operator==(const EngineOrder&) const = default;
	};

	/// The adapter's functions. The decoders throw InvalidInputError.
	struct EngineCodec
	{
		std::string reportTarget;
		std::string countsTarget;
		std::string orderTarget;
		std::string idHeader; ///< Header with the id of a call, which engines may give back.
		EngineReport (*decodeReport)(const std::string& _body);
		EngineCounts (*decodeCounts)(const std::string& _body);
		std::string (*encodeOrder)(const EngineOrder& _order);
		/// Whether a status says that the order was begun or is already in effect.
		bool (*isAccepted)(int _status);
	};
} // namespace archdyke::group
