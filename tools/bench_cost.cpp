/// Bench of costs per request, stream, known agent, organisation, configuration version and rank in a
/// map switch. Each cost is measured at four sizes and fitted by a line, whose error is printed.
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>
#include <unistd.h>

#include "archdyke/admission.h"
#include "archdyke/ledger.h"
#include "archdyke/mapswitch.h"
#include "archdyke/placement.h"
#include "base/process.h"
#include "bench.h"
#include "entry/config_keeper.h"
#include "lab.h"
#include "load.h"

namespace archdyke::bench
{
	namespace
	{
		using Json = nlohmann::json;

		/// @returns Mean time of one call of _work, us.
		double timeUs(int _repetitions, const std::function<void()>& _work)
		{
			const auto start = std::chrono::steady_clock::now();
			for (int index = 0; index < _repetitions; ++index)
			{
				_work();
			}
			return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / _repetitions;
		}

		/// Measures at several sizes and fits a line through the results.
		Table slopeTable(const std::string& _title, const std::string& _size, const std::string& _unit, const std::vector<double>& _sizes, const std::function<double(double)>& _measure)
		{
			Table table;
			table.title = _title;
			table.columns = {_size, _unit};
			std::vector<double> values;
			for (const double size : _sizes)
			{
				values.push_back(_measure(size));
				table.rows.push_back({fmt::format("{:.0f}", size), fmt::format("{:.3f}", values.back())});
			}
			const Fit fit = fitLine(_sizes, values);
			table.rows.push_back({"fit", fmt::format("{:.3f} + {:.6f} each, error {:.0f}%", fit.intercept, fit.slope, 100.0 * fit.relativeError)});
			return table;
		}

		Json makeDocument(int _organisations, int _agents)
		{
			Json document{{"office", "bench"}, {"zones", {{{"name", "z"}, {"region", "r"}}}}, {"services", {{{"name", "shop"}, {"kind", "plain"}, {"deadlineMs", 5000}, {"notRepeatable", {{{"method", "POST"}, {"pathPrefix", "/orders"}}}}}}}, {"organisations", Json::array()}, {"upstreams", Json::array()}};
			for (int index = 0; index < _organisations; ++index)
			{
				const std::string name = 0 == index ? "alpha" : "org-" + std::to_string(index);
				document["organisations"].push_back({{"name", name}, {"keyDigest", sha256Hex("key-" + name)}, {"requestsPerSecond", 100000}, {"burst", 100000}});
			}
			for (int index = 0; index < _agents; ++index)
			{
				document["upstreams"].push_back({{"name", "shop-" + std::to_string(index)}, {"service", "shop"}, {"zone", "z"}});
			}
			return document;
		}

		std::string writeDocument(const Json& _document)
		{
			std::string path = "/tmp/archdyke-bench-XXXXXX";
			const int descriptor = mkstemp(path.data());
			const std::string text = _document.dump();
			if (ssize_t(text.size()) != ::write(descriptor, text.data(), text.size()))
			{
				throw std::runtime_error("failed to write " + path);
			}
			::close(descriptor);
			return path;
		}

		double cpuMs(pid_t _pid)
		{
			std::ifstream file("/proc/" + std::to_string(_pid) + "/stat");
			std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
			std::istringstream fields(text.substr(text.rfind(')') + 2));
			std::string skipped;
			for (int field = 0; field < 11; ++field)
			{
				fields >> skipped;
			}
			double user = 0.0;
			double system = 0.0;
			fields >> user >> system;
			return (user + system) * 1000.0 / double(sysconf(_SC_CLK_TCK));
		}

		double rssMb(pid_t _pid)
		{
			std::ifstream file("/proc/" + std::to_string(_pid) + "/status");
			for (std::string line; std::getline(file, line);)
			{
				if (line.starts_with("VmRSS:"))
				{
					return std::stod(line.substr(6)) / 1024.0;
				}
			}
			return 0.0;
		}

