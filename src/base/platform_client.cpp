#include "base/platform_client.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/http_server.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kOk = 200;
		constexpr int kNotFound = 404;
		constexpr int kConflict = 409;

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
		State(const Address& _address, const std::string& _zone)
		    : address(_address)
		    , zone(_zone)
		    , client(_address.host, _address.port)
		{
		}

		std::string checkResponse(const char* _operation, const httplib::Result& _result, const std::vector<int>& _expected, int* _status = nullptr)
		{
			if (!_result)
			{
				throw PlatformError(std::string(_operation) + ": no response from the platform at " + toString(this->address) + " (" + httplib::to_string(_result.error()) + "); check that it is up and reachable, then try again");
			}
			if (_expected.end() == std::find(_expected.begin(), _expected.end(), _result->status))
			{
				throw PlatformError(std::string(_operation) + ": the platform at " + toString(this->address) + " responded with status " + std::to_string(_result->status) + "; try again once it works again");
			}
			if (nullptr != _status)
			{
				*_status = _result->status;
			}
			return _result->body;
		}

		Address address;
		std::string zone;
		httplib::Client client;
	};

	PlatformClient::PlatformClient(const std::string& _address, const std::string& _zone, Millis _timeoutMs)
	    : state(std::make_unique<State>(parseAddress(_address), _zone))
	{
		const time_t seconds = _timeoutMs / 1000;
		const time_t micros = (_timeoutMs % 1000) * 1000;
		this->state->client.set_connection_timeout(seconds, micros);
		this->state->client.set_read_timeout(seconds, micros);
		this->state->client.set_write_timeout(seconds, micros);
		this->state->client.set_keep_alive(true);
		this->state->client.set_tcp_nodelay(true);
	}

	PlatformClient::~PlatformClient() = default;
	PlatformClient::PlatformClient(PlatformClient&&) noexcept = default;

	TableResult PlatformClient::transact(const TableTransaction& _transaction)
	{
		int status = 0;
		const std::string body = this->state->checkResponse("table transaction", this->state->client.Post("/table/transact", toJson(_transaction).dump(), "application/json"), {kOk, kConflict}, &status);
		return decodeResponse(body, [&](const Json& _json) {
			return TableResult{kOk == status, readRows(_json)};
		});
	}

	std::vector<TableRow> PlatformClient::scan(const std::string& _prefix)
	{
		return decodeResponse(this->state->checkResponse("table scan", this->state->client.Get("/table/scan?prefix=" + httplib::detail::encode_query_param(_prefix)), {kOk}), readRows);
	}

	void PlatformClient::putObject(const std::string& _name, const std::string& _bytes)
	{
		this->state->checkResponse("object write", this->state->client.Put("/objects/" + _name, _bytes, "application/octet-stream"), {kOk});
	}

	std::optional<std::string> PlatformClient::getObject(const std::string& _name)
	{
		int status = 0;
		std::string bytes = this->state->checkResponse("object read", this->state->client.Get("/objects/" + _name), {kOk, kNotFound}, &status);
		return kOk == status ? std::optional<std::string>(std::move(bytes)) : std::nullopt;
	}

	VmChanges PlatformClient::vmsSince(std::uint64_t _revision)
	{
		const std::string path = "/vms?zone=" + this->state->zone + "&since=" + std::to_string(_revision);
		return decodeResponse(this->state->checkResponse("VM list", this->state->client.Get(path), {kOk}), [](const Json& _json) {
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
