/// End-to-end tests with real processes: callers get complete responses to their own requests, and clear refusals.
#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/http_server.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns An HTTP client for an entry.
	httplib::Client clientOf(const lab::Daemon& _entry)
	{
		const Address address = parseAddress(_entry.http);
		httplib::Client client(address.host, address.port);
		client.set_read_timeout(15);
		return client;
	}

	const httplib::Headers kAlpha{{"Authorization", "Bearer key-alpha"}};

	/// Starts a long streamed call and waits until its upstream has started.
	std::future<lab::CallRecord> startLongStream(lab::Office& _office, lab::LoadOptions _load, const std::string& _token)
	{
		_load.tokens = 400;
		std::future<lab::CallRecord> call = sendCallAsync(_load, lab::CallKind::Streamed, _token, _office.entries().front()->http);
		cr_assert(waitForRuns(_office, _token, 1));
		return call;
	}

	/// @returns The agent that runs the call.
	lab::Daemon& busyAgent(lab::Office& _office, const std::future<lab::CallRecord>& _call)
	{
		lab::Daemon* found = nullptr;
		lab::waitUntil(5'000, [&] {
			for (const std::unique_ptr<lab::Daemon>& agent : _office.agents())
			{
				const nlohmann::json dump = _office.dump(*agent);
				found = dump.is_object() && 0 < dump["running"].get<int>() ? agent.get() : found;
			}
			return nullptr != found;
		});
		const bool ended = std::future_status::ready == _call.wait_for(std::chrono::seconds(0));
		cr_assert(nullptr != found, "no agent has a run, and the call %s", ended ? "has ended" : "is in progress");
		return *found;
	}
} // namespace

Test(path, mixed_load_gets_whole_answers_of_its_own)
{
	lab::Office office(smallOffice());
	makeReady(office);
	lab::LoadOptions load = loadOptionsOf(office);
	load.perSecond = 150;
	load.requests = 300;
	const lab::LoadResult result = lab::runLoad(load);
	expectNoViolation(lab::judge(result, office.runs()));
	const lab::LoadSummary figures = lab::summarizeLoad(result);
	cr_assert(figures.calls == figures.whole, "%u of %u responses complete", figures.whole, figures.calls);
}

Test(path, a_reset_link_resumes_the_stream)
{
	lab::Office office(smallOffice());
	makeReady(office);
	std::future<lab::CallRecord> call = startLongStream(office, loadOptionsOf(office), "reset");
	setAgentLinkFaults(office, "north", {{"reset", true}});
	const lab::CallRecord record = call.get();
	cr_assert(record.whole, "reason %s", record.reason.c_str());
	cr_assert(1 == office.runs()["reset"]);
}

Test(path, a_cut_link_resumes_the_stream_once_mended)
{
	lab::Office office(smallOffice());
	makeReady(office);
	std::future<lab::CallRecord> call = startLongStream(office, loadOptionsOf(office), "cut");
	setAgentLinkFaults(office, "north", {{"cutToClient", true}});
	cr_assert(lab::waitUntil(5'000, [&] {
		return std::string::npos != office.entries().front()->process->log().find("event=agent_link_lost");
	}));
	setAgentLinkFaults(office, "north", {{"cutToClient", false}});
	cr_assert(call.get().whole);
}

Test(path, a_killed_agent_breaks_the_stream_visibly)
{
	lab::Office office(smallOffice());
	makeReady(office);
	std::future<lab::CallRecord> call = startLongStream(office, loadOptionsOf(office), "killed");
	busyAgent(office, call).process->kill();
	const lab::CallRecord record = call.get();
	cr_assert(!record.whole && record.visiblyBroken && !record.cleanlyTruncated && !record.foreign, "whole %d, broken told %d, cut clean %d, foreign %d, %s", record.whole, record.visiblyBroken, record.cleanlyTruncated, record.foreign, record.reason.c_str());
}

Test(path, a_killed_entry_never_ends_a_stream_cleanly)
{
	lab::Office office(smallOffice());
	makeReady(office);
	std::future<lab::CallRecord> call = startLongStream(office, loadOptionsOf(office), "entry-killed");
	office.entries().front()->process->kill();
	const lab::CallRecord record = call.get();
	cr_assert(!record.whole && !record.cleanlyTruncated && !record.foreign);
}

