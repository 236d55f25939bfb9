#include "base/platform_client.h"

#include <algorithm>
#include <httplib.h> // encode_query_param
#include <nlohmann/json.hpp>

#include "base/foreign_json.h"
#include "base/http_call.h"
#include "base/log.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kOk = 200;
		constexpr int kNotFound = 404;
		constexpr int kConflict = 409;
		/// Maximum size of a response's head, bytes.
		constexpr std::size_t kMaxHeadBytes = 16'384;
		/// Part of a VM's memory that one body may have: several threads call the platform, and a body that grows is held twice.
		constexpr double kBodyMemoryDivisor = 32.0;
		/// Bytes that are logged of an item that can't be read.
		constexpr std::size_t kLoggedItemBytes = 100;

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

		TableRow readRow(const Json& _json)
		{
			return {_json.at("key"), readCount(_json, "version"), _json.at("value")};
		}

		ListState readListState(const std::string& _text)
		{
			return "live" == _text ? ListState::Live : "leaving" == _text ? ListState::Leaving
			                                                              : ListState::Gone;
		}

		/// @throws ArchdykeError If it isn't an address; none is one too.
		std::string readAddress(const Json& _json, const char* _field)
		{
			const std::string text = _json.value(_field, "");
			return text.empty() ? text : toString(parseAddress(text));
		}

		Vm readVm(const Json& _json)
		{
			Vm vm;
			vm.name = _json.at("name");
			vm.role = "entry" == _json.at("role").get<std::string>() ? VmRole::Entry : VmRole::Agent;
			vm.zone = _json.at("zone");
			vm.state = readListState(_json.at("state"));
			if (ListState::Gone != vm.state)
			{
				vm.rpc = readAddress(_json, "rpc");
				vm.admin = readAddress(_json, "admin");
			}
			return vm;
		}

		[[noreturn]] void throwInvalidResponse(const std::string& _reason)
		{
			throw PlatformError("invalid response from the platform: " + _reason + "; check that the address is that of the platform");
		}

		/// The object of a response and the items of its array.
		template <typename Item>
		struct ItemList
		{
			Json object;
			std::vector<Item> items;
			std::size_t skipped = 0;
		};

		/// Reads the items of a response. Those that can't be read are logged and left out.
		/// @throws PlatformError If the response has no such items.
		template <typename Item>
		ItemList<Item> readItems(std::string_view _body, const char* _field, Item (*_read)(const Json&))
		{
			const std::optional<JsonItems> texts = splitJsonItems(_body, _field);
			std::optional<Json> object = texts ? parseForeignJson(texts->rest) : std::nullopt;
			if (!object)
			{
				throwInvalidResponse(std::string("it isn't an object with the array \"") + _field + "\"");
			}
			ItemList<Item> list{*std::move(object), {}, 0};
			for (const std::string_view text : texts->items)
			{
				std::string reason = "it isn't JSON, has a number out of range, or is nested too deeply";
				try
				{
					if (const std::optional<Json> json = parseForeignJson(text))
					{
						list.items.push_back(_read(*json));
						continue;
					}
				}
				catch (const Json::exception& error)
				{
					reason = error.what();
				}
				catch (const ArchdykeError& error)
				{
					reason = error.what();
				}
				list.skipped += 1;
				logWarning("platform_item_unreadable", {{"list", _field}, {"item", text.substr(0, kLoggedItemBytes)}, {"reason", reason}});
			}
			return list;
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
			std::optional<HttpResponse> response = fetchHttp(this->address, _request, {this->timeoutMs, this->timeoutMs, {kMaxHeadBytes, this->maxBodyBytes}}, &result);
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
		const std::size_t maxBodyBytes;
	};

	std::size_t platformBodyLimit(double _memoryMb)
	{
		constexpr double kMiB = 1'048'576.0;
		return std::min(kMaxPlatformBodyBytes, std::size_t(_memoryMb * kMiB / kBodyMemoryDivisor));
	}

	PlatformClient::PlatformClient(const std::string& _address, const std::string& _zone, Millis _timeoutMs, std::size_t _maxBodyBytes)
	    : state(new State{parseAddress(_address), _zone, _timeoutMs, _maxBodyBytes})
	{
	}

	PlatformClient::~PlatformClient() = default;
	PlatformClient::PlatformClient(PlatformClient&&) noexcept = default;

	TableResult PlatformClient::transact(const TableTransaction& _transaction)
	{
		const HttpResponse response = this->state->call("table transaction", {"POST", "/table/transact", {{"Content-Type", "application/json"}}, toJson(_transaction).dump()}, {kOk, kConflict});
		ItemList<TableRow> rows = readItems(response.body, "rows", readRow);
		if (0 < rows.skipped)
		{
			// A row that is left out would be taken for one that doesn't exist.
			throwInvalidResponse("a row can't be read");
		}
		return {kOk == response.head.status, std::move(rows.items)};
	}

	std::vector<TableRow> PlatformClient::scan(const std::string& _prefix)
	{
		return readItems(this->state->get("table scan", "/table/scan?prefix=" + httplib::detail::encode_query_param(_prefix), {kOk}).body, "rows", readRow).items;
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
		ItemList<Vm> list = readItems(this->state->get("VM list", path, {kOk}).body, "vms", readVm);
		try
		{
			return {readCount(list.object, "revision"), std::move(list.items)};
		}
		catch (const ArchdykeError& error)
		{
			throwInvalidResponse(error.what());
		}
	}
} // namespace archdyke
