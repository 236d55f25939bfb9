/// The adapter's client of the store: which responses it takes for the answer to a call.
#include "store_client.h"

#include <kj/async-io.h>
#include <limits>

#include "base/process.h"
#include "scripted_server.h"

using namespace archdyke;
using namespace archdyke::store;
using namespace archdyke::tests;

namespace
{
	/// Longer than the client's timeout of a call, ms.
	constexpr Millis kCallEndsMs = 4'000;

	/// The store's state: each answer names a later version and time.
	struct FakeState
	{
		std::string rows()
		{
			const std::lock_guard lock(this->mutex);
			this->version += 1;
			return answerOf(200, fmt::format(R"({{"rows":[{{"table":"t","part":"","key":"k","value":"dg==","ver":{}}}],"more":false,"ver":{},"now_ms":{}}})", this->version, this->version, 1'000 + 7 * this->version), "Store-Era: 1\r\n");
		}

		std::mutex mutex;
		std::uint64_t version = 0;
	};

	std::string writeAnswer(int _status, std::uint64_t _version)
	{
		const std::string rows = 412 == _status ? fmt::format(R"("rows":[{{"table":"t","part":"","key":"k","value":"dg==","ver":{}}}],)", _version) : "";
		return answerOf(_status, fmt::format(R"({{{}"ver":{},"now_ms":{}}})", rows, _version, 1'000 + 7 * _version), "Store-Era: 1\r\n");
	}

	/// A client of a scripted store.
	struct Client
	{
		explicit Client(const ScriptedServer& _server)
		    : store(platform::makeTableStore({this->io.provider->getNetwork(), this->io.provider->getTimer()}, _server.address()))
		{
		}

		Rows read()
		{
			return this->store->read("t", "", "").take().wait(this->io.waitScope);
		}

		/// @returns Whether a read ends without rows.
		bool readFails()
		{
			return nullptr != kj::runCatchingExceptions([this] {
				       this->read();
			       });
		}

		WriteResult write()
		{
			return this->store->write({{"t", "", "k"}, "value", makeVersion(1, 1)}).take().wait(this->io.waitScope);
		}

		kj::AsyncIoContext io = kj::setupAsyncIo();
		std::unique_ptr<TableStore> store;
	};

	/// Reads from a store whose answer has no end, and meanwhile from a sound one.
	/// @param[in] _piece Comes again and again behind the start.
	/// @param[in] _maxTakenBytes How much of it is read at most.
	void readWithoutEnd(const std::string& _start, const std::string& _piece, std::size_t _maxTakenBytes)
	{
		constexpr Millis kMaxPauseMs = 1'000;
		FakeState state;
		const ScriptedServer sound([&](ScriptedConnection& _connection) {
			stutter(_connection, {0}, [&](const std::string&) {
				return state.rows();
			});
		});
		std::atomic<std::size_t> taken{0};
		const ScriptedServer server([&](ScriptedConnection& _connection) {
			if (_connection.request() && _connection.send(_start))
			{
				while (_connection.send(_piece))
				{
					taken += _piece.size();
				}
			}
		});
		Client client(server);
		const std::unique_ptr<TableStore> other = platform::makeTableStore({client.io.provider->getNetwork(), client.io.provider->getTimer()}, sound.address());
		const Millis since = nowMs();
		bool ended = false;
		bool took = false;
		const kj::Promise<void> reading = client.store->read("t", "", "").take().then([&](Rows&&) {
			                                                                        took = true;
			                                                                        ended = true;
		                                                                        },
		                                                                              [&](kj::Exception&&) {
			ended = true;
		                                                                        })
		    .eagerlyEvaluate(nullptr);
		Millis longestMs = 0;
		for (bool othersAnswered = true; !ended && othersAnswered && nowMs() - since < kCallEndsMs;)
		{
			const Millis begun = nowMs();
			const auto failure = kj::runCatchingExceptions([&] {
				other->read("t", "", "").take().wait(client.io.waitScope);
			});
			othersAnswered = nullptr == failure;
			longestMs = std::max(longestMs, nowMs() - begun);
			cr_assert(othersAnswered, "another call failed after %lld ms: %s%s", static_cast<long long>(longestMs), _start.c_str(), _piece.substr(0, 20).c_str());
		}
		cr_assert(!took, "taken for an answer: %s", _start.c_str());
		cr_assert(ended, "still reading: %s", _start.c_str());
		cr_assert(longestMs < kMaxPauseMs, "another call took %lld ms: %s", static_cast<long long>(longestMs), _start.c_str());
		cr_assert(_maxTakenBytes > taken, "%zu bytes: %s", taken.load(), _start.c_str());
	}
} // namespace

/// Guards against a reader that goes back in time: the copy of an earlier answer arrives once the next request was sent.
Test(storeanswers, a_late_copy_is_not_taken_for_the_next_read)
{
	FakeState state;
	const ScriptedServer server([&](ScriptedConnection& _connection) {
		stutter(_connection, {}, [&](const std::string&) {
			return state.rows();
		});
	});
	Client client(server);
	std::uint64_t last = 0;
	for (int call = 0; call < 20; ++call)
	{
		const std::uint64_t before = state.version;
		const Rows rows = client.read();
		cr_assert(before < counterOf(rows.version) && last < rows.version, "version %lu after %lu", static_cast<unsigned long>(counterOf(rows.version)), static_cast<unsigned long>(before));
		last = rows.version;
	}
}

/// Guards against a read that takes any part of an earlier answer: cut at each byte, at once and late.
Test(storeanswers, no_cut_copy_shows_in_the_next_read)
{
	const std::size_t size = FakeState().rows().size();
	for (const bool late : {false, true})
	{
		for (std::size_t cut = 1; cut <= size; ++cut)
		{
			FakeState state;
			const ScriptedServer server([&](ScriptedConnection& _connection) {
				stutter(_connection, {cut, late}, [&](const std::string&) {
					return state.rows();
				});
			});
			Client client(server);
			for (int call = 0; call < 3; ++call)
			{
				const std::uint64_t before = state.version;
				const Rows rows = client.read();
				cr_assert(before < counterOf(rows.version), "cut at %zu, late %d: version %lu after %lu", cut, int(late), static_cast<unsigned long>(counterOf(rows.version)), static_cast<unsigned long>(before));
				cr_assert(1 == rows.rows.size() && rows.rows.front().version == rows.version && "v" == rows.rows.front().value);
			}
		}
	}
}

/// Guards against a write that is reported as done, or as a conflict, by the copy of an earlier answer.
Test(storeanswers, no_copy_tells_the_result_of_a_write)
{
	for (const int first : {200, 412})
	{
		for (const bool late : {false, true})
		{
			std::atomic<int> calls{0};
			const ScriptedServer server([&](ScriptedConnection& _connection) {
				stutter(_connection, {std::string::npos, late}, [&](const std::string&) {
					calls += 1;
					return writeAnswer((1 == calls % 2) == (200 == first) ? 200 : 412, std::uint64_t(calls) + 1);
				});
			});
			Client client(server);
			for (int call = 1; call <= 6; ++call)
			{
				const bool done = (1 == call % 2) == (200 == first);
				const WriteResult result = client.write();
				cr_assert(done == result.written && std::uint64_t(call) + 1 == counterOf(result.version), "call %d, late %d: written %d at %lu", call, int(late), int(result.written), static_cast<unsigned long>(counterOf(result.version)));
			}
		}
	}
}

/// Guards against a write that takes the copy of a read's answer for its own, and the reverse.
Test(storeanswers, no_copy_of_another_kind_of_call_is_taken)
{
	FakeState state;
	const ScriptedServer server([&](ScriptedConnection& _connection) {
		stutter(_connection, {}, [&](const std::string& _request) {
			const std::string rows = state.rows();
			return _request.starts_with("GET") ? rows : writeAnswer(412, state.version);
		});
	});
	Client client(server);
	for (int call = 0; call < 5; ++call)
	{
		std::uint64_t before = state.version;
		cr_assert(before < counterOf(client.read().version));
		before = state.version;
		const WriteResult result = client.write();
		cr_assert(!result.written && before < counterOf(result.version));
	}
}

/// A sound store: reads share a connection, whatever the number of writes between them.
Test(storeanswers, reads_of_a_sound_store_share_a_connection)
{
	constexpr int kWrites = 3;
	FakeState state;
	const ScriptedServer server([&](ScriptedConnection& _connection) {
		stutter(_connection, {0}, [&](const std::string& _request) {
			return _request.starts_with("GET") ? state.rows() : writeAnswer(200, 1);
		});
	});
	Client client(server);
	for (int call = 0; call < kWrites; ++call)
	{
		client.read();
		client.read();
		cr_assert(client.write().written);
	}
	cr_assert(1 + kWrites == server.connections(), "%d connections", server.connections());
}

/// Guards against a refusal that is asked for twice, on the kept connection and on a new one.
Test(storeanswers, a_refused_read_costs_one_call)
{
	FakeState state;
	std::atomic<int> calls{0};
	const ScriptedServer server([&](ScriptedConnection& _connection) {
		stutter(_connection, {0}, [&](const std::string&) {
			calls += 1;
			return 1 == calls ? state.rows() : answerOf(503, "");
		});
	});
	Client client(server);
	client.read();
	cr_assert(client.readFails() && 2 == calls && client.readFails() && 3 == calls, "%d calls", calls.load());
}

/// A store that is back from an earlier copy names earlier versions and times: they are no copies of earlier answers.
Test(storeanswers, times_that_go_back_with_the_store_are_taken)
{
	for (const char* era : {"2", "1"})
	{
		std::atomic<int> calls{0};
		const ScriptedServer server([&](ScriptedConnection& _connection) {
			stutter(_connection, {0}, [&](const std::string&) {
				calls += 1;
				const bool back = 1 < calls;
				return answerOf(200, fmt::format(R"({{"rows":[],"ver":{},"now_ms":{}}})", back ? 3 : 9, back ? 2'000 + calls : 9'000), fmt::format("Store-Era: {}\r\n", back ? era : "1"));
			});
		});
		Client client(server);
		cr_assert(makeVersion(1, 9) == client.read().version);
		cr_assert(3 == counterOf(client.read().version));
		cr_assert(3 == counterOf(client.read().version));
		cr_assert(1 == server.connections(), "%d connections", server.connections());
	}
}

/// Guards against an answer of another shape that is taken for an empty table, or that ends the process.
Test(storeanswers, a_response_of_another_shape_fails)
{
	const std::string deep(200'000, '[');
	const std::vector<std::string> bodies{"", "{}", "[]", "null", R"({"ver":3})", R"({"rows":[]})", R"({"rows":{},"ver":3})", R"({"rows":[],"ver":"3"})", R"({"rows":[],"ver":-3})", R"({"rows":[3],"ver":3})", R"({"rows":[],"ver":1e999})", R"({"step":3,"epoch":1,"counts":[1]})", deep, R"({"rows":)" + deep};
	for (const std::string& body : bodies)
	{
		const ScriptedServer server([&](ScriptedConnection& _connection) {
			stutter(_connection, {0}, [&](const std::string& _request) {
				return answerOf(200, _request.starts_with("GET") ? body : "{}");
			});
		});
		Client client(server);
		cr_assert(client.readFails(), "taken: %s", body.substr(0, 60).c_str());
		cr_assert(nullptr != kj::runCatchingExceptions([&] {
			          client.write();
		          }));
	}
}

/// Guards against a call that takes a head which stops, or a body that does, for an answer.
Test(storeanswers, an_answer_that_stops_at_any_byte_fails_the_call_only)
{
	FakeState state;
	const std::string whole = state.rows();
	for (std::size_t cut = 0; cut < whole.size(); ++cut)
	{
		std::atomic<bool> stops{true};
		const ScriptedServer server([&](ScriptedConnection& _connection) {
			if (stops && _connection.request())
			{
				_connection.send(whole.substr(0, cut));
				return;
			}
			stutter(_connection, {0}, [&](const std::string&) {
				return whole;
			});
		});
		Client client(server);
		cr_assert(client.readFails(), "taken when cut at %zu", cut);
		stops = false;
		cr_assert(1 == client.read().rows.size());
	}
}

/// Guards against answers without end that use memory or time without a limit, or hold up other calls of the process.
Test(storeanswers, an_answer_without_end_fails_its_call_and_holds_up_no_other)
{
	constexpr std::size_t kMaxTakenBytes = 32u << 20; // the limit of a response, and what the system buffers
	const std::vector<std::pair<std::string, std::string>> endless{{"HTTP/1.1 200 OK\r\nX-Filler: ", std::string(4'096, 'x')}, {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"}, {"HTTP/1.1 200 OK\r\n\r\n", std::string(4'096, 'x')}, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4'096, 'x') + "\r\n"}, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", std::string(4'096, 'x')}, {"", std::string(4'096, 'x')}};
	for (const auto& [start, piece] : endless)
	{
		readWithoutEnd(start, piece, kMaxTakenBytes);
	}
}

/// The same for interim responses, of which nothing is kept.
Test(storeanswers, interim_responses_without_end_hold_up_no_other_call, .timeout = 20)
{
	readWithoutEnd("", "HTTP/1.1 102 Processing\r\n\r\n", std::numeric_limits<std::size_t>::max());
}
