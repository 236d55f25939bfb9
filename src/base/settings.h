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
		std::string http;               ///< Address for callers, IP:port.
		std::string rpc;                ///< Address for other entries.
		std::string admin;              ///< Address for operators: metrics, dumps, drain.
		std::string platform;           ///< Address of the table service, object store and VM list.
		std::vector<std::string> peers; ///< Entries to contact while the VM list is unavailable.
		double memoryMb = 4'096.0;      ///< Memory of the VM that this process may use, MiB.

		bool operator==(const EntrySettings&) const = default;
	};

	/// Settings of an agent's upstream.
	struct UpstreamSettings
	{
		ServiceKind kind = ServiceKind::Plain;
		std::string address;      ///< IP:port.
		std::uint32_t slots = 16; ///< Maximum number of concurrent runs.
		bool checksFence = true;  ///< Whether the engine refuses orders with a stale fence.

		bool operator==(const UpstreamSettings&) const = default;
	};

	/// Settings of archdyke-agent.
	struct AgentSettings
	{
		std::string name; ///< Name of the upstream in the operators' file.
		std::string zone;
		std::string rpc;
		std::string admin;
		UpstreamSettings upstream;
		double memoryMb = 4'096.0; ///< Memory of the VM that this process may use, MiB.

		bool operator==(const AgentSettings&) const = default;
	};

	/// @throws InvalidInputError Listing all problems.
	EntrySettings loadEntrySettings(const std::string& _path);
	AgentSettings loadAgentSettings(const std::string& _path);
} // namespace archdyke
