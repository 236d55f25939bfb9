/// A gateway process with bytes that come without end, from an upstream or a caller: the request ends by its deadline, memory is
/// bounded, and others are served.
#include <array>
#include <atomic>
#include <cmath>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "gateway_rig.h"
#include "raw_sockets.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kDeadlineMs = 1'000;
	/// Time until an answer may be late: a scheduler under load, not a queue behind bytes without end.
	constexpr Millis kLateMs = 700;
	/// Callers of answers without end, at the same time.
	constexpr int kEndlessCallers = 3;
	/// Memory that these may take: for each an answer of at most 8 MiB with its copies, for a first and a second attempt.
	constexpr std::size_t kMaxGrowthBytes = std::size_t(kEndlessCallers) * (std::size_t(32) << 20);

	std::size_t residentBytes(const GatewayRig& _rig)
	{
		std::ifstream file(fmt::format("/proc/{}/statm", _rig.gateway.process->id()));
		std::size_t total = 0;
		std::size_t resident = 0;
		file >> total >> resident;
		return resident * std::size_t(sysconf(_SC_PAGESIZE));
	}

	/// What the caller of an answer without end saw.
	struct EndlessOutcome
	{
		int status = 0;
		bool whole = false; ///< The answer was framed as complete.
		Millis tookMs = 0;
	};

	EndlessOutcome callEndless(const GatewayRig& _rig, const std::string& _target, const std::string& _request)
	{
		EndlessOutcome outcome;
		const Millis start = nowMs();
		httplib::Client client = lab::clientOf(_rig.gateway.callers);
		const httplib::Result result = client.Get(
		    _target, GatewayRig::headersFor(_request, kDeadlineMs),
		    [&outcome](const httplib::Response& _response) {
			outcome.status = _response.status;
			return true;
		    },
		    [](const char*, std::size_t) {
			return true;
		});
		outcome.whole = bool(result);
		outcome.tookMs = nowMs() - start;
		return outcome;
	}

	/// Calls others while answers without end are under way.
	/// @returns What was wrong; empty if nothing was.
	std::string serveOthers(const GatewayRig& _rig, const std::string& _name, const std::atomic<int>& _running, std::size_t& _mostBytes)
	{
		std::string wrong;
		for (int call = 0; 0 < _running.load(); ++call)
		{
			const Millis start = nowMs();
			const RigResponse other = _rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("{}-other-{}", _name, call), kLateMs));
			const bool ready = _rig.isReady();
			const Millis tookMs = nowMs() - start;
			_mostBytes = std::max(_mostBytes, residentBytes(_rig));
			if (200 != other.status || !ready || tookMs > kLateMs)
			{
				wrong += fmt::format(" another caller got {}, ready {}, after {} ms;", other.status, ready, tookMs);
			}
			usleep(20'000);
		}
		return wrong;
	}

	/// @returns What was wrong with answers without end of one kind; empty if nothing was.
	std::string checkEndless(const GatewayRig& _rig, const std::string& _route, const std::string& _kind, const std::string& _pace)
	{
		const std::string name = fmt::format("{}-{}", _kind, _pace);
		const std::string target = fmt::format("/{}/x?do=endless-{}&pace={}", _route, _kind, _pace);
		const std::size_t before = residentBytes(_rig);
		std::size_t most = before;
		std::atomic<int> running = kEndlessCallers;
		std::array<EndlessOutcome, kEndlessCallers> outcomes;
		std::vector<std::thread> callers;
		for (int caller = 0; caller < kEndlessCallers; ++caller)
		{
			callers.emplace_back([&, caller] {
				outcomes[std::size_t(caller)] = callEndless(_rig, target, fmt::format("{}-{}-{}", _route, name, caller));
				running -= 1;
			});
		}
		std::string wrong = serveOthers(_rig, _route + name, running, most);
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		for (const EndlessOutcome& outcome : outcomes)
		{
			const bool failed = 502 == outcome.status || 504 == outcome.status;
			if ((!failed && outcome.whole) || outcome.tookMs > kDeadlineMs + kLateMs)
			{
				wrong += fmt::format(" {} after {} ms, whole {};", outcome.status, outcome.tookMs, outcome.whole);
			}
		}
		if (most > before + kMaxGrowthBytes)
		{
			wrong += fmt::format(" memory grew by {} MiB;", (most - before) >> 20);
		}
		return wrong.empty() ? "" : fmt::format("\n{} {}:{}", _route, name, wrong);
	}

	/// Two upstreams that send such answers, and serve the others.
	std::string checkEndlessKinds(const std::string& _route, const std::vector<std::string>& _kinds)
	{
		GatewayRig rig({"a", "b"});
		rig.waitReady();
		std::string wrong;
		for (const std::string& kind : _kinds)
		{
			for (const char* pace : {"fast", "byte"})
			{
				wrong += checkEndless(rig, _route, kind, pace);
			}
		}
		// The upstream serves others as well.
		const httplib::Result record = lab::clientOf(rig.workers[0].address).Get("/record");
		cr_assert(record && 200 == record->status);
		return wrong;
	}
} // namespace

