/// Settings files of the daemons: JSON with comments, every field checked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "archdyke/document.h"

namespace archdyke
{
	/// Settings of archdyke-entry.
	struct EntrySettings
	{
		std::string name;
		std::string zone;
		std::string http;               ///< Where callers are served, IP:port.
		std::string rpc;                ///< Where other entries are served.
		std::string admin;              ///< Metrics, dumps, drain.
		std::string platform;           ///< Table service, object store, VM list.
		std::vector<std::string> peers; ///< Entries to ask while the VM list can't be had.

		bool operator==(const EntrySettings&) const = default;
	};

	/// How an agent meets what it stands before.
	struct UpstreamSettings
	{
		ServiceKind kind = ServiceKind::Plain;
		std::string address;      ///< IP:port.
		std::uint32_t slots = 16; ///< Runs at once.
		bool checksFence = true;  ///< The engine refuses orders with an old fence.

		bool operator==(const UpstreamSettings&) const = default;
	};

	/// Settings of archdyke-agent.
	struct AgentSettings
	{
		std::string name; ///< The upstream's, as in the operators' file.
		std::string zone;
		std::string rpc;
		std::string admin;
		UpstreamSettings upstream;

		bool operator==(const AgentSettings&) const = default;
	};

	/// @throws InvalidInputError Listing all that is wrong.
	EntrySettings loadEntrySettings(const std::string& _path);
	AgentSettings loadAgentSettings(const std::string& _path);
} // namespace archdyke
