/// Crowds of clients that don't behave, at a gateway: it lives, stays within the memory of its machine and its descriptors, and
/// answers an ordinary request beside the crowd and after it.
#include "crowd.h"
#include "gateway_rig.h"
#include "server_stamp.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Size of a body, and of a head, that a caller may send.
	constexpr std::size_t kMaxBodyBytes = 4 * kMiB;
	constexpr std::size_t kMaxHeadBytes = 16'384;
	constexpr Millis kLongTimeoutMs = 20'000;

	/// A gateway with little memory and few descriptors, two upstreams, and one that sends what a test tells it to.
	struct CrowdRig
	{
		GatewayRig rig{{"a", "b"}};
		std::unique_ptr<RawServer> large; ///< Upstream of the service "large".
		RigGateway gateway;

		explicit CrowdRig(std::function<RawServer::Reply(const std::string&)> _largeReply = nullptr)
		{
			Json slow = GatewayRig::route("/slow/", "idempotent");
			slow["timeoutMs"] = kLongTimeoutMs;
			slow["maxAttempts"] = 1;
			Json flood = slow;
			flood["name"] = flood["pathPrefix"] = "/large/";
			flood["service"] = "large";
			Json configuration = lab::configurationJson(2, {"key-one"}, Json::array({slow, flood}));
			configuration["limits"] = {{"maxHeaderBytes", kMaxHeadBytes}, {"maxBodyBytes", kMaxBodyBytes}, {"headerTimeoutMs", kLongTimeoutMs}, {"idleTimeoutMs", 2 * kLongTimeoutMs}};
			configuration["services"] = Json::array({{{"name", "svc"}, {"maxConns", 4'000}}, {{"name", "large"}, {"maxConns", 4'000}}});
			if (_largeReply)
			{
				this->large = std::make_unique<RawServer>(std::move(_largeReply));
				this->rig.store.put("servers", "large-1", lab::upstreamJson("large", this->large->address, "ready"));
			}
			this->rig.store.put("op", "config", configuration);
			this->rig.moreSettings = {{"memoryMb", kMemoryMb}};
			const LoweredDescriptorLimit limit(kDescriptors);
			this->gateway = this->rig.startGatewayNamed("gateway-of-little-memory");
			this->gateway.waitReady(this->large ? 3 : 2);
		}

		std::unique_ptr<ProcessWatch> watch() const
		{
			std::set<unsigned> upstreams;
			for (const RigWorker& worker : this->rig.workers)
			{
				upstreams.insert(unsigned(parseAddress(worker.address).port));
			}
			if (this->large)
			{
				upstreams.insert(unsigned(parseAddress(this->large->address).port));
			}
			std::set<unsigned> own;
			for (const std::string& address : {this->gateway.callers, this->gateway.readiness, this->gateway.metrics})
			{
				own.insert(unsigned(parseAddress(address).port));
			}
			return std::make_unique<ProcessWatch>(this->gateway.process->id(), own, upstreams);
		}

		/// @returns Whether an ordinary caller gets an answer, at the latest by one of its retries.
		bool answersOrdinaryCaller(const std::string& _name) const
		{
			int attempt = 0;
			return lab::waitUntil(kAnswerWaitMs, [&] {
				attempt += 1;
				httplib::Client client = clientOf(this->gateway.callers);
				client.set_read_timeout(2);
				const httplib::Result result = client.Post("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("{}-{}", _name, attempt)), "an ordinary body", "text/plain");
				return result && 200 == result->status;
			});
		}
	};

	std::string headOf(const std::string& _method, const std::string& _target, const std::string& _more)
	{
		return fmt::format("{} {} HTTP/1.1\r\nHost: office.example\r\nX-Archdyke-Request-Id: {{id}}\r\nX-Archdyke-Deadline-Ms: {}\r\nX-Api-Key: key-one\r\n{}\r\n", _method, _target, kLongTimeoutMs, _more);
	}

	std::string chunkedHead(const std::string& _target)
	{
		return headOf("POST", _target, "Transfer-Encoding: chunked\r\n");
	}

	std::string lengthHead(const std::string& _target, std::size_t _bytes)
	{
		return headOf("POST", _target, fmt::format("Content-Length: {}\r\n", _bytes));
	}

	/// Plays a crowd at the callers' port.
	void checkCrowd(CrowdRig& _rig, std::size_t _clients, const CrowdPlan& _plan)
	{
		const std::unique_ptr<ProcessWatch> watch = _rig.watch();
		{
			const Crowd crowd(_rig.gateway.callers, _clients, _plan);
			crowd.waitUntilStuck();
			cr_expect(_rig.answersOrdinaryCaller("beside"), "no answer beside the crowd");
			cr_expect(_rig.gateway.isReady(), "not ready beside the crowd");
		}
		cr_expect(_rig.answersOrdinaryCaller("after"), "no answer after the crowd");
		checkBounds(*_rig.gateway.process, *watch);
	}

	/// @returns A reply of 6 MB to the request with this head, framed by _frame.
	RawServer::Reply largeReply(const std::string& _head, const std::function<std::string(const std::string&)>& _frame)
	{
		constexpr std::size_t kLargeBytes = 6'000'000;
		const std::string name = "X-Archdyke-Request-Id: ";
		const std::size_t begin = _head.find(name) + name.size();
		const std::string id = _head.substr(begin, _head.find('\r', begin) - begin);
		const std::string body(kLargeBytes, 'x');
		return {fmt::format("HTTP/1.1 200 OK\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Server-Stamp: {}\r\n{}", id, stub::makeStamp("large-1", id, 200, body), _frame(body)), SocketEnd::CloseSending};
	}

	RawServer::Reply replyWithLength(const std::string& _head)
	{
		return largeReply(_head, [](const std::string& _body) {
			return fmt::format("Content-Length: {}\r\n\r\n{}", _body.size(), _body);
		});
	}

	RawServer::Reply replyInSmallChunks(const std::string& _head)
	{
		constexpr std::size_t kChunkBytes = 100;
		return largeReply(_head, [](const std::string& _body) {
			return "Transfer-Encoding: chunked\r\n\r\n" + repeated(chunkOf(kChunkBytes), _body.size() / kChunkBytes) + "0\r\n\r\n";
		});
	}
} // namespace

