#include "base/config_rows.h"

#include <nlohmann/json.hpp>

#include "base/foreign_json.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		struct MarkAndNonce
		{
			ConfigMark mark;
			std::string nonce;
		};

		std::string encode(const ConfigMark& _mark, const std::string& _nonce)
		{
			return Json{{"version", _mark.version}, {"digest", _mark.digest}, {"nonce", _nonce}}.dump();
		}

		std::optional<MarkAndNonce> decode(const TableRow& _row)
		{
			if (0 == _row.version)
			{
				return std::nullopt;
			}
			std::string reason = "it isn't JSON, has a number out of range, or is nested too deeply";
			try
			{
				if (const std::optional<Json> json = parseForeignJson(_row.value))
				{
					return MarkAndNonce{{readCount(*json, "version"), json->at("digest")}, json->at("nonce")};
				}
			}
			catch (const Json::exception& error)
			{
				reason = error.what();
			}
			catch (const ArchdykeError& error)
			{
				reason = error.what();
			}
			throw PlatformError("row \"" + _row.key + "\" of the table is invalid (" + reason + "); find out what wrote it and correct it by hand");
		}
	} // namespace

	std::string acceptedKey(std::uint64_t _version)
	{
		return "config/accepted/" + std::to_string(_version);
	}

	std::string confirmKey(const std::string& _zone)
	{
		return kConfirmPrefix + _zone;
	}

	std::string encodeHead(const HeadRow& _row)
	{
		return encode(_row.mark, _row.nonce);
	}

	std::string encodeStage(const StageRow& _row)
	{
		return encode(_row.mark, _row.nonce);
	}

	std::string encodeConfirmation(const ZoneConfirmation& _row)
	{
		return encode(_row.mark, _row.nonce);
	}

	std::optional<HeadRow> decodeHead(const TableRow& _row)
	{
		const std::optional<MarkAndNonce> content = decode(_row);
		return content ? std::optional<HeadRow>({content->mark, content->nonce}) : std::nullopt;
	}

	std::optional<StageRow> decodeStage(const TableRow& _row)
	{
		const std::optional<MarkAndNonce> content = decode(_row);
		return content ? std::optional<StageRow>({content->mark, content->nonce}) : std::nullopt;
	}

	std::optional<ZoneConfirmation> decodeConfirmation(const TableRow& _row)
	{
		const std::optional<MarkAndNonce> content = decode(_row);
		const std::string zone = _row.key.substr(std::min(_row.key.size(), std::string(kConfirmPrefix).size()));
		return content ? std::optional<ZoneConfirmation>({zone, content->mark, content->nonce}) : std::nullopt;
	}

	std::string objectName(const ConfigMark& _mark)
	{
		return "config-" + _mark.digest;
	}
} // namespace archdyke
