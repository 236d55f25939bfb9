/// Runs an office on this machine: stand-ins, agents and entries as separate processes on
/// ports chosen by the kernel, optionally connected through the fault proxy.
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
	/// Options of an office.
	struct OfficeOptions
	{
		std::string file; ///< Path of the operators' file.
		std::uint32_t entriesPerZone = 2;
		bool viaProxy = false; ///< Routes all links between processes through the fault proxy.
		nlohmann::json engine = nlohmann::json::object();
		std::uint32_t engineSlots = 16;
		std::uint32_t serviceSlots = 32;
		double entryMemoryMb = 0.0; ///< Memory of each entry's VM, MiB; 0: the default.
		double agentMemoryMb = 0.0; ///< Likewise of each agent's.
	};

	/// A running daemon and what is needed to restart it.
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

	/// The stand-in of one upstream and its address.
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

		/// @returns Options for a load on this office through all its entries.
		LoadOptions loadOptions() const;
		const std::string& platform() const;

		/// Applies a file with the operators' command.
		/// @param[in] _file The office's own file when empty.
		CommandResult apply(const std::string& _file = "", std::vector<std::string> _more = {});
		CommandResult command(std::vector<std::string> _arguments);

		/// Starts a command without waiting for it.
		std::unique_ptr<ChildProcess> begin(std::vector<std::string> _arguments);

		/// Writes a changed copy of the office's file.
		/// @returns Path of the copy.
		std::string changedFile(const std::string& _name, const std::function<void(nlohmann::json&)>& _change);

		/// Waits until all entries are ready and connected to all agents.
		/// @returns Whether that happened in time.
		bool waitReady(Millis _timeoutMs = 20'000);

		/// Restarts a daemon on the same VM, i.e. with the same addresses.
		void restart(Daemon& _daemon);

		/// Kills the stand-in of a plain upstream.
		void killStub(const std::string& _upstream);

		/// Restarts the stand-ins of plain upstreams that have exited, at their previous addresses.
		/// @returns Number of restarted stand-ins.
		std::size_t restartStoppedStubs();

		/// Adds or updates a daemon in the platform's list of VMs.
		void announce(const Daemon& _daemon, const std::string& _state = "live");

		void platformFaults(const nlohmann::json& _faults);
		void linkFaults(const std::string& _link, const nlohmann::json& _faults);

		/// @returns Bytes transferred over each link, in both directions together.
		nlohmann::json linkCounts();

		/// Cuts or restores all links between two zones, or between a zone and the platform.
		void cutZones(const std::string& _a, const std::string& _b, bool _cut);
		void cutPlatform(const std::string& _zone, bool _cut);

		/// @returns Name of the link from a zone to an agent or an entry.
		static std::string linkName(const std::string& _fromZone, const std::string& _to);

		nlohmann::json dump(const Daemon& _daemon) const;

		/// @returns Number of runs of each token, summed over the stand-ins of all upstreams.
		std::map<std::string, int> runs();

		/// @returns One record for each group of engine ranks.
		std::vector<nlohmann::json> engineRecords();

		/// Waits until the ranks of every group use the same map, no map switch is pending, and the
		/// groups make steps.
		/// @returns Whether that happened in time.
		bool waitUntilMapsSettled(Millis _timeoutMs);

		/// Sends a control message to the stand-in of every group.
		void controlEngines(const nlohmann::json& _control);

	private:
		std::string logPath(const std::string& _name) const;
		std::unique_ptr<ChildProcess> startProgram(const std::string& _program, const std::string& _argument, const std::string& _name);
		void startStubs();
		void startGroup(const std::string& _group, const std::vector<const Upstream*>& _members);
		void startAgents();
		static void limitMemory(Daemon& _daemon, double _memoryMb);
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
		std::set<std::string> announced; ///< Daemons whose links through the proxy exist.
		int commands = 0;
	};

	/// Sends a JSON request to a stand-in or a daemon.
	/// @returns The response body; null without a response.
	nlohmann::json sendJson(const std::string& _address, const std::string& _method, const std::string& _path, const nlohmann::json& _body = nullptr);
} // namespace archdyke::lab
