#include "base/platform_client.h"

#include <algorithm>
#include <httplib.h> // encode_query_param
#include <nlohmann/json.hpp>

#include "base/http_call.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kOk = 200;
		constexpr int kNotFound = 404;
		constexpr int kConflict = 409;
		/// Maximum sizes of a response's head and body, bytes.
		constexpr std::size_t kMaxHeadBytes = 16'384;
		constexpr std::size_t kMaxBodyBytes = std::size_t(64) << 20;

		Json toJson(const TableTransaction& _transaction)
		{
			Json json{{"reads", _transaction.reads}, {"conditions", Json::array()}, {"writes", Json::array()}};
			for (const TableCondition& condition : _transaction.conditions)
			{
				json["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
			}
			for (const TableWrite& write : _transaction.writes)
			{
				Json item{{"key", write.key}, {"value", write.value ? Json(*write.value) : Json(nullptr)}};
				if (0 < write.ttlSeconds)
				{
					item["ttlSeconds"] = write.ttlSeconds;
				}
				json["writes"].push_back(std::move(item));
			}
			return json;
		}

		std::vector<TableRow> readRows(const Json& _json)
		{
			std::vector<TableRow> rows;
			for (const Json& row : _json.at("rows"))
			{
				rows.push_back({row.at("key"), row.at("version"), row.at("value")});
			}
			return rows;
		}

		ListState readListState(const std::string& _text)
		{
			return "live" == _text ? ListState::Live : "leaving" == _text ? ListState::Leaving
			                                                              : ListState::Gone;
		}

		Vm readVm(const Json& _json)
		{
			Vm vm;
			vm.name = _json.at("name");
			vm.role = "entry" == _json.at("role") ? VmRole::Entry : VmRole::Agent;
			vm.zone = _json.at("zone");
			vm.state = readListState(_json.at("state"));
			vm.rpc = _json.value("rpc", "");
			vm.admin = _json.value("admin", "");
			return vm;
		}

		/// Parses a response of the platform and decodes it.
		/// @throws PlatformError If the response is invalid.
		template <typename Read>
		auto decodeResponse(const std::string& _body, Read _read)
		{
			try
			{
				return _read(Json::parse(_body));
			}
			catch (const Json::exception& error)
			{
				throw PlatformError(std::string("invalid response from the platform: ") + error.what() + "; check that the address is that of the platform");
			}
		}
	} // namespace

	TableRow rowOf(const TableResult& _result, const std::string& _key)
	{
		const auto it = std::find_if(_result.rows.begin(), _result.rows.end(), [&](const TableRow& _row) {
			return _key == _row.key;
		});
		return _result.rows.end() == it ? TableRow{_key, 0, ""} : *it;
	}

	struct PlatformClient::State
	{
		/// Sends a request.
		/// @returns The response, whose status is one of the expected ones.
		/// @throws PlatformError If there is no such response.
		HttpResponse call(const char* _operation, const HttpRequest& _request, const std::vector<int>& _expected) const
		{
			HttpCallResult result;
			std::optional<HttpResponse> response = fetchHttp(this->address, _request, {this->timeoutMs, this->timeoutMs, {kMaxHeadBytes, kMaxBodyBytes}}, &result);
			if (!response)
			{
				throw PlatformError(std::string(_operation) + ": no response from the platform at " + toString(this->address) + " (" + toString(result) + "); check that it is up and reachable, then try again");
			}
			if (_expected.end() == std::find(_expected.begin(), _expected.end(), response->head.status))
			{
				throw PlatformError(std::string(_operation) + ": the platform at " + toString(this->address) + " responded with status " + std::to_string(response->head.status) + "; try again once it works again");
			}
			return *std::move(response);
		}

		HttpResponse get(const char* _operation, const std::string& _target, const std::vector<int>& _expected) const
		{
			return this->call(_operation, {"GET", _target, {}, ""}, _expected);
		}

		const Address address;
		const std::string zone;
		const Millis timeoutMs;
	};

	PlatformClient::PlatformClient(const std::string& _address, const std::string& _zone, Millis _timeoutMs)
	    : state(new State{parseAddress(_address), _zone, _timeoutMs})
	{
	}

	PlatformClient::~PlatformClient() = default;
	PlatformClient::PlatformClient(PlatformClient&&) noexcept = default;

	TableResult PlatformClient::transact(const TableTransaction& _transaction)
	{
		const HttpResponse response = this->state->call("table transaction", {"POST", "/table/transact", {{"Content-Type", "application/json"}}, toJson(_transaction).dump()}, {kOk, kConflict});
		return decodeResponse(response.body, [&](const Json& _json) {
			return TableResult{kOk == response.head.status, readRows(_json)};
		});
	}

	std::vector<TableRow> PlatformClient::scan(const std::string& _prefix)
	{
		return decodeResponse(this->state->get("table scan", "/table/scan?prefix=" + httplib::detail::encode_query_param(_prefix), {kOk}).body, readRows);
	}

	void PlatformClient::putObject(const std::string& _name, const std::string& _bytes)
	{
		this->state->call("object write", {"PUT", "/objects/" + _name, {{"Content-Type", "application/octet-stream"}}, _bytes}, {kOk});
	}

	std::optional<std::string> PlatformClient::getObject(const std::string& _name)
	{
		HttpResponse response = this->state->get("object read", "/objects/" + _name, {kOk, kNotFound});
		return kOk == response.head.status ? std::optional<std::string>(std::move(response.body)) : std::nullopt;
	}

	VmChanges PlatformClient::vmsSince(std::uint64_t _revision)
	{
		const std::string path = "/vms?zone=" + this->state->zone + "&since=" + std::to_string(_revision);
		return decodeResponse(this->state->get("VM list", path, {kOk}).body, [](const Json& _json) {
			VmChanges changes;
			changes.revision = _json.at("revision");
			for (const Json& vm : _json.at("vms"))
			{
				changes.vms.push_back(readVm(vm));
			}
			return changes;
		});
	}
} // namespace archdyke
