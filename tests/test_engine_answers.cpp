/// The daemons' client of an engine: which responses it takes for the answer to a report, to counts or to an order.
#include "archdyke/errors.h"
#include "engine.h"

#include <kj/async-io.h>

#include "base/process.h"
#include "group/engine.h"
#include "scripted_server.h"

using namespace archdyke;
using namespace archdyke::group;
using namespace archdyke::tests;

namespace
{
	/// @returns The line with the id of a request, as engines give it back; empty if the request has none.
	std::string idLineOf(const std::string& _request)
	{
		const std::string name = "X-Archdyke-Request-Id: ";
		const std::size_t at = _request.find(name);
		return std::string::npos == at ? "" : name + _request.substr(at + name.size(), _request.find("\r\n", at) - at - name.size()) + "\r\n";
	}

	/// An engine whose every answer tells another state: the step of a report is the number of the call, and every second order is
	/// rejected.
	struct FakeEngine
	{
		FakeEngine(bool _givesId, Repeat _repeat)
		    : server([this, _givesId, _repeat](ScriptedConnection& _connection) {
			    stutter(_connection, _repeat, [&](const std::string& _request) {
				    return this->answer(_request, _givesId ? idLineOf(_request) : "");
			    });
		    })
		{
		}

		std::string answer(const std::string& _request, const std::string& _idLine)
		{
			const int call = ++this->calls;
			if (_request.starts_with("POST"))
			{
				return answerOf(0 == call % 2 ? 409 : 202, "{}", _idLine);
			}
			if (_request.starts_with("GET /picked"))
			{
				return answerOf(200, fmt::format(R"({{"step":{},"epoch":1,"counts":[{},2]}})", call, call), _idLine);
			}
			return answerOf(200, fmt::format(R"({{"group":{{"name":"g","epoch":1,"rank":0,"state":"open"}},"size":4,"queued":0,"active":2,"step":{},"map":0,"prepared":null,"armed":null,"held":null}})", call), _idLine);
		}

		std::atomic<int> calls{0};
		ScriptedServer server;
	};

	struct Client
	{
		explicit Client(const std::string& _address)
		    : engine({this->io.provider->getNetwork(), this->io.provider->getTimer()}, platform::makeEngineCodec(), _address)
		{
		}

		EngineReport report()
		{
			return this->engine.report().take().wait(this->io.waitScope);
		}

		EngineCounts counts()
		{
			return this->engine.counts().take().wait(this->io.waitScope);
		}

		OrderOutcome order()
		{
			return this->engine.order({RankOrderKind::Arm, 1, 7, 100, {}}).take().wait(this->io.waitScope);
		}

		bool reportFails()
		{
			return nullptr != kj::runCatchingExceptions([this] {
				       this->report();
			       });
		}

		kj::AsyncIoContext io = kj::setupAsyncIo();
		Engine engine;
	};

	const std::vector<bool> kBoth{true, false};
} // namespace

/// Guards against a report or counts of an earlier moment that are taken as fresh.
Test(engineanswers, no_late_copy_is_taken_for_the_next_report)
{
	for (const bool givesId : kBoth)
	{
		FakeEngine fake(givesId, {});
		Client client(fake.server.address());
		for (int call = 0; call < 10; ++call)
		{
			int before = fake.calls;
			const EngineReport report = client.report();
			cr_assert(std::uint64_t(before) < report.view.step && "g" == report.group, "id %d: step %lu after %d", int(givesId), static_cast<unsigned long>(report.view.step), before);
			before = fake.calls;
			const EngineCounts counts = client.counts();
			cr_assert(2 == counts.counts.size() && std::uint32_t(before) < counts.counts.front());
		}
	}
}

/// Guards against an order that is accepted, or rejected, by the copy of an earlier answer.
Test(engineanswers, no_late_copy_tells_the_result_of_an_order)
{
	for (const bool givesId : kBoth)
	{
		FakeEngine fake(givesId, {});
		Client client(fake.server.address());
		for (int call = 1; call <= 10; ++call)
		{
			const OrderOutcome outcome = client.order();
			cr_assert(call == fake.calls, "an order is sent once");
			cr_assert((0 == call % 2 ? 409 : 202) == outcome.status && (0 != call % 2) == outcome.accepted, "id %d, order %d: status %d", int(givesId), call, outcome.status);
		}
	}
}