Test(crowds, bodies_in_large_chunks_that_stop_short)
{
	CrowdRig rig;
	checkCrowd(rig, 40, {chunkedHead("/safe/x?do=ok"), chunkOf(16'000), 250});
}

Test(crowds, bodies_with_a_length_that_stop_one_byte_short)
{
	CrowdRig rig;
	checkCrowd(rig, 40, {lengthHead("/safe/x?do=ok", kMaxBodyBytes), std::string(kMiB, 'x').substr(1), 4});
}

Test(crowds, bodies_in_chunks_of_one_byte_that_stop_short)
{
	CrowdRig rig;
	checkCrowd(rig, 250, {chunkedHead("/safe/x?do=ok"), repeated(chunkOf(1), 10'000), 40});
}

Test(crowds, lengths_far_over_the_limit)
{
	CrowdRig rig;
	checkCrowd(rig, 100, {lengthHead("/safe/x?do=ok", 99'999'999'999), std::string(65'536, 'x'), 10'000});
}

Test(crowds, bodies_far_over_the_limit_in_chunks)
{
	CrowdRig rig;
	checkCrowd(rig, 100, {chunkedHead("/safe/x?do=ok"), chunkOf(65'536), 200});
}

Test(crowds, whole_bodies_to_a_slow_upstream)
{
	CrowdRig rig;
	checkCrowd(rig, 40, {lengthHead("/slow/x?do=hang", kMaxBodyBytes), std::string(kMiB, 'x'), 4});
}

Test(crowds, requests_behind_a_running_one)
{
	CrowdRig rig;
	const std::string behind = "GET /safe/x?do=ok HTTP/1.1\r\nHost: office.example\r\nX-Api-Key: key-one\r\n\r\n";
	checkCrowd(rig, 200, {headOf("GET", "/slow/x?do=hang", ""), repeated(behind, 100), 100});
}

Test(crowds, chunks_of_one_byte_behind_a_running_request)
{
	CrowdRig rig;
	checkCrowd(rig, 400, {headOf("GET", "/slow/x?do=hang", "") + chunkedHead("/safe/x?do=ok"), repeated(chunkOf(1), 10'000), 40});
}

Test(crowds, readers_of_long_answers_who_read_slowly)
{
	CrowdRig rig(replyWithLength);
	checkCrowd(rig, 30, {headOf("GET", "/large/x", ""), "", 0, 1});
}

Test(crowds, readers_of_long_chunked_answers_who_read_slowly)
{
	CrowdRig rig(replyInSmallChunks);
	checkCrowd(rig, 30, {headOf("GET", "/large/x", ""), "", 0, 1});
}

Test(crowds, heads_of_many_short_lines)
{
	CrowdRig rig;
	checkCrowd(rig, 100, {"GET /safe/x?do=ok HTTP/1.1\r\nHost: office.example\r\n", repeated("a:\r\n", 10), 1'900});
}

Test(crowds, heads_without_end)
{
	CrowdRig rig;
	checkCrowd(rig, 450, {"GET /safe/x?do=ok HTTP/1.1\r\nHost: office.example\r\n", "Name: " + std::string(100, 'x') + "\r\n", 130});
}

/// Heads of a size at which each client holds a little less than an ordinary request that is run.
Test(crowds, heads_that_stop_short)
{
	CrowdRig rig;
	checkCrowd(rig, 450, {"GET /safe/x?do=ok HTTP/1.1\r\nHost: office.example\r\n", "Name: " + std::string(100, 'x') + "\r\n", 95});
}

/// Requests that are refused at once, by callers who never read: their answers fill what the system keeps for a connection.
Test(crowds, refusals_that_nobody_reads)
{
	CrowdRig rig;
	const std::string refused = "POST /nowhere HTTP/1.1\r\nHost: office.example\r\nContent-Length: 1000\r\n\r\n" + std::string(1'000, 'x');
	checkCrowd(rig, 200, {"", repeated(refused, 50), 400});
}

/// Connections to the ports of readiness and metrics, which must leave descriptors for callers, and readiness for the platform.
Test(crowds, connections_to_readiness_and_metrics)
{
	CrowdRig rig;
	const std::unique_ptr<ProcessWatch> watch = rig.watch();
	{
		const Crowd readiness(rig.gateway.readiness, 600, {"GET /readyz HTTP/1.1\r\n", "", 0});
		const Crowd metrics(rig.gateway.metrics, 600, {"POST /metrics HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(65'536), 200});
		metrics.waitUntilStuck();
		cr_expect(rig.answersOrdinaryCaller("beside"), "no answer beside the crowd");
		cr_expect(lab::waitUntil(kAnswerWaitMs, [&] {
			return rig.gateway.isReady();
		}));
	}
	cr_expect(rig.answersOrdinaryCaller("after"), "no answer after the crowd");
	checkBounds(*rig.gateway.process, *watch);
}

/// Readers of the gateway's metrics who don't read them.
Test(crowds, readers_of_metrics_who_never_read)
{
	CrowdRig rig;
	const std::unique_ptr<ProcessWatch> watch = rig.watch();
	{
		const Crowd crowd(rig.gateway.metrics, 300, {"", repeated("GET /metrics HTTP/1.1\r\n\r\n", 100), 100});
		crowd.waitUntilStuck();
		cr_expect(rig.answersOrdinaryCaller("beside"), "no answer beside the crowd");
		cr_expect(lab::waitUntil(kAnswerWaitMs, [&] {
			return rig.gateway.dump().is_object();
		}));
	}
	cr_expect(rig.answersOrdinaryCaller("after"), "no answer after the crowd");
	checkBounds(*rig.gateway.process, *watch);
}

/// A single request with the largest body, by a slow sender, is served in calm.
Test(crowds, one_large_body_is_served_in_calm)
{
	CrowdRig rig;
	httplib::Client client = clientOf(rig.gateway.callers);
	const std::string body(kMaxBodyBytes, 'x');
	const httplib::Result result = client.Post(
	    "/slow/x?do=ok", GatewayRig::headersFor("large", kLongTimeoutMs), body.size(), [&body](std::size_t _offset, std::size_t _length, httplib::DataSink& _sink) {
		    lab::pauseMs(10);
		    const std::size_t size = std::min<std::size_t>(_length, 65'536);
		    return _sink.write(body.data() + _offset, size);
	    },
	    "text/plain");
	cr_assert(result && 200 == result->status, "status %d", result ? result->status : 0);
}
