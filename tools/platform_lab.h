/// The programs for the users' platform before stand-ins of it: store, upstreams, a group of engine
/// ranks, gateways and sidecars, as processes of their own, with a proxy on each way.
#pragma once

#include <httplib.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "lab_process.h"

namespace archdyke::lab
{
	using Json = nlohmann::json;

	/// @returns A stand-in or tool of the build, started with its options.
	std::unique_ptr<ChildProcess> startTool(const std::string& _name, const Json& _options, const std::string& _log);

	/// @returns A client of "IP:port" that waits at most 10 s.
	httplib::Client clientOf(const std::string& _address);

	/// @returns A route to the service "svc" as the platform's operators write it.
	Json routeJson(const std::string& _prefix, const std::string& _kind);

	/// @returns A configuration with routes /safe/, /once/, /stream/ (resumable) and /open/ (public),
	/// and one organisation.
	Json configurationJson(std::uint64_t _version, const std::vector<std::string>& _keys, const Json& _moreRoutes);

	/// @returns A row of an upstream.
	Json upstreamJson(const std::string& _service, const std::string& _address, const std::string& _state);

	/// @returns The declared figures of the stand-in's group of ranks.
	Json rankEngineJson();

	/// The store's stand-in, as its operator and the upstreams use it.
	class StoreStub
	{
	public:
		explicit StoreStub(const std::string& _log);

		/// Writes one row, whatever its version.
		/// @throws std::runtime_error When the store doesn't take it.
		void put(const std::string& _table, const std::string& _key, const Json& _value);
		void putIn(const std::string& _table, const std::string& _part, const std::string& _key, const std::string& _value);
		void remove(const std::string& _table, const std::string& _key);
		void removeIn(const std::string& _table, const std::string& _part, const std::string& _key);
		void control(const Json& _control);

		std::unique_ptr<ChildProcess> process;
		std::string address;

	private:
		void transact(const Json& _body);
	};

	/// The fault proxy.
	class ProxyStub
	{
	public:
		explicit ProxyStub(const std::string& _log);

		/// @returns Address of a link to _target; a link of that name is made anew.
		std::string link(const std::string& _name, const std::string& _target);
		void faults(const std::string& _link, Json _faults);

		std::unique_ptr<ChildProcess> process;

	private:
		std::string control;
	};
} // namespace archdyke::lab
