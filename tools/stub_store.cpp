/// Stub of the platform's metadata store: versioned rows, conditional transactions and a change feed,
/// with injected faults.
///
/// Options: {"address"?}. POST /control {"mode": "up" | "busy" | "silent" | "lose", "delayMs"?,
/// "forget"?}: "busy" returns 503, "silent" sends no response, "lose" applies writes without sending a
/// response, "forget" drops the change history once; "restoreMs": N: the store is back from the copy of N ms ago: what was
/// written since is gone, versions are given out again, and its era, which all responses name, rises by one. Writes with the header X-Stub-Operator are served
/// at once in all modes. GET /record returns the numbers of connections and of calls, those of operators aside.
#include <absl/strings/escaping.h>
#include <absl/synchronization/mutex.h>
#include <deque>
#include <map>
#include <set>

#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;

		/// How long a silent store keeps a connection open, ms; longer than any client timeout.
		constexpr Millis kSilentHoldMs = 20'000;

		struct RowName
		{
			std::string table;
			std::string part;
			std::string key;

			auto operator<=>(const RowName&) const = default;
		};

		struct StoredRow
		{
			std::string value; ///< Base64, as sent.
			std::uint64_t version = 0;
			bool deleted = false;
		};

		/// The rows after one write.
		struct Copy
		{
			Millis at = 0;
			std::map<RowName, StoredRow> rows;
			std::uint64_t newestVersion = 0;
		};

		/// How long copies are kept, ms.
		constexpr Millis kCopyRetentionMs = 30'000;

		struct Faults
		{
			std::string mode = "up";
			Millis delayMs = 0;
		};

		class Store
		{
		public:
			void addRoutes(httplib::Server& _routes)
			{
				_routes.Get("/record", [this](const httplib::Request&, httplib::Response& _response) {
					absl::MutexLock lock(&this->mutex);
					_response.set_content(Json{{"connections", this->callers.size()}, {"calls", this->calls}}.dump(), "application/json");
				});
				_routes.Post("/rows-tx", [this](const httplib::Request& _request, httplib::Response& _response) {
					if (_request.has_header("X-Stub-Operator"))
					{
						this->transact(Json::parse(_request.body), _response);
						return;
					}
					this->count(_request);
					this->serveWithFaults(_response, true, [&] {
						this->transact(Json::parse(_request.body), _response);
					});
				});
				_routes.Get("/rows-get", [this](const httplib::Request& _request, httplib::Response& _response) {
					this->count(_request);
					this->serveWithFaults(_response, false, [&] {
						this->serveRead(_request, _response);
					});
				});
				_routes.Get("/rows-feed", [this](const httplib::Request& _request, httplib::Response& _response) {
					this->count(_request);
					this->serveWithFaults(_response, false, [&] {
						this->serveFeed(_request, _response);
					});
				});
				_routes.Post("/control", [this](const httplib::Request& _request, httplib::Response&) {
					this->control(Json::parse(_request.body));
				});
			}

		private:
			static void pause(Millis _ms)
			{
				absl::Mutex never;
				absl::MutexLock lock(&never);
				bool done = false;
				never.AwaitWithTimeout(absl::Condition(&done), absl::Milliseconds(_ms));
			}

			void count(const httplib::Request& _request)
			{
				absl::MutexLock lock(&this->mutex);
				this->calls += 1;
				this->callers.insert(_request.remote_addr + ":" + std::to_string(_request.remote_port));
			}

			Faults currentFaults()
			{
				absl::MutexLock lock(&this->mutex);
				return this->faults;
			}

			template <typename Work>
			void serveWithFaults(httplib::Response& _response, bool _writes, Work _work)
			{
				Faults faults = this->currentFaults();
				pause(faults.delayMs);
				faults = this->currentFaults(); // a fault set during the delay applies to calls in progress
				if ("busy" == faults.mode)
				{
					_response.status = 503;
					return;
				}
				if ("silent" == faults.mode)
				{
					pause(kSilentHoldMs);
					_response.status = 503;
					return;
				}
				_work();
				if ("lose" == faults.mode && _writes)
				{
					pause(kSilentHoldMs);
				}
			}

			void control(const Json& _json)
			{
				absl::MutexLock lock(&this->mutex);
				this->faults = {_json.value("mode", this->faults.mode), _json.value("delayMs", Millis(0))};
				this->historyStart = _json.value("forget", false) ? this->newestVersion : this->historyStart;
				if (_json.contains("restoreMs"))
				{
					this->restore(nowMs() - _json["restoreMs"].get<Millis>());
				}
			}

			/// Goes back to the rows as they were at a time.
			void restore(Millis _at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
			{
				while (!this->copies.empty() && this->copies.back().at > _at)
				{
					this->copies.pop_back();
				}
				this->rows = this->copies.empty() ? std::map<RowName, StoredRow>() : this->copies.back().rows;
				this->newestVersion = this->copies.empty() ? 1 : this->copies.back().newestVersion;
				this->historyStart = std::min(this->historyStart, this->newestVersion);
				this->era += 1;
				logInfo("restored", {{"era", this->era}, {"version", this->newestVersion}});
			}

			void setEra(httplib::Response& _response) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
			{
				_response.set_header("Store-Era", std::to_string(this->era));
			}

			Json emptyResponse() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
			{
				return Json{{"rows", Json::array()}, {"more", false}, {"ver", this->newestVersion}, {"now_ms", nowMs()}};
			}

			static Json rowJson(const RowName& _name, const StoredRow& _row)
			{
				Json json{{"table", _name.table}, {"part", _name.part}, {"key", _name.key}, {"ver", _row.version}};
				if (_row.deleted)
				{
					json["gone"] = true;
				}
				else
				{
					json["value"] = _row.value;
				}
				return json;
			}

			static RowName nameOf(const Json& _json)
			{
				return {_json.value("table", ""), _json.value("part", ""), _json.value("key", "")};
			}

			void transact(const Json& _body, httplib::Response& _response)
			{
				absl::MutexLock lock(&this->mutex);
				this->setEra(_response);
				Json result = this->emptyResponse();
				bool conditionsMet = true;
				for (const Json& expected : _body.value("expectedRev", Json::array()))
				{
					const auto it = this->rows.find(nameOf(expected));
					const bool exists = this->rows.end() != it && !it->second.deleted;
					conditionsMet = conditionsMet && expected.value("ver", std::uint64_t(0)) == (exists ? it->second.version : 0);
					if (exists)
					{
						result["rows"].push_back(rowJson(it->first, it->second));
					}
				}
				if (!conditionsMet)
				{
					_response.status = 412;
					_response.set_content(result.dump(), "application/json");
					return;
				}
				this->newestVersion += 1;
				for (const Json& put : _body.value("put", Json::array()))
				{
					this->rows[nameOf(put)] = {put.value("value", ""), this->newestVersion, false};
				}
				for (const Json& removed : _body.value("remove", Json::array()))
				{
					this->rows[nameOf(removed)] = {"", this->newestVersion, true};
				}
				this->copies.push_back({nowMs(), this->rows, this->newestVersion});
				while (this->copies.size() > 1 && this->copies[1].at < nowMs() - kCopyRetentionMs)
				{
					this->copies.pop_front();
				}
				_response.set_content(Json{{"ver", this->newestVersion}, {"now_ms", nowMs()}}.dump(), "application/json");
			}

			void serveRead(const httplib::Request& _request, httplib::Response& _response)
			{
				absl::MutexLock lock(&this->mutex);
				this->setEra(_response);
				Json result = this->emptyResponse();
				for (const auto& [name, row] : this->rows)
				{
					const bool wanted = name.table == _request.get_param_value("table") && name.part == _request.get_param_value("part") && name.key >= _request.get_param_value("from");
					if (wanted && !row.deleted)
					{
						result["rows"].push_back(rowJson(name, row));
					}
				}
				_response.set_content(result.dump(), "application/json");
			}

			bool hasChanges(const std::string& _table, std::uint64_t _since) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
			{
				return std::any_of(this->rows.begin(), this->rows.end(), [&](const auto& _entry) {
					return _entry.first.table == _table && _entry.second.version > _since;
				});
			}

			void serveFeed(const httplib::Request& _request, httplib::Response& _response)
			{
				const std::string table = _request.get_param_value("table");
				const std::uint64_t since = std::stoull(_request.get_param_value("sinceRev"));
				const Millis waitMs = std::stoll(_request.get_param_value("waitMs"));
				absl::MutexLock lock(&this->mutex);
				const std::uint64_t eraBefore = this->era;
				const auto ready = [&] {
					this->mutex.AssertHeld();
					return this->hasChanges(table, since) || "up" != this->faults.mode || eraBefore != this->era;
				};
				if (this->historyStart <= since && since <= this->newestVersion)
				{
					this->mutex.AwaitWithTimeout(absl::Condition(&ready), absl::Milliseconds(waitMs));
				}
				this->setEra(_response);
				if (since < this->historyStart || this->newestVersion < since)
				{
					_response.status = 410;
					return;
				}
				if ("busy" == this->faults.mode)
				{
					_response.status = 503;
					return;
				}
				Json result = this->emptyResponse();
				for (const auto& [name, row] : this->rows)
				{
					if (name.table == table && row.version > since)
					{
						result["rows"].push_back(rowJson(name, row));
					}
				}
				_response.set_content(result.dump(), "application/json");
			}

			absl::Mutex mutex;
			std::map<RowName, StoredRow> rows ABSL_GUARDED_BY(mutex);
			std::uint64_t newestVersion ABSL_GUARDED_BY(mutex) = 1;
			std::uint64_t historyStart ABSL_GUARDED_BY(mutex) = 0;
			std::uint64_t era ABSL_GUARDED_BY(mutex) = 1;
			std::deque<Copy> copies ABSL_GUARDED_BY(mutex); ///< Oldest first.
			Faults faults ABSL_GUARDED_BY(mutex);
			std::set<std::string> callers ABSL_GUARDED_BY(mutex); ///< Addresses and ports of connections.
			std::uint64_t calls ABSL_GUARDED_BY(mutex) = 0;
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		Store store;
		HttpServer server;
		store.addRoutes(server.routes());
		const Address address = server.start(parseAddress(_options.value("address", "127.0.0.1:0")));
		logInfo("listening", {{"http", toString(address)}});
		waitForStopSignal();
		server.stop();
	}
} // namespace archdyke::stub
