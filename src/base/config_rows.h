/// Rows of the platform's table that hold the state of the configuration.
#pragma once

#include <optional>
#include <string>

#include "archdyke/acceptance.h"
#include "base/platform_client.h"

namespace archdyke
{
	constexpr const char* kHeadKey = "config/head";
	constexpr const char* kStageKey = "config/stage";
	constexpr const char* kConfirmPrefix = "config/confirm/";

	/// How long the row is kept that records which apply created a version, seconds.
	constexpr std::int64_t kAcceptedRetentionSeconds = 86'400;

	/// @returns Key of the row that records which apply created a version.
	std::string acceptedKey(std::uint64_t _version);

	/// @returns Key of the row with a zone's confirmation.
	std::string confirmKey(const std::string& _zone);

	std::string encodeHead(const HeadRow& _row);
	std::string encodeStage(const StageRow& _row);
	std::string encodeConfirmation(const ZoneConfirmation& _row);

	/// @returns The row's content; none if the row doesn't exist.
	/// @throws PlatformError If the content is invalid.
	std::optional<HeadRow> decodeHead(const TableRow& _row);
	std::optional<StageRow> decodeStage(const TableRow& _row);
	std::optional<ZoneConfirmation> decodeConfirmation(const TableRow& _row);

	/// @returns Name of a configuration document in the object store.
	std::string objectName(const ConfigMark& _mark);
} // namespace archdyke
