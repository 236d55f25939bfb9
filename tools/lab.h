/// A whole office on this machine: stand-ins, agents and entries as real processes on
/// ports that the kernel chooses, optionally behind the fault proxy.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "archdyke/document.h"
#include "lab_process.h"
#include "load.h"

namespace archdyke::lab
{
	/// How an office is set up.
	struct OfficeOptions
	{
		std::string file; ///< The operators' file.
		std::uint32_t entriesPerZone = 2;
		bool viaProxy = false; ///< All links between processes can be cut.
		nlohmann::json engine = nlohmann::json::object();
		std::uint32_t engineSlots = 16;
		std::uint32_t serviceSlots = 32;
	};

	/// A running daemon with what starts it again.
	struct Daemon
	{
		std::string name;
		std::string zone;
		std::string program;
		nlohmann::json settings;
		std::string http; ///< Entries only.
		std::string rpc;
		std::string admin;
		std::unique_ptr<ChildProcess> process;
	};

	/// A stand-in's address as one upstream sees it.
	struct UpstreamStub
	{
		std::string name;
		std::string service;
		std::string address;
	};

	/// Result of a command.
	struct CommandResult
	{
		int exitCode = -1;
		std::string output;
		std::string error;
	};

	class Office
	{
	public:
		explicit Office(OfficeOptions _options);
		~Office();

		const Document& document() const;
		std::vector<std::unique_ptr<Daemon>>& entries();
		std::vector<std::unique_ptr<Daemon>>& agents();
		Daemon& entry(const std::string& _name);
		Daemon& agent(const std::string& _name);
		const std::vector<UpstreamStub>& stubs() const;

		/// @returns Load options for this office through all its entries.
		LoadOptions loadOptions() const;
		const std::string& platform() const;

		/// Applies a file with the operators' command; the office's own when empty.
		CommandResult apply(const std::string& _file = "", std::vector<std::string> _more = {});
		CommandResult command(std::vector<std::string> _arguments);

		/// Starts a command without waiting for it.
		std::unique_ptr<ChildProcess> begin(std::vector<std::string> _arguments);

		/// Writes a changed copy of the office's file.
		std::string changedFile(const std::string& _name, const std::function<void(nlohmann::json&)>& _change);

		/// Waits until all entries are ready and have links to all agents.
		bool waitReady(Millis _timeoutMs = 20'000);

		/// Starts a daemon again, on the same VM.
		void restart(Daemon& _daemon);

		/// Kills the stand-in of a plain upstream.
		void killStub(const std::string& _upstream);

		/// Starts stand-ins of plain upstreams that have ended again, at their addresses.
		/// @returns How many had ended.
		std::size_t reviveStubs();

		/// Announces a daemon to the platform's list.
		void announce(const Daemon& _daemon, const std::string& _state = "live");

		void platformFaults(const nlohmann::json& _faults);
		void linkFaults(const std::string& _link, const nlohmann::json& _faults);

		/// @returns Bytes that went over each link, both ways.
		nlohmann::json linkCounts();

		/// Cuts or mends all links between two zones, or between a zone and the platform.
		void cutZones(const std::string& _a, const std::string& _b, bool _cut);
		void cutPlatform(const std::string& _zone, bool _cut);

		/// @returns Name of the link from a zone to an agent or entry.
		static std::string linkName(const std::string& _fromZone, const std::string& _to);

		nlohmann::json dump(const Daemon& _daemon) const;

		/// @returns How often each token ran, over all stand-ins of the upstreams.
		std::map<std::string, int> runs();

		/// @returns One record for each group of engine ranks.
		std::vector<nlohmann::json> engineRecords();

		/// Waits until the ranks of every group are on one map, with no switch open, and go
		/// on stepping.
		bool waitMapsSettled(Millis _timeoutMs);

		/// Sends an order to every group's stand-in.
		void controlEngines(const nlohmann::json& _order);

	private:
		std::string logPath(const std::string& _name) const;
		std::unique_ptr<ChildProcess> startProgram(const std::string& _program, const std::string& _argument, const std::string& _name);
		void startStubs();
		void startGroup(const std::string& _group, const std::vector<const Upstream*>& _members);
		void startAgents();
		void startEntries();
		void startDaemon(Daemon& _daemon);
		std::string link(const std::string& _name, const std::string& _target);

		const OfficeOptions options;
		std::string directory;
		Document parsed;
		std::unique_ptr<ChildProcess> platformProcess;
		std::unique_ptr<ChildProcess> proxyProcess;
		std::map<std::string, std::unique_ptr<ChildProcess>> stubProcesses; ///< By group or upstream.
		std::string platformAddress;
		std::string proxyAddress;
		std::vector<UpstreamStub> upstreamStubs;
		std::vector<std::string> groupAddresses;
		std::vector<std::unique_ptr<Daemon>> entryDaemons;
		std::vector<std::unique_ptr<Daemon>> agentDaemons;
		std::set<std::string> announced; ///< Whose links through the proxy are made.
		int commands = 0;
	};

	/// Sends JSON to a stand-in or a daemon.
	/// @returns The answer; null when there is none.
	nlohmann::json sendJson(const std::string& _address, const std::string& _method, const std::string& _path, const nlohmann::json& _body = nullptr);
} // namespace archdyke::lab
