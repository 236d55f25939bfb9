/// Implements "archdyke apply": stages a version in every zone, then accepts it.
#pragma once

#include <string>
#include <vector>

#include "archdyke/acceptance.h"
#include "archdyke/errors.h"
#include "base/platform_client.h"

namespace archdyke
{
	/// Thrown if a zone did not confirm in time. Nothing was changed.
	struct NotAcceptedError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	/// Thrown if it is unknown whether the version was accepted.
	struct InDoubtError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	struct ApplyOptions
	{
		std::string platform;
		std::string fileName;          ///< Used in messages.
		std::uint64_t fromVersion = 0; ///< Version that the file is based on; 0: the version in force.
		Millis waitMs = 5'000;         ///< Maximum wait for the confirmations of the zones.
	};

	/// How long a zone took to put the version in force.
	struct ZoneInForce
	{
		std::string zone;
		Millis afterMs = 0; ///< Since acceptance; -1 if some entries of the zone have not put it in force yet.

		bool operator==(const ZoneInForce&) const = default;
	};

	struct ApplyResult
	{
		ConfigMark mark;
		bool changed = false;       ///< false if the file was already in force.
		Millis acceptedAfterMs = 0; ///< Since the start of the apply.
		std::vector<ZoneInForce> zones;

		bool operator==(const ApplyResult&) const = default;
	};

	/// Applies a checked document.
	/// @throws ConflictError, NotAcceptedError, InDoubtError, PlatformError.
	ApplyResult applyDocument(const ApplyOptions& _options, const std::string& _bytes);

	/// Configuration published in the table and the object store.
	struct PublishedConfig
	{
		std::optional<HeadRow> head;
		std::optional<StageRow> stage;
		std::string bytes; ///< Document of the head.
	};

	PublishedConfig readPublished(PlatformClient& _client);
} // namespace archdyke