		std::vector<Table> decisionCosts()
		{
			std::vector<Table> tables;
			tables.push_back(slopeTable("agent: one run through the ledger (offer, start, finish)", "runs remembered", "us", {1'000, 10'000, 50'000, 100'000}, [](double _size) {
				Ledger ledger;
				ledger.incarnation = 1;
				int next = 0;
				const auto runOnce = [&] {
					const RunKey key{"r" + std::to_string(next++), 0};
					offerRun(ledger, key, {1, 1, 1}, false, 0);
					startRun(ledger, key);
					finishRun(ledger, key, 0);
				};
				timeUs(int(_size), runOnce);
				return timeUs(20'000, runOnce);
			}));
			tables.push_back(slopeTable("agent: one run through the queue (admit, take, end)", "organisations waiting", "us", {4, 16, 64, 128}, [](double _size) {
				AdmissionQueue admission;
				admission.slots = 1;
				admission.capacity = 100'000;
				admission.meanRunMs = 0.001;
				const auto run = [](int _id, int _organisation) {
					return QueuedRun{{std::to_string(_id), 0}, "o" + std::to_string(_organisation), 1, 1'000'000'000, 0};
				};
				int next = 0;
				for (int index = 0; index < int(_size); ++index)
				{
					admitRun(admission, run(next++, index), 0);
				}
				return timeUs(5'000, [&] {
					admitRun(admission, run(next, next % int(_size)), 0);
					++next;
					takeRun(admission, 0);
					endRun(admission, 0);
				});
			}));
			tables.push_back(slopeTable("entry: activating a configuration version (digest, parse, check)", "organisations", "ms", {500, 1'500, 3'000, 5'500}, [](double _size) {
				const std::string text = makeDocument(int(_size), 100).dump();
				const ConfigMark mark{1, sha256Hex(text)};
				return timeUs(3, [&] {
					       activate(mark, text);
				       }) /
				       1000.0;
			}));
			tables.push_back(slopeTable("entry: bytes of a configuration version", "organisations", "KB", {500, 1'500, 3'000, 5'500}, [](double _size) {
				return double(makeDocument(int(_size), 100).dump().size()) / 1024.0;
			}));
			tables.push_back(slopeTable("entry: activating a configuration version (digest, parse, check)", "upstreams", "ms", {1'500, 3'000, 6'000, 12'000}, [](double _size) {
				const std::string text = makeDocument(1, int(_size)).dump();
				const ConfigMark mark{1, sha256Hex(text)};
				return timeUs(3, [&] {
					       activate(mark, text);
				       }) /
				       1000.0;
			}));
			tables.push_back(slopeTable("entry: bytes of a configuration version", "upstreams", "KB", {1'500, 3'000, 6'000, 12'000}, [](double _size) {
				return double(makeDocument(1, int(_size)).dump().size()) / 1024.0;
			}));
			tables.push_back(slopeTable("agent: one vote message of a map switch (merge, decide)", "ranks", "us", {16, 32, 64, 128}, [](double _size) {
				MapSwitch known;
				receiveProposal(known, {"g", 1, 1, 1, 0, 100, 1, std::uint32_t(_size)});
				const std::vector<MapVote> votes(std::size_t(_size), MapVote::Yes);
				int sum = 0;
				const double us = timeUs(50'000, [&] {
					mergeVotes(known, 1, votes);
					sum += int(outcomeOf(known));
				});
				return us + (sum < 0 ? 1.0 : 0.0);
			}));
			return tables;
		}