/// Guards against bytes without end in the place of a head.
Test(endless, heads_without_end_cost_only_their_own_request)
{
	const std::string wrong = checkEndlessKinds("once", {"head", "reason", "interim"});
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}

/// Guards against bodies without end, however they are framed.
Test(endless, bodies_without_end_cost_only_their_own_request)
{
	const std::string wrong = checkEndlessKinds("once", {"length", "chunks", "close", "extension", "trailers"});
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}

/// Guards against a stream whose bytes contain no end of an event, or events without content, as fast as they are read.
Test(endless, streams_without_end_cost_only_their_own_request)
{
	const std::string wrong = checkEndlessKinds("stream", {"event", "nothings", "chunks", "close", "extension"});
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}

namespace
{
	/// A request without end, and the answer that ends it.
	struct EndlessRequest
	{
		std::string name;
		std::string start;
		std::string unit;
		int status = 0;
		bool byteByByte = false;
	};

	std::vector<EndlessRequest> endlessRequests()
	{
		const std::string chunked = "POST /once/x HTTP/1.1\r\nHost: office.example\r\nX-Api-Key: key-one\r\nTransfer-Encoding: chunked\r\n\r\n";
		return {
		    {"head", "GET /safe/x HTTP/1.1\r\nX: ", "a", 431, false},
		    {"slow head", "GET /safe/x HTTP/1.1\r\nX: ", "a", 408, true},
		    {"lines", "GET /safe/x HTTP/1.1\r\n", "X: a\r\n", 431, false},
		    {"target", "GET /", "a", 431, false},
		    {"chunks of a byte", chunked, "1\r\na\r\n", 413, false},
		    {"trailers", chunked + "0\r\n", "X: a\r\n", 431, false},
		    {"extension", chunked + "1;", "a", 400, false},
		};
	}
} // namespace

/// Guards against callers whose requests don't end, which occupied the process or its memory.
Test(endless, requests_without_end_cost_only_their_own_connection)
{
	constexpr std::size_t kBlockBytes = 65'536;
	constexpr Millis kSlowByteMs = 5;
	constexpr Millis kMaxMs = 9'000; // beyond the idle timeout
	constexpr std::size_t kMaxCallerBytes = std::size_t(32) << 20;
	GatewayRig rig({"a"});
	rig.waitReady();
	std::string wrong;
	for (const EndlessRequest& request : endlessRequests())
	{
		std::string block = request.unit;
		while (!request.byteByByte && block.size() < kBlockBytes)
		{
			block += request.unit;
		}
		const std::size_t before = residentBytes(rig);
		std::size_t most = before;
		std::atomic<int> running = kEndlessCallers;
		std::array<int, kEndlessCallers> statuses{};
		std::vector<std::thread> callers;
		for (int caller = 0; caller < kEndlessCallers; ++caller)
		{
			callers.emplace_back([&, caller] {
				statuses[std::size_t(caller)] = sendEndless(rig.gateway.callers, request.start, block, request.byteByByte ? kSlowByteMs : 0, kMaxMs);
				running -= 1;
			});
		}
		wrong += serveOthers(rig, "callers-" + request.name.substr(0, request.name.find(' ')), running, most);
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		for (const int status : statuses)
		{
			// An answer may be lost when the connection is reset because bytes still come.
			const bool ended = request.status == status || (kNoAnswer == status && !request.byteByByte);
			wrong += ended ? "" : fmt::format(" {}: {};", request.name, status);
		}
		wrong += most > before + kMaxCallerBytes ? fmt::format(" {}: memory grew by {} MiB;", request.name, (most - before) >> 20) : "";
	}
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}
