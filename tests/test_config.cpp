/// An accepted configuration is in force in every zone and never reverts, despite concurrent
/// operators, outages, network partitions, and restarted or paused processes.
#include <httplib.h>

#include "base/http_server.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr int kExitConflict = 3;
	constexpr int kExitNotAccepted = 5;

	std::string fileWithRate(lab::Office& _office, int _rate)
	{
		return _office.changedFile("rate" + std::to_string(_rate) + ".json", [&](nlohmann::json& _json) {
			_json["organisations"][0]["requestsPerSecond"] = _rate;
		});
	}

	std::uint64_t versionInForce(lab::Office& _office, const lab::Daemon& _entry)
	{
		const nlohmann::json dump = _office.dump(_entry);
		return dump.is_object() ? dump["config"]["version"].get<std::uint64_t>() : 0;
	}

	bool waitForVersion(lab::Office& _office, std::uint64_t _version, Millis _timeoutMs = 4'000)
	{
		return lab::waitUntil(_timeoutMs, [&] {
			return std::all_of(_office.entries().begin(), _office.entries().end(), [&](const std::unique_ptr<lab::Daemon>& _entry) {
				return _version == versionInForce(_office, *_entry);
			});
		});
	}

	int sendRequest(const lab::Daemon& _entry)
	{
		const Address address = parseAddress(_entry.http);
		httplib::Client client(address.host, address.port);
		const httplib::Result result = client.Get("/shop/cards", {{"Authorization", "Bearer key-alpha"}});
		return result ? result->status : -1;
	}

	void setZonePartition(lab::Office& _office, const std::string& _zone, bool _partitioned)
	{
		_office.cutPlatform(_zone, _partitioned);
		for (const Zone& zone : _office.document().zones)
		{
			if (_zone != zone.name)
			{
				_office.cutZones(_zone, zone.name, _partitioned);
			}
		}
	}
} // namespace

Test(config, two_operators_at_once_one_wins)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	for (int round = 0; round < 3; ++round)
	{
		const std::string from = std::to_string(1 + round);
		std::unique_ptr<lab::ChildProcess> first = office.begin({"apply", fileWithRate(office, 10 + round), "--platform", office.platform(), "--from", from});
		std::unique_ptr<lab::ChildProcess> second = office.begin({"apply", fileWithRate(office, 20 + round), "--platform", office.platform(), "--from", from});
		const int a = first->waitForExit(30'000).value_or(-1);
		const int b = second->waitForExit(30'000).value_or(-1);
		cr_assert((0 == a && kExitConflict == b) || (kExitConflict == a && 0 == b), "exit codes %d and %d", a, b);
		const std::string loserLog = (0 == a ? second : first)->log();
		cr_assert(std::string::npos != loserLog.find("apply again"), "%s", loserLog.c_str());
		cr_assert(waitForVersion(office, std::uint64_t(2 + round)));
	}
}

Test(config, an_apply_made_from_an_old_version_conflicts)
{
	lab::Office office(smallOffice());
	makeReady(office);
	cr_assert(0 == office.apply(fileWithRate(office, 11)).exitCode);
	cr_assert(kExitConflict == office.apply(fileWithRate(office, 12), {"--from", "1"}).exitCode);
	cr_assert(waitForVersion(office, 2));
}

Test(config, a_bad_file_changes_nothing)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const std::string file = office.changedFile("bad.json", [](nlohmann::json& _json) {
		_json["upstreams"][0]["zone"] = "nowhere";
	});
	const lab::CommandResult result = office.apply(file);
	cr_assert(2 == result.exitCode);
	cr_assert(std::string::npos != result.error.find("upstreams[0].zone"));
	cr_assert(waitForVersion(office, 1));
}

Test(config, a_lost_confirmation_is_settled)
{
	lab::Office office(smallOffice());
	makeReady(office);
	for (int lost = 1; lost <= 4; ++lost)
	{
		office.platformFaults({{"loseAnswers", lost}});
		const lab::CommandResult result = office.apply(fileWithRate(office, 30 + lost));
		cr_assert(0 == result.exitCode, "%d responses lost: %s", lost, result.error.c_str());
		cr_assert(waitForVersion(office, std::uint64_t(1 + lost)));
		office.platformFaults({{"loseAnswers", 0}});
	}
}

