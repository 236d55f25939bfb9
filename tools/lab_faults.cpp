#include <algorithm>
#include <set>

#include "lab.h"

namespace archdyke::lab
{
	namespace
	{
		using Json = nlohmann::json;

		/// Reads the record of a stand-in. Retries without a response, as the record alone shows what ran.
		/// @throws std::runtime_error When there is no response within 20 s.
		Json recordAt(const std::string& _address)
		{
			constexpr Millis kRecordTimeoutMs = 20'000;
			Json record;
			const bool received = waitUntil(kRecordTimeoutMs, [&] {
				record = sendJson(_address, "GET", "/record");
				return record.is_object();
			});
			if (!received)
			{
				throw std::runtime_error("the stand-in at " + _address + " did not return its record; see its log");
			}
			return record;
		}
	} // namespace

	void Office::platformFaults(const Json& _faults)
	{
		sendJson(this->platformAddress, "POST", "/control/faults", _faults);
	}

	void Office::linkFaults(const std::string& _link, const Json& _faults)
	{
		Json faults = _faults;
		faults["name"] = _link;
		sendJson(this->proxyAddress, "POST", "/faults", faults);
	}

	Json Office::linkCounts()
	{
		return sendJson(this->proxyAddress, "GET", "/counts");
	}

	void Office::cutZones(const std::string& _a, const std::string& _b, bool _cut)
	{
		const auto cut = [&](const std::vector<std::unique_ptr<Daemon>>& _daemons) {
			for (const std::unique_ptr<Daemon>& daemon : _daemons)
			{
				if (_a == daemon->zone || _b == daemon->zone)
				{
					this->linkFaults(linkName(_a == daemon->zone ? _b : _a, daemon->name), {{"cutToTarget", _cut}, {"cutToClient", _cut}});
				}
			}
		};
		cut(this->entryDaemons);
		cut(this->agentDaemons);
	}

	void Office::cutPlatform(const std::string& _zone, bool _cut)
	{
		for (const std::unique_ptr<Daemon>& daemon : this->entryDaemons)
		{
			if (_zone == daemon->zone)
			{
				this->linkFaults("platform<" + daemon->name, {{"cutToTarget", _cut}, {"cutToClient", _cut}});
			}
		}
	}

	void Office::killStub(const std::string& _upstream)
	{
		this->stubProcesses.at(_upstream)->kill();
	}

	void Office::controlEngines(const Json& _control)
	{
		for (const std::string& address : this->groupAddresses)
		{
			sendJson(address, "POST", "/control", _control);
		}
	}

	std::map<std::string, int> Office::runs()
	{
		std::map<std::string, int> all;
		std::set<std::string> asked;
		std::vector<std::string> addresses = this->groupAddresses;
		for (const UpstreamStub& stub : this->upstreamStubs)
		{
			if (ServiceKind::Plain == findService(this->parsed, stub.service)->kind)
			{
				addresses.push_back(stub.address);
			}
		}
		for (const std::string& address : addresses)
		{
			const Json record = recordAt(address);
			for (const auto& [token, count] : record.at("runs").items())
			{
				all[token] += count.get<int>();
			}
		}
		return all;
	}

	std::vector<Json> Office::engineRecords()
	{
		std::vector<Json> records;
		for (const std::string& address : this->groupAddresses)
		{
			records.push_back(recordAt(address));
		}
		return records;
	}

	bool Office::waitUntilMapsSettled(Millis _timeoutMs)
	{
		std::map<std::string, std::uint64_t> lastStep;
		return waitUntil(_timeoutMs, [&] {
			bool settled = true;
			for (const std::string& address : this->groupAddresses)
			{
				const Json record = recordAt(address);
				const Json& epochs = record.at("epochs");
				settled = settled && std::all_of(epochs.begin(), epochs.end(), [&](const Json& _epoch) {
					          return _epoch == epochs.front();
				          });
				const std::uint64_t step = record.at("step");
				settled = settled && 0 != lastStep[address] && lastStep[address] < step;
				lastStep[address] = step;
			}
			for (const std::unique_ptr<Daemon>& agent : this->agentDaemons)
			{
				const Json state = this->dump(*agent);
				settled = settled && state.is_object() && std::string::npos == state["map"].get<std::string>().find("pending");
			}
			return settled;
		});
	}
} // namespace archdyke::lab
