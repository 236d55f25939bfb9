/// Processes that call servers whose answers don't end: they live, answer others meanwhile, and stay within the memory of their
/// machine. The gateway's calls of upstreams are in test_gateway_endless.cpp.
#include <kj/async-io.h>

// Before Criterion, whose macros break Abseil's headers.
#include "group/rank_link.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "gateway_rig.h"
#include "raw_answers.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kMiB = std::size_t(1) << 20;
	constexpr std::size_t kMemoryMb = 48;
	constexpr Millis kPlayMs = 4'000;
	constexpr Millis kAnswerWaitMs = 10'000;

	/// @returns The most memory that a process has held, bytes; 0 once it has ended.
	std::size_t peakMemoryOf(pid_t _process)
	{
		std::ifstream status(fmt::format("/proc/{}/status", _process));
		std::string word;
		std::size_t kilobytes = 0;
		while (status >> word)
		{
			if ("VmHWM:" == word)
			{
				status >> kilobytes;
			}
		}
		return kilobytes * 1'024;
	}

	/// A daemon, started from the server that it calls.
	struct Daemon
	{
		std::unique_ptr<lab::ChildProcess> process;
		std::string answering; ///< Address that answers its operators' requests.
		std::string target = "/metrics";
	};

	using StartDaemon = std::function<Daemon(const std::string& _directory, const RawServer& _server)>;

	Daemon startProgram(const std::string& _program, const std::string& _directory, const Json& _settings, const std::string& _listening)
	{
		const std::string path = _directory + "/settings.json";
		std::ofstream(path) << _settings.dump();
		Daemon daemon;
		daemon.process = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/" + _program, std::vector<std::string>{"--settings", path}, _directory + "/log");
		daemon.answering = _listening.empty() ? _settings["metrics"].get<std::string>() : daemon.process->listening(_listening);
		return daemon;
	}

	bool answers(const Daemon& _daemon)
	{
		return lab::waitUntil(kAnswerWaitMs, [&] {
			const httplib::Result result = lab::clientOf(_daemon.answering).Get(_daemon.target);
			return result && 200 == result->status;
		});
	}

	/// Plays one kind of bytes without end.
	/// @returns What was wrong; empty if nothing was.
	std::string play(const EndlessBytes& _bytes, const StartDaemon& _start, const std::function<bool(const RawExchange&)>& _answersFirst)
	{
		std::atomic<int> calls = 0;
		const RawServer server([&](const RawExchange& _exchange) {
			if (_answersFirst && _answersFirst(_exchange))
			{
				return true;
			}
			calls += 1;
			sendEndless(_exchange, _bytes, 65'536, std::chrono::milliseconds(0));
			return false;
		});
		const ScratchDirectory directory;
		const Daemon daemon = _start(directory.path, server);
		lab::pauseMs(kPlayMs);
		std::string wrong = answers(daemon) ? "" : " doesn't answer;";
		wrong += daemon.process->running() ? "" : " has ended;";
		wrong += 0 < calls ? "" : " made no call;";
		const std::size_t peak = peakMemoryOf(daemon.process->id());
		fmt::print("{}: {} KiB\n", _bytes.name, peak / 1'024);
		wrong += peak <= kMemoryMb * kMiB ? "" : fmt::format(" held {} KiB;", peak / 1'024);
		return wrong.empty() ? "" : fmt::format("\n{}:{}", _bytes.name, wrong);
	}

	/// Plays all kinds, at the same time.
	void checkKinds(const StartDaemon& _start, const std::function<bool(const RawExchange&)>& _answersFirst = {})
	{
		std::vector<std::future<std::string>> plays;
		for (const EndlessBytes& bytes : endlessAnswers())
		{
			plays.push_back(std::async(std::launch::async, [&_start, &_answersFirst, bytes] {
				return play(bytes, _start, _answersFirst);
			}));
		}
		std::string wrong;
		for (std::future<std::string>& play : plays)
		{
			wrong += play.get();
		}
		cr_assert(wrong.empty(), "%s", wrong.c_str());
	}

	/// @returns A loopback address that no other test process and no other call uses.
	std::string ownIp()
	{
		static std::atomic<int> given = 0;
		const int process = getpid();
		return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + given++);
	}

	Daemon startSidecar(const std::string& _directory, const std::string& _engine, const std::string& _store)
	{
		const std::string ip = ownIp();
		const Json settings{{"name", "side"}, {"zone", "here"}, {"ip", ip}, {"peerPort", 7340}, {"metrics", ip + ":7341"}, {"store", _store}, {"upstream", _engine}, {"service", "svc"}, {"memoryMb", kMemoryMb}, {"graceS", 8}};
		return startProgram("archdyke-sidecar", _directory, settings, "");
	}

	/// Answers requests for the state of an engine whose group has two ranks.
	bool answersReport(const RawExchange& _exchange)
	{
		return _exchange.isFor("/report") && _exchange.send(rawAnswer("200 OK", R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":2,"queued":0,"active":0,"step":1,"map":0,"prepared":null,"armed":null,"held":null})"));
	}

	Daemon startAgent(const std::string& _directory, const RawServer& _server, const char* _kind)
	{
		const Json settings{{"name", "agent-1"}, {"zone", "here"}, {"rpc", "127.0.0.1:0"}, {"admin", "127.0.0.1:0"}, {"upstream", {{"kind", _kind}, {"address", _server.address()}, {"slots", 4}}}, {"memoryMb", kMemoryMb}};
		return startProgram("archdyke-agent", _directory, settings, "admin");
	}
} // namespace

/// Guards against an engine that fills the memory of the daemon beside it.
Test(endlesscallers, a_sidecar_lives_beside_an_engine_whose_answers_do_not_end)
{
	checkKinds([](const std::string& _directory, const RawServer& _server) {
		return startSidecar(_directory, _server.address(), "127.0.0.1:9");
	});
}

/// Guards against a store that fills the memory of a sidecar.
Test(endlesscallers, a_sidecar_lives_with_a_store_whose_answers_do_not_end)
{
	checkKinds(
	    [](const std::string& _directory, const RawServer& _server) {
		return startSidecar(_directory, _server.address(), _server.address());
	    },
	    answersReport);
}

/// Guards against a store that fills the memory of a gateway.
Test(endlesscallers, a_gateway_lives_with_a_store_whose_answers_do_not_end)
{
	checkKinds([](const std::string& _directory, const RawServer& _server) {
		const Json settings{{"name", "edge"}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", 9}, {"metrics", "127.0.0.1:0"}, {"store", _server.address()}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"memoryMb", kMemoryMb}, {"graceS", 8}};
		return startProgram("archdyke-gateway", _directory, settings, "metrics");
	});
}

/// Guards against a platform that fills the memory of an entry.
Test(endlesscallers, an_entry_lives_with_a_platform_whose_answers_do_not_end)
{
	checkKinds([](const std::string& _directory, const RawServer& _server) {
		const Json settings{{"name", "entry-1"}, {"zone", "here"}, {"http", "127.0.0.1:0"}, {"rpc", "127.0.0.1:0"}, {"admin", "127.0.0.1:0"}, {"platform", _server.address()}, {"memoryMb", kMemoryMb}};
		return startProgram("archdyke-entry", _directory, settings, "admin");
	});
}

/// Guards against a service that fills the memory of its agent by its answers to probes.
Test(endlesscallers, an_agent_lives_beside_a_service_whose_answers_do_not_end)
{
	checkKinds([](const std::string& _directory, const RawServer& _server) {
		return startAgent(_directory, _server, "plain");
	});
}

/// Guards against an engine that fills the memory of its agent by its answers about expert maps.
Test(endlesscallers, an_agent_lives_beside_an_engine_whose_answers_do_not_end)
{
	checkKinds([](const std::string& _directory, const RawServer& _server) {
		return startAgent(_directory, _server, "model");
	},
	           answersHealth);
}

/// Guards against a daemon or a platform that keeps the operators' command from ending.
Test(endlesscallers, the_operators_command_ends)
{
	constexpr Millis kMaxMs = 6'000;
	constexpr std::size_t kMaxBytes = 200 * kMiB;
	std::string wrong;
	for (const char* verb : {"dump", "status"})
	{
		wrong += failingKinds(true, kMaxMs, [&](const RawServer& _server) {
			const ScratchDirectory directory;
			const std::vector<std::string> arguments = "dump" == std::string(verb) ? std::vector<std::string>{"dump", _server.address()} : std::vector<std::string>{"status", "--platform", _server.address()};
			lab::ChildProcess command(std::string(ARCHDYKE_BIN_DIR) + "/archdyke", arguments, directory.path + "/log");
			std::size_t peak = 0;
			const bool ended = lab::waitUntil(kMaxMs, [&] {
				peak = std::max(peak, peakMemoryOf(command.id()));
				return !command.running();
			});
			return ended && 0 != command.waitForExit(0) && peak <= kMaxBytes;
		});
	}
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}

/// Guards against a daemon that announces a message of any size and fills the memory of its caller with it.
Test(endlesscallers, a_message_of_a_peer_takes_little_memory)
{
	constexpr Millis kTimeoutMs = 2'000;
	constexpr std::size_t kMaxGrowthBytes = 24 * kMiB;
	// A segment table of one segment, in words of 8 bytes: just below the RPC library's own limit.
	constexpr std::uint32_t kSegmentWords = 8'000'000;
	std::string table(8, '\0');
	std::memcpy(table.data() + 4, &kSegmentWords, sizeof(kSegmentWords));
	const EndlessBytes bytes{"message", table, std::string(1, '\0')};
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	socklen_t size = sizeof(address);
	cr_assert(0 == bind(listener, reinterpret_cast<sockaddr*>(&address), size) && 0 == listen(listener, 8) && 0 == getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
	std::thread peer([&] {
		const int connection = accept(listener, nullptr, nullptr);
		sendEndless(RawExchange(connection, "", 0, 0), bytes, 65'536, std::chrono::milliseconds(0));
		close(connection);
	});
	const std::size_t before = peakMemory();
	bool failed = false;
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		group::RankLink link({io.provider->getNetwork(), io.provider->getTimer()}, fmt::format("127.0.0.1:{}", ntohs(address.sin_port)));
		try
		{
			link.join("127.0.0.1:1", "group", kTimeoutMs).take().wait(io.waitScope);
		}
		catch (const kj::Exception&)
		{
			failed = true;
		}
	}
	peer.join();
	close(listener);
	cr_expect(failed);
	cr_expect(peakMemory() - before <= kMaxGrowthBytes, "%zu KiB", (peakMemory() - before) / 1'024);
}