Test(config, a_zone_cut_from_the_platform_learns_from_its_peers)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.cutPlatform("south", true);
	// The zone can't confirm, so no version is accepted without it.
	const lab::CommandResult refused = office.apply(fileWithRate(office, 41), {"--wait-ms", "2000"});
	cr_assert(kExitNotAccepted == refused.exitCode, "exit code %d", refused.exitCode);
	cr_assert(std::string::npos != refused.error.find("south"));
	cr_assert(waitForVersion(office, 1));
	cr_assert(200 == sendRequest(*office.entries()[1]), "the disconnected zone stopped serving");
	office.cutPlatform("south", false);
	cr_assert(0 == office.apply(fileWithRate(office, 42), {"--wait-ms", "10000"}).exitCode);
	cr_assert(waitForVersion(office, 2));
}

Test(config, a_zone_cut_from_all_serves_and_is_waited_for)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setZonePartition(office, "south", true);
	cr_assert(kExitNotAccepted == office.apply(fileWithRate(office, 51), {"--wait-ms", "1500"}).exitCode);
	cr_assert(200 == sendRequest(*office.entries()[1]), "the disconnected zone stopped serving");
	setZonePartition(office, "south", false);
	cr_assert(0 == office.apply(fileWithRate(office, 52), {"--wait-ms", "10000"}).exitCode);
	cr_assert(waitForVersion(office, 2));
}

Test(config, an_outage_right_after_acceptance_delays_no_zone)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	cr_assert(0 == office.apply(fileWithRate(office, 61)).exitCode);
	office.platformFaults({{"outage", true}});
	cr_assert(waitForVersion(office, 2));
}

Test(config, a_fresh_entry_in_an_outage_takes_the_version_of_its_peers)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	cr_assert(0 == office.apply(fileWithRate(office, 71)).exitCode);
	lab::Daemon& fresh = *office.entries()[0];
	fresh.settings["peers"] = {office.entries()[1]->rpc, office.entries()[2]->rpc};
	office.platformFaults({{"outage", true}});
	office.restart(fresh);
	cr_assert(lab::waitUntil(5'000, [&] {
		return 2 == versionInForce(office, fresh);
	}));
}

Test(config, a_fresh_entry_without_anyone_to_ask_serves_nothing)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.platformFaults({{"outage", true}});
	office.restart(*office.entries()[0]);
	cr_assert(503 == sendRequest(*office.entries()[0]));
	office.platformFaults({{"outage", false}});
	cr_assert(lab::waitUntil(5'000, [&] {
		return 200 == sendRequest(*office.entries()[0]);
	}));
}

Test(config, a_paused_entry_serves_nothing_old)
{
	lab::Office office(smallOffice());
	const std::string open = office.changedFile("open.json", [](nlohmann::json&) {});
	cr_assert(0 == office.apply(open).exitCode);
	cr_assert(office.waitReady());
	lab::Daemon& paused = *office.entries()[0];
	// The VM list says that the entry is gone, so that the others proceed without it.
	paused.process->signal(SIGSTOP);
	office.announce(paused, "gone");
	const std::string closed = office.changedFile("closed.json", [](nlohmann::json& _json) {
		_json["organisations"].erase(0);
	});
	cr_assert(0 == office.apply(closed, {"--wait-ms", "10000"}).exitCode);
	// Requests queue in the socket of the paused entry; it handles all of them after it resumes.
	std::vector<std::future<int>> statuses;
	for (int index = 0; index < 8; ++index)
	{
		statuses.push_back(std::async(std::launch::async, [&] {
			return sendRequest(paused);
		}));
	}
	// Long enough to be detected as a pause; a shorter one is within the time that an acceptance takes.
	lab::pauseMs(1'500);
	paused.process->signal(SIGCONT);
	for (std::future<int>& status : statuses)
	{
		const int got = status.get();
		cr_assert(200 != got, "served under a version that is no longer in force");
	}
}