Test(path, a_killed_agent_costs_a_repeatable_call_nothing)
{
	lab::Office office(smallOffice());
	makeReady(office);
	lab::LoadOptions load = loadOptionsOf(office);
	load.tokens = 100;
	std::future<lab::CallRecord> call = sendCallAsync(load, lab::CallKind::Whole, "repeat", load.entries.front());
	cr_assert(waitForRuns(office, "repeat", 1));
	busyAgent(office, call).process->kill();
	cr_assert(call.get().whole);
}

Test(path, a_gone_caller_ends_its_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	{
		httplib::Client client = clientOf(*office.entries().front());
		const std::string body = R"({"model":"chat","messages":[],"max_tokens":2000,"stream":true,"user":"gone"})";
		httplib::Request request;
		request.method = "POST";
		request.path = "/v1/chat/completions";
		request.headers = kAlpha;
		request.body = body;
		request.content_receiver = [](const char*, std::size_t, std::uint64_t, std::uint64_t) {
			return false;
		};
		client.send(request);
	}
	cr_assert(lab::waitUntil(5'000, [&] {
		          int running = 0;
		          for (const std::unique_ptr<lab::Daemon>& agent : office.agents())
		          {
			          const nlohmann::json dump = office.dump(*agent);
			          running += dump.is_object() ? dump["running"].get<int>() : 1; // an agent that doesn't respond doesn't count as idle
		          }
		          return 0 == running;
	          }),
	          "the run continues after its caller has disconnected");
}

Test(path, bad_requests_get_clear_refusals)
{
	lab::Office office(smallOffice());
	makeReady(office);
	httplib::Client client = clientOf(*office.entries().front());
	cr_assert(401 == client.Post("/v1/chat/completions", R"({"model":"chat"})", "application/json")->status);
	cr_assert(400 == client.Post("/v1/chat/completions", kAlpha, "{not json", "application/json")->status);
	cr_assert(404 == client.Post("/v1/chat/completions", kAlpha, R"({"model":"other"})", "application/json")->status);
	cr_assert(404 == client.Get("/nowhere/x", kAlpha)->status);
	cr_assert(400 == client.Get("/shop/../shop/orders", kAlpha)->status);
	const httplib::Result tooLarge = client.Post("/shop/cards", kAlpha, std::string(2'000'000, 'x'), "text/plain");
	cr_assert(413 == tooLarge->status && "not-run" == tooLarge->get_header_value("X-Archdyke-Outcome"));
	cr_assert(std::string::npos != tooLarge->body.find("send a smaller one"));
	httplib::Headers longHeader = kAlpha;
	longHeader.emplace("X-Long", std::string(20'000, 'x'));
	const httplib::Result tooLong = clientOf(*office.entries().front()).Get("/shop/cards", longHeader);
	cr_assert(!tooLong || (400 <= tooLong->status && tooLong->status < 500));
	const httplib::Result refused = client.Post("/v1/chat/completions", kAlpha, "{not json", "application/json");
	cr_assert("not-run" == refused->get_header_value("X-Archdyke-Outcome"));
	cr_assert(std::string::npos != refused->body.find("send one with"));
}

Test(path, a_slow_sender_gets_a_clear_refusal)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const Address address = parseAddress(office.entries().front()->http);
	sockaddr_in target{};
	target.sin_family = AF_INET;
	target.sin_port = htons(std::uint16_t(address.port));
	inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
	const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
	const timeval receiveTimeout{30, 0};
	setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
	cr_assert(0 == connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)));
	const std::string half = "POST /shop/cards HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc";
	cr_assert(ssize_t(half.size()) == send(socket, half.data(), half.size(), 0));
	char response[512] = {};
	cr_assert(0 < recv(socket, response, sizeof(response) - 1, 0));
	cr_assert(std::string(response).starts_with("HTTP/1.1 400"), "%s", response);
	close(socket);
}

Test(path, an_organisation_over_its_limit_is_told_when_to_come_back)
{
	lab::Office office(smallOffice());
	const std::string file = office.changedFile("limit.json", [](nlohmann::json& _json) {
		_json["organisations"][0]["requestsPerSecond"] = 0.5;
		_json["organisations"][0]["burst"] = 2;
	});
	cr_assert(0 == office.apply(file).exitCode);
	cr_assert(office.waitReady());
	httplib::Client client = clientOf(*office.entries().front());
	cr_assert(200 == client.Get("/shop/cards", kAlpha)->status);
	const httplib::Result second = client.Get("/shop/cards", kAlpha);
	cr_assert(429 == second->status);
	cr_assert(1 <= std::stoi(second->get_header_value("Retry-After")));
	cr_assert(200 == client.Get("/shop/cards", {{"Authorization", "Bearer key-beta"}})->status);
}
