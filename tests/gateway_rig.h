/// Test rig: gateways, upstream stubs and a store stub, each as a separate process.
#pragma once

#include <criterion/criterion.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "platform_lab.h"

namespace archdyke::tests
{
	using Json = nlohmann::json;

	constexpr Millis kRigWaitMs = 10'000;

	/// Temporary directory that is removed by the destructor.
	class ScratchDirectory
	{
	public:
		ScratchDirectory()
		{
			std::string pattern = (std::filesystem::temp_directory_path() / "archdyke-XXXXXX").string();
			cr_assert(nullptr != mkdtemp(pattern.data()));
			this->path = pattern;
		}

		~ScratchDirectory()
		{
			std::filesystem::remove_all(this->path);
		}

		ScratchDirectory(const ScratchDirectory&) = delete;
		ScratchDirectory& operator=(const ScratchDirectory&) = delete;

		std::string path;
	};

	using lab::clientOf;
	using lab::startTool;
	using RigStore = lab::StoreStub;

	/// An upstream stub that has a row in the store.
	struct RigWorker
	{
		std::string id;
		std::string address;
		std::unique_ptr<lab::ChildProcess> process;

		/// @returns What the upstream recorded about a request; null when it never received it.
		Json recordOf(const std::string& _request) const
		{
			const httplib::Result result = clientOf(this->address).Get("/record");
			const Json record = result ? Json::parse(result->body) : Json::object();
			return record.value(_request, Json());
		}
	};

	/// Response as received by a caller.
	struct RigResponse
	{
		int status = 0; ///< 0: no complete response.
		std::string body;
		httplib::Headers headers;
	};

	/// One gateway process with its addresses.
	struct RigGateway
	{
		std::unique_ptr<lab::ChildProcess> process;
		std::string callers;
		std::string readiness;
		std::string metrics;

		Json dump() const
		{
			const httplib::Result result = clientOf(this->metrics).Get("/dump");
			return result ? Json::parse(result->body) : Json();
		}

		bool isReady() const
		{
			const httplib::Result result = clientOf(this->readiness).Get("/readyz");
			return result && 200 == result->status;
		}

		RigResponse call(const std::string& _target, const httplib::Headers& _headers) const
		{
			httplib::Client client = clientOf(this->callers);
			const httplib::Result result = client.Get(_target, _headers);
			return result ? RigResponse{result->status, result->body, result->headers} : RigResponse();
		}

		/// Waits until the gateway is ready and knows the given number of upstreams.
		void waitReady(std::size_t _upstreams) const
		{
			cr_assert(lab::waitUntil(kRigWaitMs, [&] {
				const Json dump = this->dump();
				return this->isReady() && dump.is_object() && _upstreams == dump["upstreams"].size();
			}));
		}
	};

	/// A store stub, upstream stubs and one gateway.
	class GatewayRig
	{
	public:
		/// @param[in] _workers Ids of the upstreams, all of the service "svc".
		explicit GatewayRig(const std::vector<std::string>& _workers)
		    : store(this->directory.path + "/store.log")
		{
			for (const std::string& id : _workers)
			{
				this->addWorker(id);
			}
			this->configure(1);
			this->startGateway();
		}

		void addWorker(const std::string& _id)
		{
			RigWorker worker{_id, "", startTool("stub-worker", {{"id", _id}}, this->directory.path + "/" + _id + ".log")};
			worker.address = worker.process->listening("http");
			this->announce(worker, "ready");
			this->workers.push_back(std::move(worker));
		}

		void announce(const RigWorker& _worker, const std::string& _state)
		{
			this->store.put("servers", _worker.id, lab::upstreamJson("svc", _worker.address, _state));
		}

		static Json route(const std::string& _prefix, const std::string& _kind)
		{
			return lab::routeJson(_prefix, _kind);
		}

		/// Writes a configuration with the default routes and one key.
		void configure(std::uint64_t _version, const std::string& _key = "key-one", const Json& _moreRoutes = Json::array())
		{
			this->store.put("op", "config", lab::configurationJson(_version, {_key}, _moreRoutes));
		}

		void startGateway()
		{
			this->gateway = this->startGatewayNamed("gateway-1");
		}

		RigGateway startGatewayNamed(const std::string& _name) const
		{
			const std::string path = this->directory.path + "/" + _name + ".json";
			Json settings{{"name", _name}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", 9}, {"metrics", "127.0.0.1:0"}, {"store", this->store.address}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", this->revocationMs}, {"graceS", 8}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", this->retryAllowance}};
			settings.update(this->moreSettings);
			std::ofstream(path) << settings.dump();
			RigGateway started;
			started.process = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-gateway", std::vector<std::string>{"--settings", path}, this->directory.path + "/" + _name + ".log");
			started.callers = started.process->listening("http");
			started.readiness = started.process->listening("readiness");
			started.metrics = started.process->listening("metrics");
			return started;
		}

		/// Waits until the gateway is ready and knows all upstreams.
		void waitReady() const
		{
			this->gateway.waitReady(this->workers.size());
		}

		bool isReady() const
		{
			return this->gateway.isReady();
		}

		Json dump() const
		{
			return this->gateway.dump();
		}

		static httplib::Headers headersFor(const std::string& _request, Millis _patienceMs = 1'500, const std::string& _key = "key-one")
		{
			return {{"Host", "office.example"}, {"X-Archdyke-Request-Id", _request}, {"X-Archdyke-Deadline-Ms", std::to_string(_patienceMs)}, {"X-Api-Key", _key}};
		}

		RigResponse call(const std::string& _target, const httplib::Headers& _headers) const
		{
			return this->gateway.call(_target, _headers);
		}

		ScratchDirectory directory;
		RigStore store;
		std::vector<RigWorker> workers;
		RigGateway gateway;
		Json moreSettings = Json::object(); ///< Of the gateways that are started from now on.
		Millis revocationMs = 2'000;
		double retryAllowance = 655'360.0; ///< A gateway that doesn't know the number of gateways gets a quarter of 1/2,048 of it: 80 resends per window.
	};

	/// @returns How often a request ran, summed over all upstreams.
	inline int runsOf(const GatewayRig& _rig, const std::string& _request)
	{
		int runs = 0;
		for (const RigWorker& worker : _rig.workers)
		{
			const Json record = worker.recordOf(_request);
			runs += record.is_object() ? record["runs"].get<int>() : 0;
		}
		return runs;
	}

	/// @returns All events of a complete stream.
	inline std::string allEvents()
	{
		std::string events;
		for (int event = 1; event <= 12; ++event)
		{
			events += fmt::format("id: {}\ndata: piece {}\n\n", event, event);
		}
		return events;
	}
} // namespace archdyke::tests
