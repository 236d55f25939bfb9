// The store turns a gateway away while a key is withdrawn. Routes that need a key are refused once the configuration isn't
// proved any more; on a public route the withdrawn key still names its tenant to the worker.
#include "standin.h"

using namespace standin;

namespace
{
	/// `platform_down` with "nodes busy revoke": 9 s at most.
	constexpr std::int64_t kTroubleMs = 9'000;
	constexpr std::size_t kGateways = 4;      ///< One of them is turned away: a share of 0.25.
	constexpr std::int64_t kRevokeMs = 5'000; ///< Bound of the small deployment.
	constexpr std::int64_t kCalmMs = 2'000;
	constexpr std::int64_t kCallIntervalMs = 200;

	struct Run
	{
		std::string tenant;
		std::string route;
	};

	struct Play
	{
		Record& record;
		std::mutex mutex;
		std::map<std::string, Run> runs;
		std::map<std::string, std::int64_t> sentAt;
	};

	bool answer(Play& _play, const std::string& _id, const Message& _request, Socket& _socket)
	{
		const std::string request = findHeader(_request.headers, "X-Archdyke-Request-Id");
		const std::string common = "X-Archdyke-Request-Id: " + request + "\r\n";
		if (findHeader(_request.headers, "X-Archdyke-Expect-Instance") != _id)
		{
			return _socket.send("HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
		}
		const std::string tenant = findHeader(_request.headers, "X-Archdyke-Tenant");
		{
			const std::lock_guard<std::mutex> lock(_play.mutex);
			_play.runs[request] = {tenant, _request.target};
		}
		_play.record.line("run " + request + " target=" + _request.target + " tenant=" + (tenant.empty() ? "-" : tenant));
		const std::string body = "{\"page\":\"for " + (tenant.empty() ? std::string("anybody") : tenant) + "\"}";
		return _socket.send("HTTP/1.1 200 OK\r\n" + common + "X-Archdyke-Server-Stamp: " + _id + "." + request + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
	}

	void call(Play& _play, int _port, const std::string& _route, const std::string& _request)
	{
		Socket socket;
		Message answer;
		{
			const std::lock_guard<std::mutex> lock(_play.mutex);
			_play.sentAt[_request] = nowMs();
		}
		_play.record.line("sent " + _request + " route=" + _route + " key=key-one");
		const std::string bytes = "GET /" + _route + "/1 HTTP/1.1\r\nHost: menus.example\r\nX-Archdyke-Request-Id: " + _request + "\r\nX-Archdyke-Deadline-Ms: 1500\r\nX-Api-Key: key-one\r\n\r\n";
		const bool answered = socket.connect(_port) && socket.send(bytes) && socket.read(answer, nowMs() + 3'000, true);
		_play.record.line("answer " + _request + " status=" + (answered ? std::to_string(answer.status) + " body=" + answer.body.substr(0, 40) : "none"));
	}

	int play(const std::string& _recordPath)
	{
		Record& record = *new Record(_recordPath); // these stay until the process ends: threads of connections use them
		Play& play = *new Play{record, {}, {}, {}};
		Folder folder;
		Store& store = *new Store;
		for (const char* zone : {"jackson-hall", "meridian-hall", "hattiesburg-hall"})
		{
			const std::string id = std::string("i-") + zone;
			const Server& worker = *new Server([&play, id](const Message& _request, Socket& _socket) {
				return answer(play, id, _request, _socket);
			});
			store.put("servers", id, upstreamOf(worker.address(), zone));
		}
		Json open = routeOf("recipe-page", "idempotent", 2);
		open["public"] = true;
		const Json routes = Json::array({open, routeOf("allergen-sheet", "idempotent", 2)});
		const auto tenants = [](const Json& _keys) {
			return Json::array({{{"name", "kitchen"}, {"apiKeys", _keys}, {"priority", 1}}, {{"name", "bakery"}, {"apiKeys", {"key-three"}}, {"priority", 1}}});
		};
		store.put("op", "config", configurationOf(1, routes, tenants({"key-one", "key-two"})));
		std::vector<std::unique_ptr<Gateway>> gateways;
		for (std::size_t index = 0; index < kGateways; ++index)
		{
			gateways.push_back(std::make_unique<Gateway>(folder.path, "edge-" + std::to_string(index), 0 == index ? store.refusingAddress() : store.address()));
		}
		for (const auto& gateway : gateways)
		{
			gateway->waitReady(3);
		}
		const auto callAll = [&](const std::string& _when) {
			for (std::size_t index = 0; index < kGateways; ++index)
			{
				call(play, gateways[index]->callers, "recipe-page", _when + "-open-gateway" + std::to_string(index));
				call(play, gateways[index]->callers, "allergen-sheet", _when + "-keyed-gateway" + std::to_string(index));
			}
		};
		callAll("before");
		const std::int64_t begun = nowMs();
		store.refusesSome = isTroubled();
		record.line(store.refusesSome ? "disruption begins: the store answers gateway 0 with 503, and serves the others" : "no disruption");
		pauseMs(100);
		store.put("op", "config", configurationOf(2, routes, tenants({"key-two"})));
		const std::int64_t withdrawnAt = nowMs();
		record.line("version 2 acknowledged: key-one is withdrawn");
		for (int number = 0; nowMs() < begun + kTroubleMs - kCallIntervalMs; ++number)
		{
			callAll("call" + std::to_string(number));
			pauseMs(kCallIntervalMs);
		}
		store.refusesSome = false;
		record.line("disruption ends");
		pauseMs(kCalmMs);
		callAll("after");
		bool runs = true;
		for (const auto& gateway : gateways)
		{
			runs = runs && gateway->process->running();
		}
		int late = 0;
		int lateKeyed = 0;
		for (const auto& [request, run] : play.runs)
		{
			const std::int64_t afterMs = play.sentAt.at(request) - withdrawnAt;
			if (kRevokeMs < afterMs && !run.tenant.empty())
			{
				const bool keyed = 0 == run.route.rfind("/allergen-sheet/", 0);
				(keyed ? lateKeyed : late) += 1;
				record.line("broken UNASKED " + request + " sent_ms_after_withdrawal=" + std::to_string(afterMs) + " tenant=" + run.tenant);
			}
		}
		record.result("runs for tenant kitchen with its withdrawn key, sent over 5 s after the withdrawal: public route " + std::to_string(late) + ", route with keys " + std::to_string(lateKeyed));
		return !runs || !play.runs.contains("before-open-gateway0") ? 2 : 0 < late + lateKeyed ? 1
		                                                                                       : 0;
	}
} // namespace

int main(int, char** _arguments)
{
	const int verdict = runCase([&] {
		return play(_arguments[1]);
	});
	std::fflush(nullptr);
	std::_Exit(verdict); // threads of connections may still wait
}
