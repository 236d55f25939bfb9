#include "lab.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <set>

#include "archdyke/fields.h"
#include "base/http_server.h"

namespace archdyke::lab
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr const char* kLoopback = "127.0.0.1:0";
		constexpr Millis kCommandTimeoutMs = 60'000;

		std::string makeDirectory()
		{
			std::string pattern = (std::filesystem::temp_directory_path() / "archdyke-XXXXXX").string();
			if (nullptr == mkdtemp(pattern.data()))
			{
				throw std::runtime_error("cannot create a temporary directory for logs");
			}
			return pattern;
		}

		void writeFile(const std::string& _path, const std::string& _text)
		{
			std::ofstream(_path, std::ios::binary) << _text;
		}

		std::vector<std::string> split(const std::string& _text, char _separator)
		{
			std::vector<std::string> parts;
			std::istringstream stream(_text);
			for (std::string part; std::getline(stream, part, _separator);)
			{
				parts.push_back(part);
			}
			return parts;
		}
	} // namespace

	Json sendJson(const std::string& _address, const std::string& _method, const std::string& _path, const Json& _body)
	{
		const Address address = parseAddress(_address);
		httplib::Client client(address.host, address.port);
		client.set_connection_timeout(2);
		client.set_read_timeout(5);
		httplib::Request request;
		request.method = _method;
		request.path = _path;
		request.body = _body.is_null() ? "" : _body.dump();
		request.set_header("Content-Type", "application/json");
		const httplib::Result result = client.send(request);
		return result ? Json::parse(result->body, nullptr, false) : Json();
	}

	Office::Office(OfficeOptions _options)
	    : options(std::move(_options))
	    , directory(makeDirectory())
	    , parsed(parseDocument(this->options.file, readFile(this->options.file)))
	{
		this->startStubs();
		this->startAgents();
		this->startEntries();
	}

	Office::~Office()
	{
		this->entryDaemons.clear();
		this->agentDaemons.clear();
		this->stubProcesses.clear();
		this->platformProcess.reset();
		this->proxyProcess.reset();
		std::error_code ignored;
		if (nullptr == std::getenv("ARCHDYKE_KEEP_LOGS"))
		{
			std::filesystem::remove_all(this->directory, ignored);
		}
	}

	const Document& Office::document() const
	{
		return this->parsed;
	}

	std::vector<std::unique_ptr<Daemon>>& Office::entries()
	{
		return this->entryDaemons;
	}

	std::vector<std::unique_ptr<Daemon>>& Office::agents()
	{
		return this->agentDaemons;
	}

	namespace
	{
		Daemon& findDaemon(std::vector<std::unique_ptr<Daemon>>& _daemons, const std::string& _name)
		{
			for (const std::unique_ptr<Daemon>& daemon : _daemons)
			{
				if (_name == daemon->name)
				{
					return *daemon;
				}
			}
			throw std::runtime_error("the office has no daemon named " + _name);
		}
	} // namespace

	Daemon& Office::entry(const std::string& _name)
	{
		return findDaemon(this->entryDaemons, _name);
	}

	Daemon& Office::agent(const std::string& _name)
	{
		return findDaemon(this->agentDaemons, _name);
	}

	const std::vector<UpstreamStub>& Office::stubs() const
	{
		return this->upstreamStubs;
	}

	LoadOptions Office::loadOptions() const
	{
		LoadOptions load = loadOptionsFor(this->parsed);
		for (const std::unique_ptr<Daemon>& entry : this->entryDaemons)
		{
			load.entries.push_back(entry->http);
		}
		return load;
	}

	const std::string& Office::platform() const
	{
		return this->platformAddress;
	}

	std::string Office::logPath(const std::string& _name) const
	{
		return this->directory + "/" + _name + ".log";
	}

	std::unique_ptr<ChildProcess> Office::startProgram(const std::string& _program, const std::string& _argument, const std::string& _name)
	{
		return std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/tools/" + _program, std::vector<std::string>{_argument}, this->logPath(_name));
	}

	void Office::startGroup(const std::string& _group, const std::vector<const Upstream*>& _members)
	{
		const Service& service = *findService(this->parsed, _members.front()->service);
		Json stub = this->options.engine;
		stub.update({{"group", _group}, {"ranks", _members.size()}, {"experts", service.experts}, {"layers", service.layers}});
		std::unique_ptr<ChildProcess>& process = this->stubProcesses[_group];
		process = this->startProgram("stub-engine", stub.dump(), "engine-" + _group);
		const std::vector<std::string> addresses = split(process->listening("http"), ',');
		this->groupAddresses.push_back(addresses.front());
		for (const Upstream* member : _members)
		{
			this->upstreamStubs.push_back({member->name, member->service, addresses.at(member->rank)});
		}
	}

	void Office::startStubs()
	{
		this->platformProcess = this->startProgram("stub-platform", "{}", "platform");
		this->platformAddress = this->platformProcess->listening("http");
		if (this->options.viaProxy)
		{
			this->proxyProcess = this->startProgram("stub-proxy", "{}", "proxy");
			this->proxyAddress = this->proxyProcess->listening("http");
		}
		std::map<std::string, std::vector<const Upstream*>> groups;
		for (const Upstream& upstream : this->parsed.upstreams)
		{
			if (!upstream.group.empty())
			{
				groups[upstream.group].push_back(&upstream);
				continue;
			}
			std::unique_ptr<ChildProcess>& process = this->stubProcesses[upstream.name];
			process = this->startProgram("stub-service", "{}", "service-" + upstream.name);
			this->upstreamStubs.push_back({upstream.name, upstream.service, process->listening("http")});
		}
		for (const auto& [group, members] : groups)
		{
			this->startGroup(group, members);
		}
	}

	std::size_t Office::restartStoppedStubs()
	{
		std::size_t revived = 0;
		for (const UpstreamStub& stub : this->upstreamStubs)
		{
			const auto process = this->stubProcesses.find(stub.name);
			if (this->stubProcesses.end() != process && !process->second->running())
			{
				process->second = this->startProgram("stub-service", nlohmann::json{{"address", stub.address}}.dump(), "service-" + stub.name);
				process->second->listening("http");
				revived += 1;
			}
		}
		return revived;
	}

	std::string Office::link(const std::string& _name, const std::string& _target)
	{
		return sendJson(this->proxyAddress, "POST", "/links", {{"name", _name}, {"target", _target}}).at("address");
	}

	std::string Office::linkName(const std::string& _fromZone, const std::string& _to)
	{
		return _fromZone + ">" + _to;
	}

	void Office::startDaemon(Daemon& _daemon)
	{
		const std::string path = this->directory + "/" + _daemon.name + ".json";
		writeFile(path, _daemon.settings.dump(1, '\t'));
		std::error_code ignored;
		std::filesystem::rename(this->logPath(_daemon.name), this->logPath(_daemon.name) + ".old", ignored);
		_daemon.process = std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/" + _daemon.program, std::vector<std::string>{"--settings", path}, this->logPath(_daemon.name));
		_daemon.rpc = _daemon.process->listening("rpc");
		_daemon.admin = _daemon.process->listening("admin");
		_daemon.http = _daemon.process->listening("http");
		// A VM keeps its addresses when its process restarts.
		for (const auto& [field, address] : {std::pair{"rpc", &_daemon.rpc}, {"admin", &_daemon.admin}, {"http", &_daemon.http}})
		{
			if (_daemon.settings.contains(field))
			{
				_daemon.settings[field] = *address;
			}
		}
	}

	void Office::announce(const Daemon& _daemon, const std::string& _state)
	{
		Json vm{{"name", _daemon.name}, {"role", "archdyke-entry" == _daemon.program ? "entry" : "agent"}, {"zone", _daemon.zone}, {"state", _state}, {"rpc", _daemon.rpc}, {"admin", _daemon.admin}};
		if (this->options.viaProxy && "live" == _state && !this->announced.contains(_daemon.name))
		{
			this->announced.insert(_daemon.name);
			for (const Zone& zone : this->parsed.zones)
			{
				vm["views"][zone.name]["rpc"] = this->link(linkName(zone.name, _daemon.name), _daemon.rpc);
			}
		}
		sendJson(this->platformAddress, "PUT", "/control/vms", vm);
	}

	void Office::restart(Daemon& _daemon)
	{
		_daemon.process.reset();
		this->startDaemon(_daemon);
		this->announce(_daemon);
	}

	void Office::startAgents()
	{
		for (const UpstreamStub& stub : this->upstreamStubs)
		{
			const auto upstream = std::find_if(this->parsed.upstreams.begin(), this->parsed.upstreams.end(), [&](const Upstream& _upstream) {
				return stub.name == _upstream.name;
			});
			const bool model = !upstream->group.empty();
			auto daemon = std::make_unique<Daemon>();
			daemon->name = stub.name;
			daemon->zone = upstream->zone;
			daemon->program = "archdyke-agent";
			daemon->settings = {{"name", stub.name}, {"zone", upstream->zone}, {"rpc", kLoopback}, {"admin", kLoopback}, {"upstream", {{"kind", model ? "model" : "plain"}, {"address", stub.address}, {"slots", model ? this->options.engineSlots : this->options.serviceSlots}, {"checksFence", this->options.engine.value("checksFence", true)}}}};
			limitMemory(*daemon, this->options.agentMemoryMb);
			this->startDaemon(*daemon);
			this->announce(*daemon);
			this->agentDaemons.push_back(std::move(daemon));
		}
	}

	void Office::limitMemory(Daemon& _daemon, double _memoryMb)
	{
		if (0.0 < _memoryMb)
		{
			_daemon.settings["memoryMb"] = _memoryMb;
		}
	}

	void Office::startEntries()
	{
		for (const Zone& zone : this->parsed.zones)
		{
			for (std::uint32_t index = 1; index <= this->options.entriesPerZone; ++index)
			{
				auto daemon = std::make_unique<Daemon>();
				daemon->name = "entry-" + zone.name + "-" + std::to_string(index);
				daemon->zone = zone.name;
				daemon->program = "archdyke-entry";
				const std::string platform = this->options.viaProxy ? this->link("platform<" + daemon->name, this->platformAddress) : this->platformAddress;
				daemon->settings = {{"name", daemon->name}, {"zone", zone.name}, {"http", kLoopback}, {"rpc", kLoopback}, {"admin", kLoopback}, {"platform", platform}};
				limitMemory(*daemon, this->options.entryMemoryMb);
				this->startDaemon(*daemon);
				this->announce(*daemon);
				this->entryDaemons.push_back(std::move(daemon));
			}
		}
	}

	std::unique_ptr<ChildProcess> Office::begin(std::vector<std::string> _arguments)
	{
		return std::make_unique<ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke", std::move(_arguments), this->logPath("command-" + std::to_string(++this->commands)));
	}

	CommandResult Office::command(std::vector<std::string> _arguments)
	{
		const std::unique_ptr<ChildProcess> process = this->begin(std::move(_arguments));
		const std::optional<int> exitCode = process->waitForExit(kCommandTimeoutMs);
		return {exitCode.value_or(-1), process->output(), process->log()};
	}

	CommandResult Office::apply(const std::string& _file, std::vector<std::string> _more)
	{
		std::vector<std::string> arguments{"apply", _file.empty() ? this->options.file : _file, "--platform", this->platformAddress, "--output", "json"};
		arguments.insert(arguments.end(), _more.begin(), _more.end());
		return this->command(std::move(arguments));
	}

	std::string Office::changedFile(const std::string& _name, const std::function<void(Json&)>& _change)
	{
		Json json = parseJson(this->options.file, readFile(this->options.file));
		_change(json);
		const std::string path = this->directory + "/" + _name;
		writeFile(path, json.dump(1, '\t'));
		return path;
	}

	Json Office::dump(const Daemon& _daemon) const
	{
		return sendJson(_daemon.admin, "GET", "/dump");
	}

	bool Office::waitReady(Millis _timeoutMs)
	{
		return waitUntil(_timeoutMs, [this] {
			return std::all_of(this->entryDaemons.begin(), this->entryDaemons.end(), [this](const std::unique_ptr<Daemon>& _entry) {
				const Json state = this->dump(*_entry);
				if (!state.is_object() || !state["ready"].get<bool>() || state["agents"].size() != this->agentDaemons.size())
				{
					return false;
				}
				return std::all_of(state["agents"].begin(), state["agents"].end(), [](const Json& _agent) {
					return _agent["takesWork"].get<bool>();
				});
			});
		});
	}

} // namespace archdyke::lab
