/// What "archdyke apply" does: stages a version in every zone, then accepts it.
#pragma once

#include <string>
#include <vector>

#include "archdyke/acceptance.h"
#include "archdyke/errors.h"
#include "base/platform_client.h"

namespace archdyke
{
	/// A zone did not confirm in time. Nothing was changed.
	struct NotAcceptedError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	/// Whether the version was accepted can't be known now.
	struct InDoubtError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	struct ApplyOptions
	{
		std::string platform;
		std::string fileName;          ///< For messages.
		std::uint64_t fromVersion = 0; ///< The file was made from this version; 0: from the one in force.
		Millis waitMs = 5'000;         ///< For the zones' confirmations.
	};

	/// When a zone had the version in force.
	struct ZoneInForce
	{
		std::string zone;
		Millis afterMs = 0; ///< After acceptance; -1 while not every entry of it has.

		bool operator==(const ZoneInForce&) const = default;
	};

	struct ApplyResult
	{
		ConfigMark mark;
		bool changed = false;       ///< false: the file is in force already.
		Millis acceptedAfterMs = 0; ///< Since the apply began.
		std::vector<ZoneInForce> zones;

		bool operator==(const ApplyResult&) const = default;
	};

	/// Applies a checked document.
	/// @throws ConflictError, NotAcceptedError, InDoubtError, PlatformError.
	ApplyResult applyDocument(const ApplyOptions& _options, const std::string& _bytes);

	/// What the table and the object store say.
	struct PublishedConfig
	{
		std::optional<HeadRow> head;
		std::optional<StageRow> stage;
		std::string bytes; ///< Of the head.
	};

	PublishedConfig readPublished(PlatformClient& _client);
} // namespace archdyke
