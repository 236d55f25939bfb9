#include "platform_lab.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <stdexcept>

#include "base/address.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr int kOk = 200;
		constexpr int kReadTimeoutS = 10;

		Json rowName(const std::string& _table, const std::string& _part, const std::string& _key)
		{
			return {{"table", _table}, {"part", _part}, {"key", _key}};
		}
	} // namespace

	std::unique_ptr<ChildProcess> startTool(const std::string& _name, const Json& _options, const std::string& _log)
	{
		return std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/tools/" + _name, std::vector<std::string>{_options.dump()}, _log);
	}

	httplib::Client clientOf(const std::string& _address)
	{
		const Address address = parseAddress(_address);
		httplib::Client client(address.host, address.port);
		client.set_read_timeout(kReadTimeoutS);
		return client;
	}

	Json routeJson(const std::string& _prefix, const std::string& _kind)
	{
		return {{"name", _prefix}, {"host", "office.example"}, {"pathPrefix", _prefix}, {"routeKind", _kind}, {"timeoutMs", 1'500}, {"sloMs", 300}, {"priority", 1}, {"service", "svc"}, {"maxAttempts", 2}, {"public", false}};
	}

	Json configurationJson(std::uint64_t _version, const std::vector<std::string>& _keys, const Json& _moreRoutes)
	{
		Json stream = routeJson("/stream/", "streaming");
		stream["resumable"] = true;
		Json open = routeJson("/open/", "idempotent");
		open["public"] = true;
		Json routes = Json::array({routeJson("/safe/", "idempotent"), routeJson("/once/", "non_idempotent"), stream, open});
		routes.insert(routes.end(), _moreRoutes.begin(), _moreRoutes.end());
		return {{"version", _version}, {"routes", routes}, {"services", Json::array({{{"name", "svc"}, {"maxConns", 50}}})}, {"limits", {{"maxHeaderBytes", 4'096}, {"maxBodyBytes", 65'536}, {"headerTimeoutMs", 700}, {"idleTimeoutMs", 5'000}}}, {"tenants", Json::array({{{"name", "kitchen"}, {"apiKeys", _keys}, {"priority", 1}}})}};
	}

	Json upstreamJson(const std::string& _service, const std::string& _address, const std::string& _state)
	{
		return {{"service", _service}, {"address", _address}, {"zone", "here"}, {"slots", 4}, {"state", _state}};
	}

	Json rankEngineJson()
	{
		return {{"slots", 4}, {"step_ms", 4.0}, {"per_seq_ms", 1.0}, {"read_per_s", 60'000.0}, {"chunk", 512}, {"stride", 1}, {"linkMbps", 180'000.0}, {"sets", 2}, {"experts", 8}, {"places", 4}, {"spare", 2}, {"expert_mb", 100.0}, {"expert_share", 0.8}, {"form_ms", 100.0}};
	}

	StoreStub::StoreStub(const std::string& _log)
	    : process(startTool("stub-store", Json::object(), _log))
	    , address(this->process->listening("http"))
	{
	}

	void StoreStub::put(const std::string& _table, const std::string& _key, const Json& _value)
	{
		this->putIn(_table, "", _key, _value.dump());
	}

	void StoreStub::putIn(const std::string& _table, const std::string& _part, const std::string& _key, const std::string& _value)
	{
		Json row = rowName(_table, _part, _key);
		row["value"] = absl::Base64Escape(_value);
		this->transact({{"put", Json::array({row})}});
	}

	void StoreStub::remove(const std::string& _table, const std::string& _key)
	{
		this->removeIn(_table, "", _key);
	}

	void StoreStub::removeIn(const std::string& _table, const std::string& _part, const std::string& _key)
	{
		this->transact({{"remove", Json::array({rowName(_table, _part, _key)})}});
	}

	void StoreStub::control(const Json& _control)
	{
		clientOf(this->address).Post("/control", _control.dump(), "application/json");
	}

	void StoreStub::restore(Millis _copyAt)
	{
		this->copyAt = _copyAt;
		this->restoredAt = nowMs();
		this->control({{"restoreMs", nowMs() - _copyAt}});
	}

	void StoreStub::rewriteLost()
	{
		std::map<std::string, const Write*> last; // by table, part and key
		for (const Write& write : this->writes)
		{
			for (const char* kind : {"put", "remove"})
			{
				for (const Json& row : write.body.value(kind, Json::array()))
				{
					last[row.value("table", "") + "/" + row.value("part", "") + "/" + row.value("key", "")] = &write;
				}
			}
		}
		std::vector<Json> lost;
		for (const Write& write : this->writes)
		{
			const bool isLast = std::any_of(last.begin(), last.end(), [&](const auto& _entry) {
				return _entry.second == &write;
			});
			if (isLast && this->copyAt < write.at && write.at <= this->restoredAt)
			{
				lost.push_back(write.body);
			}
		}
		for (const Json& body : lost)
		{
			this->transact(body); // recorded, since the next copy may lack it again
		}
	}

	void StoreStub::transact(const Json& _body)
	{
		this->send(_body);
		this->writes.push_back({nowMs(), _body});
	}

	void StoreStub::send(const Json& _body)
	{
		// With this header the stand-in serves the operator and the upstreams even while it rejects daemons.
		const httplib::Result result = clientOf(this->address).Post("/rows-tx", {{"X-Stub-Operator", "1"}}, _body.dump(), "application/json");
		if (!result || kOk != result->status)
		{
			throw std::runtime_error("the stand-in of the store rejected a write; see its log");
		}
	}

	ProxyStub::ProxyStub(const std::string& _log)
	    : process(startTool("stub-proxy", Json::object(), _log))
	    , control(this->process->listening("http"))
	{
	}

	std::string ProxyStub::link(const std::string& _name, const std::string& _target)
	{
		const httplib::Result result = clientOf(this->control).Post("/links", Json{{"name", _name}, {"target", _target}}.dump(), "application/json");
		if (!result || kOk != result->status)
		{
			throw std::runtime_error("the proxy did not create the link " + _name + "; see its log");
		}
		return Json::parse(result->body)["address"];
	}

	void ProxyStub::faults(const std::string& _link, Json _faults)
	{
		_faults["name"] = _link;
		clientOf(this->control).Post("/faults", _faults.dump(), "application/json");
	}
} // namespace archdyke::lab
