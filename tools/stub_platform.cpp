/// Stub of the platform: transactional table, object store and VM list. Injects outages, delays,
/// lost responses and a stale VM list.
///
/// Options: {"address"?}. Routes:
///   POST /table/transact, GET /table/scan, PUT and GET /objects/NAME, GET /vms
///   PUT  /control/vms     {"name","role","zone","state","rpc","admin","views":{ZONE:{"rpc","admin"}}}
///   POST /control/faults  {"outage","delayMs","loseAnswers","vmLagMs"}, each optional
///   GET  /control/counts
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <map>
#include <mutex>

#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;

		struct Row
		{
			std::uint64_t version = 0;
			std::string value;
			Millis expiresAt = 0; ///< 0 when it does not expire.
		};

		struct VmRecord
		{
			Json vm;
			std::uint64_t revision = 0;
			Millis changedAt = 0;
		};

		struct Faults
		{
			bool outage = false;
			Millis delayMs = 0;
			int responsesToLose = 0; ///< Number of further writes that take effect but whose response is lost.
			Millis vmListLagMs = 0;
		};

		class Platform
		{
		public:
			void addRoutes(httplib::Server& _server)
			{
				using Request = httplib::Request;
				using Response = httplib::Response;
				_server.Post("/table/transact", [this](const Request& _request, Response& _response) {
					this->serveWithFaults(_response, [&] {
						this->transact(Json::parse(_request.body), _response);
					});
				});
				_server.Get("/table/scan", [this](const Request& _request, Response& _response) {
					this->serveWithFaults(_response, [&] {
						this->scan(_request.get_param_value("prefix"), _response);
					});
				});
				_server.Put(R"(/objects/(.+))", [this](const Request& _request, Response& _response) {
					this->serveWithFaults(_response, [&] {
						const std::lock_guard lock(this->mutex);
						this->objects[_request.matches[1]] = _request.body;
					});
				});
				_server.Get(R"(/objects/(.+))", [this](const Request& _request, Response& _response) {
					this->serveWithFaults(_response, [&] {
						this->getObject(_request.matches[1], _response);
					});
				});
				_server.Get("/vms", [this](const Request& _request, Response& _response) {
					this->serveWithFaults(_response, [&] {
						this->listVms(_request, _response);
					});
				});
				_server.Put("/control/vms", [this](const Request& _request, Response&) {
					this->putVm(Json::parse(_request.body));
				});
				_server.Post("/control/faults", [this](const Request& _request, Response&) {
					this->setFaults(Json::parse(_request.body));
				});
				_server.Get("/control/counts", [this](const Request&, Response& _response) {
					const std::lock_guard lock(this->mutex);
					_response.set_content(Json{{"calls", this->calls}, {"writes", this->writes}}.dump(), "application/json");
				});
			}

		private:
			template <typename Work>
			void serveWithFaults(httplib::Response& _response, Work _work)
			{
				Faults active;
				{
					const std::lock_guard lock(this->mutex);
					active = this->faults;
					this->calls += 1;
				}
				if (0 < active.delayMs)
				{
					absl::Notification never;
					never.WaitForNotificationWithTimeout(absl::Milliseconds(active.delayMs));
				}
				if (active.outage)
				{
					_response.status = 503;
					return;
				}
				_work();
			}

			Row rowAt(const std::string& _key)
			{
				const auto it = this->rows.find(_key);
				const bool exists = this->rows.end() != it && (0 == it->second.expiresAt || nowMs() < it->second.expiresAt);
				return exists ? it->second : Row{};
			}

			static Json toJson(const std::string& _key, const Row& _row)
			{
				return {{"key", _key}, {"version", _row.version}, {"value", _row.value}};
			}

			void transact(const Json& _body, httplib::Response& _response)
			{
				const std::lock_guard lock(this->mutex);
				Json result = Json::array();
				Json failed = Json::array();
				for (const Json& key : _body.at("reads"))
				{
					result.push_back(toJson(key, this->rowAt(key)));
				}
				for (const Json& condition : _body.at("conditions"))
				{
					const Row row = this->rowAt(condition.at("key"));
					if (row.version != condition.at("version").get<std::uint64_t>())
					{
						failed.push_back(toJson(condition.at("key"), row));
					}
				}
				if (!failed.empty())
				{
					_response.status = 409;
					result.insert(result.end(), failed.begin(), failed.end());
				}
				else
				{
					for (const Json& write : _body.at("writes"))
					{
						this->write(write);
					}
				}
				const bool loseResponse = !_body.at("writes").empty() && failed.empty() && 0 < this->faults.responsesToLose;
				if (loseResponse)
				{
					this->faults.responsesToLose -= 1;
					_response.status = 504;
					return;
				}
				_response.set_content(Json{{"rows", result}}.dump(), "application/json");
			}

			void write(const Json& _write)
			{
				this->writes += 1;
				const std::string key = _write.at("key");
				if (_write.at("value").is_null())
				{
					this->rows.erase(key);
					return;
				}
				Row& row = this->rows[key];
				row.version = ++this->lastVersion;
				row.value = _write.at("value");
				row.expiresAt = _write.contains("ttlSeconds") ? nowMs() + 1000 * _write["ttlSeconds"].get<Millis>() : 0;
			}

			void scan(const std::string& _prefix, httplib::Response& _response)
			{
				const std::lock_guard lock(this->mutex);
				Json result = Json::array();
				for (auto it = this->rows.lower_bound(_prefix); this->rows.end() != it && it->first.starts_with(_prefix); ++it)
				{
					result.push_back(toJson(it->first, it->second));
				}
				_response.set_content(Json{{"rows", result}}.dump(), "application/json");
			}

			void getObject(const std::string& _name, httplib::Response& _response)
			{
				const std::lock_guard lock(this->mutex);
				const auto it = this->objects.find(_name);
				if (this->objects.end() == it)
				{
					_response.status = 404;
					return;
				}
				_response.set_content(it->second, "application/octet-stream");
			}

			/// Returns the list as seen from a zone, without VMs that changed in the last vmLagMs.
			void listVms(const httplib::Request& _request, httplib::Response& _response)
			{
				const std::lock_guard lock(this->mutex);
				const std::uint64_t since = std::stoull(_request.get_param_value("since"));
				const std::string zone = _request.get_param_value("zone");
				std::uint64_t revision = since;
				Json list = Json::array();
				for (const auto& [name, record] : this->vms)
				{
					if (record.revision <= since || nowMs() - record.changedAt < this->faults.vmListLagMs)
					{
						continue;
					}
					Json vm = record.vm;
					if (vm.contains("views") && vm["views"].contains(zone))
					{
						vm.update(vm["views"][zone]);
					}
					vm.erase("views");
					list.push_back(vm);
					revision = std::max(revision, record.revision);
				}
				_response.set_content(Json{{"revision", revision}, {"vms", list}}.dump(), "application/json");
			}

			void putVm(const Json& _vm)
			{
				const std::lock_guard lock(this->mutex);
				VmRecord& record = this->vms[_vm.at("name")];
				record.vm.update(_vm);
				record.revision = ++this->vmRevision;
				record.changedAt = nowMs();
			}

			void setFaults(const Json& _faults)
			{
				const std::lock_guard lock(this->mutex);
				this->faults.outage = _faults.value("outage", this->faults.outage);
				this->faults.delayMs = _faults.value("delayMs", this->faults.delayMs);
				this->faults.responsesToLose = _faults.value("loseAnswers", this->faults.responsesToLose);
				this->faults.vmListLagMs = _faults.value("vmLagMs", this->faults.vmListLagMs);
			}

			std::mutex mutex;
			Faults faults;
			std::map<std::string, Row> rows;
			std::map<std::string, std::string> objects;
			std::map<std::string, VmRecord> vms;
			std::uint64_t lastVersion = 0;
			std::uint64_t vmRevision = 0;
			std::uint64_t calls = 0;
			std::uint64_t writes = 0;
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		Platform platform;
		HttpServer server;
		platform.addRoutes(server.routes());
		const Address address = server.start(parseAddress(_options.value("address", "127.0.0.1:0")));
		logInfo("listening", {{"http", toString(address)}});
		waitForStopSignal();
		server.stop();
	}
} // namespace archdyke::stub