		/// An office of one zone with plain services, which runs as long as this object lives.
		struct PlainOffice
		{
			explicit PlainOffice(int _agents, std::uint32_t _entries, int _organisations = 1)
			{
				lab::OfficeOptions options;
				options.file = writeDocument(makeDocument(_organisations, _agents));
				options.entriesPerZone = _entries;
				options.serviceSlots = 4;
				options.viaProxy = true;
				this->office = std::make_unique<lab::Office>(options);
				const lab::CommandResult applied = this->office->apply();
				if (0 != applied.exitCode || !this->office->waitReady(60'000))
				{
					throw std::runtime_error(fmt::format("{} agents, {} entries: not ready {}", _agents, _entries, applied.error));
				}
				unlink(options.file.c_str());
			}

			pid_t entry()
			{
				return this->office->entries().front()->process->id();
			}

			std::unique_ptr<lab::Office> office;
		};

		struct IdleUsage
		{
			double cpuShare = 0.0;       ///< Share of a core.
			double rssMb = 0.0;          ///< MB.
			double agentBytesPerS = 0.0; ///< Between one entry and its agents; the next two: its peers, the platform.
			double peerBytesPerS = 0.0;
			double platformBytesPerS = 0.0;
			double platformCallsPerS = 0.0; ///< By all entries; likewise below.
			double platformWritesPerS = 0.0;
		};

		double linkBytes(lab::Office& _office, const std::string& _part)
		{
			double bytes = 0.0;
			const Json counts = _office.linkCounts();
			for (const auto& [name, count] : counts.items())
			{
				bytes += std::string::npos != name.find(_part) ? count.get<double>() : 0.0;
			}
			return bytes;
		}

		IdleUsage measureIdle(PlainOffice& _office)
		{
			constexpr Millis kMeasureMs = 6'000;
			lab::pauseMs(1'500);
			const Json before = lab::sendJson(_office.office->platform(), "GET", "/control/counts");
			const double cpuBefore = cpuMs(_office.entry());
			const double bytesBefore = linkBytes(*_office.office, "z>shop");
			const double peersBefore = linkBytes(*_office.office, "z>entry");
			const double platformBefore = linkBytes(*_office.office, "platform<");
			const double entries = double(_office.office->entries().size());
			lab::pauseMs(kMeasureMs);
			IdleUsage usage;
			usage.cpuShare = (cpuMs(_office.entry()) - cpuBefore) / double(kMeasureMs);
			usage.rssMb = rssMb(_office.entry());
			usage.agentBytesPerS = (linkBytes(*_office.office, "z>shop") - bytesBefore) / entries / (double(kMeasureMs) / 1000.0);
			// Both peers pay for each exchange.
			usage.peerBytesPerS = 2.0 * (linkBytes(*_office.office, "z>entry") - peersBefore) / entries / (double(kMeasureMs) / 1000.0);
			usage.platformBytesPerS = (linkBytes(*_office.office, "platform<") - platformBefore) / entries / (double(kMeasureMs) / 1000.0);
			const Json after = lab::sendJson(_office.office->platform(), "GET", "/control/counts");
			usage.platformCallsPerS = (after["calls"].get<double>() - before["calls"].get<double>()) / (double(kMeasureMs) / 1000.0);
			usage.platformWritesPerS = (after["writes"].get<double>() - before["writes"].get<double>()) / (double(kMeasureMs) / 1000.0);
			return usage;
		}

		std::vector<Table> idleCosts()
		{
			const std::vector<double> agentCounts{6, 12, 24, 48};
			std::vector<IdleUsage> byAgents;
			for (const double count : agentCounts)
			{
				PlainOffice office(int(count), 1);
				byAgents.push_back(measureIdle(office));
			}
			const auto column = [&](const std::function<double(const IdleUsage&)>& _pick) {
				return [&byAgents, agentCounts, _pick](double _size) {
					const auto at = std::size_t(std::find(agentCounts.begin(), agentCounts.end(), _size) - agentCounts.begin());
					return _pick(byAgents[at]);
				};
			};
			std::vector<Table> tables;
			tables.push_back(slopeTable("entry: CPU use while idle, share of a core", "agents known", "%", agentCounts, column([](const IdleUsage& _usage) {
				                            return 100.0 * _usage.cpuShare;
			                            })));
			tables.push_back(slopeTable("entry: memory while idle", "agents known", "MB", agentCounts, column([](const IdleUsage& _usage) {
				                            return _usage.rssMb;
			                            })));
			tables.push_back(slopeTable("entry: control bytes on links to agents while idle", "agents known", "KB/s", agentCounts, column([](const IdleUsage& _usage) {
				                            return _usage.agentBytesPerS / 1024.0;
			                            })));
			const std::vector<double> entryCounts{2, 4, 8, 12};
			std::vector<IdleUsage> byEntries;
			for (const double count : entryCounts)
			{
				PlainOffice office(2, std::uint32_t(count));
				byEntries.push_back(measureIdle(office));
			}
			const auto entryColumn = [&](const std::function<double(const IdleUsage&)>& _pick) {
				return [&byEntries, entryCounts, _pick](double _size) {
					const auto at = std::size_t(std::find(entryCounts.begin(), entryCounts.end(), _size) - entryCounts.begin());
					return _pick(byEntries[at]);
				};
			};
			tables.push_back(slopeTable("entry: control bytes with peers while idle", "entries of the zone", "KB/s", entryCounts, entryColumn([](const IdleUsage& _usage) {
				                            return _usage.peerBytesPerS / 1024.0;
			                            })));
			tables.push_back(slopeTable("entry: control bytes with the platform while idle, mean of the zone", "entries of the zone", "KB/s", entryCounts, entryColumn([](const IdleUsage& _usage) {
				                            return _usage.platformBytesPerS / 1024.0;
			                            })));
			tables.push_back(slopeTable("platform: calls of one zone's entries while idle", "entries of the zone", "calls/s", entryCounts, entryColumn([](const IdleUsage& _usage) {
				                            return _usage.platformCallsPerS;
			                            })));
			tables.push_back(slopeTable("platform: rows written by one zone's entries while idle", "entries of the zone", "writes/s", entryCounts, entryColumn([](const IdleUsage& _usage) {
				                            return _usage.platformWritesPerS;
			                            })));
			return tables;
		}

		Table requestCost()
		{
			PlainOffice office(4, 1);
			lab::LoadOptions load;
			load.entries = {office.office->entries().front()->http};
			load.organisations = {"alpha"};
			load.plain = "shop";
			load.model = "none";
			load.notRepeatablePath = "/cards";
			load.threads = 16;
			std::uint64_t seed = 1;
			return slopeTable("entry: CPU time of plain requests, one new connection each", "requests", "ms", {500, 1'000, 2'000, 3'000}, [&](double _size) {
				load.requests = std::uint32_t(_size);
				load.perSecond = 600;
				load.seed = seed++;
				const double before = cpuMs(office.entry());
				lab::runPlain(load);
				return cpuMs(office.entry()) - before;
			});
		}

		/// Measures streams of a slow engine that are all open at the same time.
		std::vector<Table> streamCosts()
		{
			lab::OfficeOptions options;
			options.file = std::string(ARCHDYKE_SOURCE_DIR) + "/examples/small.json";
			options.entriesPerZone = 1;
			options.engine = {{"batch", 512}, {"stepUs", 20'000}, {"tokenUs", 0}};
			options.engineSlots = 512;
			lab::Office office(options);
			if (0 != office.apply().exitCode || !office.waitReady())
			{
				throw std::runtime_error("the office did not become ready");
			}
			const pid_t entry = office.entries().front()->process->id();
			std::vector<double> memory;
			std::vector<double> tokenUs;
			const std::vector<double> counts{100, 200, 400, 800};
			for (const double count : counts)
			{
				lab::LoadOptions load;
				load.entries = {office.entries().front()->http};
				load.organisations = {"alpha"};
				load.model = "chat";
				load.plain = "shop";
				load.tokens = 200;
				load.tokenPrefix = "s" + std::to_string(int(count)) + "-";
				load.requests = std::uint32_t(count);
				load.threads = std::uint32_t(count);
				load.perSecond = 2'000;
				const double before = cpuMs(entry);
				std::thread thread([&] {
					lab::runStreams(load);
				});
				lab::pauseMs(2'500);
				memory.push_back(rssMb(entry));
				thread.join();
				tokenUs.push_back(1000.0 * (cpuMs(entry) - before) / (count * 200.0));
			}
			const auto at = [&](const std::vector<double>& _values) {
				return [&counts, _values](double _size) {
					return _values[std::size_t(std::find(counts.begin(), counts.end(), _size) - counts.begin())];
				};
			};
			return {slopeTable("entry: memory with open streams", "streams", "MB", counts, at(memory)), slopeTable("entry: CPU time per relayed token, one frame each", "streams", "us", counts, at(tokenUs))};
		}
	} // namespace

	std::vector<Table> benchCost()
	{
		std::vector<Table> tables = decisionCosts();
		for (const std::vector<Table>& more : {idleCosts(), std::vector<Table>{requestCost()}, streamCosts()})
		{
			tables.insert(tables.end(), more.begin(), more.end());
		}
		return tables;
	}
} // namespace archdyke::bench
