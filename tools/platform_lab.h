/// Building blocks for running the programs for the users' platform (gateways, sidecars) against
/// stand-ins: store, upstreams, a group of engine ranks, and a fault proxy for the links between them.
#pragma once

#include <httplib.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "lab_process.h"

namespace archdyke::lab
{
	using Json = nlohmann::json;

	/// Starts a stand-in or tool of the build.
	/// @param[in] _options Passed as JSON in its only argument.
	std::unique_ptr<ChildProcess> startTool(const std::string& _name, const Json& _options, const std::string& _log);

	/// @returns A client for the address "IP:port" with a read timeout of 10 s.
	httplib::Client clientOf(const std::string& _address);

	/// @returns A route to the service "svc" in the format of the platform's operators.
	Json routeJson(const std::string& _prefix, const std::string& _kind);

	/// @returns A configuration with routes /safe/, /once/, /stream/ (resumable) and /open/ (public),
	/// and one organisation.
	Json configurationJson(std::uint64_t _version, const std::vector<std::string>& _keys, const Json& _moreRoutes);

	/// @returns The row of an upstream.
	Json upstreamJson(const std::string& _service, const std::string& _address, const std::string& _state);

	/// @returns The declared parameters of the engine that stub-ranks simulates.
	Json rankEngineJson();

	/// The stand-in of the store, written to as by the operator and the upstreams.
	class StoreStub
	{
	public:
		explicit StoreStub(const std::string& _log);

		/// Writes one row without a check of its version.
		/// @throws std::runtime_error When the store rejects the write.
		void put(const std::string& _table, const std::string& _key, const Json& _value);
		void putIn(const std::string& _table, const std::string& _part, const std::string& _key, const std::string& _value);
		void remove(const std::string& _table, const std::string& _key);
		void removeIn(const std::string& _table, const std::string& _part, const std::string& _key);
		void control(const Json& _control);

		/// Brings the store back from a copy.
		/// @param[in] _copyAt Time of the copy, local clock.
		void restore(Millis _copyAt);

		/// Writes again, as the operator and the upstreams do, the last state of each row that was written through this object
		/// since the last copy that the store came back from, and not after its return.
		void rewriteLost();

		std::unique_ptr<ChildProcess> process;
		std::string address;

	private:
		struct Write
		{
			Millis at = 0;
			Json body;
		};

		void transact(const Json& _body);
		void send(const Json& _body);

		std::vector<Write> writes; ///< Oldest first.
		Millis copyAt = 0;         ///< Time of the last copy that the store came back from.
		Millis restoredAt = 0;
	};

	/// The fault proxy.
	class ProxyStub
	{
	public:
		explicit ProxyStub(const std::string& _log);

		/// Creates a link to _target; replaces an existing link of that name.
		/// @returns Address of the link.
		std::string link(const std::string& _name, const std::string& _target);
		void faults(const std::string& _link, Json _faults);

		std::unique_ptr<ChildProcess> process;

	private:
		std::string control;
	};
} // namespace archdyke::lab