/// Guards against a report or an order that takes any part of an earlier answer: cut at each byte, at once and late.
Test(engineanswers, no_cut_copy_shows_in_the_next_answer)
{
	for (const bool givesId : kBoth)
	{
		const std::size_t size = 2 * answerOf(200, "").size() + 200; // beyond the longest answer
		for (std::size_t cut = 1; cut <= size; cut += 1)
		{
			for (const bool late : kBoth)
			{
				FakeEngine fake(givesId, {cut, late});
				Client client(fake.server.address());
				client.report();
				const int before = fake.calls;
				const EngineReport report = client.report();
				cr_assert(std::uint64_t(before) < report.view.step, "cut at %zu, late %d, id %d: step %lu after %d", cut, int(late), int(givesId), static_cast<unsigned long>(report.view.step), before);
				for (int order = 0; order < 2; ++order)
				{
					const int earlier = fake.calls;
					const OrderOutcome outcome = client.order();
					const bool unanswered = 0 == outcome.status; // it may have been carried out
					const bool accepted = 0 != (earlier + 1) % 2;
					cr_assert(unanswered ? !outcome.accepted : accepted == outcome.accepted, "cut at %zu, late %d, id %d: status %d of order %d", cut, int(late), int(givesId), outcome.status, earlier + 1);
				}
			}
		}
	}
}

/// What calls to a sound engine cost: a connection for each order, and one for all else.
Test(engineanswers, reports_and_counts_share_a_connection)
{
	constexpr int kOrders = 5;
	for (const bool givesId : kBoth)
	{
		FakeEngine fake(givesId, {0});
		Client client(fake.server.address());
		for (int call = 0; call < kOrders; ++call)
		{
			client.report();
			client.counts();
			client.order();
		}
		cr_assert(1 + kOrders == fake.server.connections() && 3 * kOrders == fake.calls, "%d connections, %d calls", fake.server.connections(), fake.calls.load());
	}
}

/// Whole copies of answers that name their calls cost nothing.
Test(engineanswers, whole_late_copies_with_ids_cost_no_call_and_no_connection)
{
	FakeEngine fake(true, {});
	Client client(fake.server.address());
	for (int call = 0; call < 5; ++call)
	{
		client.report();
		client.counts();
	}
	cr_assert(10 == fake.calls && 1 == fake.server.connections(), "%d calls, %d connections", fake.calls.load(), fake.server.connections());
}

/// Guards against an answer of another kind of call that is taken for a report of an engine in no group, or for no counts.
Test(engineanswers, a_response_of_another_shape_fails)
{
	const group::EngineCodec codec = platform::makeEngineCodec();
	const std::string deep(200'000, '[');
	for (const std::string& body : std::vector<std::string>{"", "{}", "[]", R"({"step":3,"epoch":1,"counts":[1,2]})", R"({"queued":1})", R"({"queued":"1","active":1})", R"({"queued":1,"active":1,"group":3})", R"({"queued":1,"active":1,"size":4,"group":{"name":"g","epoch":1,"rank":0,"state":"open"}})", R"({"ver":3,"now_ms":3})", deep})
	{
		cr_assert_throw(codec.decodeReport(body), InvalidInputError);
	}
	for (const std::string& body : std::vector<std::string>{"", "{}", "[]", R"({"epoch":1})", R"({"counts":[1]})", R"({"epoch":1,"counts":{}})", R"({"epoch":1,"counts":["1"]})", R"({"queued":0,"active":1})", deep})
	{
		cr_assert_throw(codec.decodeCounts(body), InvalidInputError);
	}
}

/// Guards against a call that takes an answer which stops for a whole one.
Test(engineanswers, an_answer_that_stops_at_any_byte_fails_the_call_only)
{
	FakeEngine sound(true, {0});
	for (const bool order : kBoth)
	{
		const std::string whole = sound.answer(order ? "POST /order" : "GET /report", "");
		for (std::size_t cut = 0; cut < whole.size(); ++cut)
		{
			const ScriptedServer server([&](ScriptedConnection& _connection) {
				if (_connection.request())
				{
					_connection.send(whole.substr(0, cut));
				}
			});
			Client client(server.address());
			cr_assert(order ? 0 == client.order().status : client.reportFails(), "cut at %zu", cut);
		}
	}
}

/// Guards against answers without end that outlast the timeout of a call.
Test(engineanswers, an_answer_without_end_fails_its_call_in_time)
{
	constexpr Millis kCallEndsMs = 1'500;
	constexpr std::size_t kMaxTakenBytes = 32u << 20; // the limit of a response, and what the system buffers
	for (const std::string start : {"HTTP/1.1 200 OK\r\nX-Filler: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", ""})
	{
		std::atomic<std::size_t> taken{0};
		const ScriptedServer server([&](ScriptedConnection& _connection) {
			const std::string piece = start.empty() ? answerOf(200, "{}", "X-Archdyke-Request-Id: another\r\n") : std::string(4'096, 'x');
			for (bool more = _connection.request() && _connection.send(start); more; more = _connection.send(piece))
			{
				taken += piece.size();
			}
		});
		Client client(server.address());
		const Millis since = nowMs();
		cr_assert(client.reportFails() && 0 == client.order().status);
		cr_assert(nowMs() - since < kCallEndsMs, "%lld ms: %s", static_cast<long long>(nowMs() - since), start.c_str());
		cr_assert(taken < kMaxTakenBytes, "%zu bytes: %s", taken.load(), start.c_str());
	}
}
