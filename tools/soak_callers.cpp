#include "soak_callers.h"

#include <fmt/format.h>

#include "archdyke/route.h"
#include "raw_caller.h"
#include "server_stamp.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr std::size_t kCallerThreads = 8;
		constexpr std::size_t kPlainCallerThreads = 6;
		constexpr std::uint64_t kMaxPlainPauseMs = 5;
		/// Number of kinds that a caller chooses from: all but crashing requests.
		constexpr std::uint64_t kRegularKinds = std::uint64_t(SoakKind::Crash);
		/// How often a request that crashes upstreams is sent. The pause between two is kMinCrashPauseMs plus a random
		/// time below kCrashPauseRangeMs.
		constexpr std::uint64_t kCrashRepeats = 10;
		constexpr Millis kMinCrashPauseMs = 200;
		constexpr std::uint64_t kCrashPauseRangeMs = 700;
		/// Parts of all prompts, also of those that crash upstreams.
		constexpr const char* kSoundParts = "a1:100,a2:50,";
		/// Of this many spans, one in which all callers connect to the same gateway.
		constexpr Millis kCrowdSpanMs = 2'000;
		constexpr Millis kCrowdSpans = 3;
		constexpr int kStreamEvents = 12; ///< Events of a stream of the stand-in.
		/// Requests after which a caller connects to another gateway. Callers with odd indexes keep their connection
		/// until it breaks.
		constexpr int kCallsPerConnection = 25;
		constexpr Millis kDeadlineMs = 1'500;      ///< Deadline of a request.
		constexpr Millis kLateDeadlineMs = 12'000; ///< Deadline of a request whose body ends late.
		constexpr Millis kTimeoutSlackMs = 500;    ///< Extra time that a caller waits after the deadline.
		constexpr int kConnectWaitS = 1;
		constexpr Millis kBrokenPauseMs = 25; ///< Pause after a request without a complete response.
		constexpr Millis kMaxPauseMs = 30;    ///< Upper bound of the random pause between two requests.

		std::string pathOf(SoakKind _kind)
		{
			switch (_kind)
			{
			case SoakKind::Safe:
				return "/safe/x";
			case SoakKind::Once:
				return "/once/x";
			default:
				return "/stream/x?do=stream";
			}
		}

		/// @returns The body that an upstream returns for a request.
		std::string expectedBody(SoakKind _kind)
		{
			if (SoakKind::Stream != _kind)
			{
				return "GET " + pathOf(_kind) + " ";
			}
			std::string body;
			for (int event = 1; event <= kStreamEvents; ++event)
			{
				body += fmt::format("id: {}\ndata: piece {}\n\n", event, event);
			}
			return body;
		}

		httplib::Client connectionTo(const std::string& _address)
		{
			httplib::Client client = clientOf(_address);
			client.set_keep_alive(true);
			client.set_connection_timeout(kConnectWaitS);
			client.set_read_timeout(std::chrono::milliseconds(kDeadlineMs + kTimeoutSlackMs));
			return client;
		}

		httplib::Headers headersOf(const SoakCall& _call)
		{
			return {{"Host", "office.example"}, {"X-Archdyke-Request-Id", _call.id}, {"X-Archdyke-Deadline-Ms", std::to_string(kDeadlineMs)}, {"X-Api-Key", _call.key}};
		}

		/// Sends a request.
		/// @param[in] _call Has the id, kind, key and gateway of the request.
		/// @returns The call with its result.
		SoakCall send(httplib::Client& _client, SoakCall _call)
		{
			httplib::Headers headers = headersOf(_call);
			const std::string parts = _call.badPart.empty() ? kSoundParts : _call.badPart + ":40," + kSoundParts;
			headers.emplace("X-Archdyke-Prompt-Prefix", fmt::format("{}{:x}:20", parts, stableHash(_call.id)));
			_call.target = SoakKind::Crash == _call.kind ? _call.target : pathOf(_call.kind);
			_call.sentAt = nowMs();
			const httplib::Result got = _client.Get(_call.target, headers);
			_call.endedAt = nowMs();
			_call.status = got ? got->status : 0;
			_call.whole = got && expectedBody(_call.kind) == got->body;
			_call.stamp = got ? got->get_header_value("X-Archdyke-Server-Stamp") : "";
			_call.body = _call.stamp.empty() ? "" : got->body;
			return _call;
		}
	} // namespace

	SoakCallers::SoakCallers(SoakDeployment& _deployment, std::uint64_t _seed, const MoreCallers& _more)
	    : deployment(_deployment)
	    , seed(_seed)
	{
		if (_more.crashing)
		{
			this->threads.emplace_back([this] {
				this->runCrashCaller();
			});
		}
		for (std::size_t index = 0; _more.plain && index < kPlainCallerThreads; ++index)
		{
			this->threads.emplace_back([this, index] {
				this->runPlainCaller(index);
			});
		}
		for (std::size_t index = 0; index < _more.lateBodies; ++index)
		{
			this->threads.emplace_back([this, index] {
				this->runLateBodyCaller(index);
			});
		}
		for (std::size_t index = 0; index < _more.uploads; ++index)
		{
			this->threads.emplace_back([this, index] {
				this->runUploadCaller(index);
			});
		}
		for (std::size_t index = 0; index < kCallerThreads; ++index)
		{
			this->threads.emplace_back([this, index] {
				this->runCaller(index);
			});
		}
	}

	SoakCallers::~SoakCallers()
	{
		this->join(); // joinable threads would terminate the process and hide the exception that ends the run
	}

	void SoakCallers::join()
	{
		this->isStopping = true;
		for (std::thread& thread : this->threads)
		{
			thread.join();
		}
		this->threads.clear();
	}

	void SoakCallers::endPlain()
	{
		this->isPlainStopping = true;
	}

	void SoakCallers::beginStop()
	{
		this->isStopping = true;
	}

	std::vector<SoakCall> SoakCallers::stop()
	{
		this->join();
		absl::MutexLock lock(&this->mutex);
		return std::move(this->calls);
	}

	void SoakCallers::runCaller(std::size_t _index)
	{
		constexpr std::uint64_t kSeedStride = 1'000; // more than the number of callers
		Random random(this->seed * kSeedStride + _index);
		std::uint64_t made = 0;
		while (!this->isStopping)
		{
			const SoakGatewayAddress gateway = this->pickGateway(random);
			httplib::Client client = connectionTo(gateway.address);
			bool broken = false;
			const bool keepsConnection = 0 != _index % 2;
			for (int calls = 0; (keepsConnection || calls < kCallsPerConnection) && !broken && !this->isStopping; ++calls)
			{
				SoakCall call;
				call.id = fmt::format("c{}-{}", _index, made++);
				call.kind = SoakKind(randomBelow(random, kRegularKinds));
				call.key = this->deployment.pickKey(random);
				call.gateway = gateway.name;
				call = send(client, std::move(call));
				broken = 0 == call.status;
				this->add(std::move(call));
				pauseMs(broken ? kBrokenPauseMs : Millis(randomBelow(random, kMaxPauseMs)));
			}
		}
	}

	void SoakCallers::runPlainCaller(std::size_t _index)
	{
		constexpr std::uint64_t kSeedOffset = 8'000'009;
		Random random(this->seed + kSeedOffset + _index);
		std::uint64_t made = 0;
		while (!this->isStopping && !this->isPlainStopping)
		{
			const SoakGatewayAddress gateway = this->deployment.pickGateway(random);
			httplib::Client client = connectionTo(gateway.address);
			bool broken = false;
			for (int calls = 0; calls < kCallsPerConnection && !broken && !this->isStopping && !this->isPlainStopping; ++calls)
			{
				SoakCall call;
				call.id = fmt::format("p{}-{}", _index, made++);
				call.kind = 0 == randomBelow(random, 2) ? SoakKind::Safe : SoakKind::Once;
				call.key = SoakDeployment::permanentKey();
				call.gateway = gateway.name;
				call = send(client, std::move(call));
				broken = 0 == call.status;
				this->add(std::move(call));
				pauseMs(broken ? kBrokenPauseMs : Millis(randomBelow(random, kMaxPlainPauseMs)));
			}
		}
	}

	SoakGatewayAddress SoakCallers::pickGateway(Random& _random)
	{
		const Millis span = nowMs() / kCrowdSpanMs;
		Random ofSpan(this->seed + std::uint64_t(span)); // the same for all callers
		return this->deployment.pickGateway(0 == span % kCrowdSpans ? ofSpan : _random);
	}

	void SoakCallers::runCrashCaller()
	{
		constexpr std::uint64_t kSeedOffset = 7'000'003;
		Random random(this->seed + kSeedOffset);
		for (std::uint64_t made = 0; !this->isStopping; ++made)
		{
			const SoakGatewayAddress gateway = this->deployment.pickGateway(random);
			httplib::Client client = connectionTo(gateway.address);
			SoakCall call;
			call.id = fmt::format("x{}", made);
			call.kind = SoakKind::Crash;
			const std::uint64_t cause = made / kCrashRepeats;
			if (0 == cause % 2)
			{
				call.target = fmt::format("/safe/{}?do=crash", cause);
			}
			else
			{
				call.target = fmt::format("/safe/{}-{}?do=crash", cause, made);
				call.badPart = fmt::format("bad{:x}", cause);
			}
			call.key = SoakDeployment::permanentKey();
			call.gateway = gateway.name;
			this->add(send(client, std::move(call)));
			pauseMs(kMinCrashPauseMs + Millis(randomBelow(random, kCrashPauseRangeMs)));
		}
	}

	void SoakCallers::runLateBodyCaller(std::size_t _index)
	{
		constexpr std::uint64_t kSeedOffset = 6'000'011;
		constexpr Millis kMaxBodyMs = 5'000;
		constexpr Millis kMaxRunMs = 1'500;
		constexpr Millis kMaxPieceMs = 100;
		Random random(this->seed + kSeedOffset + _index);
		for (std::uint64_t made = 0; !this->isStopping; ++made)
		{
			const SoakGatewayAddress gateway = this->deployment.pickGateway(random);
			SoakCall call;
			call.id = fmt::format("l{}-{}", _index, made);
			call.kind = 0 == randomBelow(random, 2) ? SoakKind::Safe : SoakKind::Once;
			call.key = SoakDeployment::permanentKey();
			call.gateway = gateway.name;
			call.target = fmt::format("/{}/x?do=ok&afterMs={}", SoakKind::Safe == call.kind ? "latesafe" : "lateonce", randomBelow(random, kMaxRunMs));
			const std::string body = "a body that ends late";
			RawCaller caller(gateway.address);
			call.sentAt = nowMs();
			bool open = caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: office.example\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n\r\n", call.target, call.id, kLateDeadlineMs, call.key, body.size()));
			const Millis endsAt = call.sentAt + Millis(randomBelow(random, kMaxBodyMs));
			std::string answer;
			for (std::size_t sent = 0; open && sent < body.size(); sent += open ? 1 : 0)
			{
				const Millis leftMs = std::max<Millis>(0, endsAt - nowMs()) / Millis(body.size() - sent);
				answer += caller.receive(std::min(kMaxPieceMs, leftMs));
				open = answer.empty() && caller.send(body.substr(sent, 1));
			}
			answer += caller.receive(kLateDeadlineMs + kTimeoutSlackMs);
			call.endedAt = nowMs();
			call.status = RawCaller::statusOf(answer);
			call.body = RawCaller::bodyOf(answer);
			call.whole = call.body == fmt::format("POST {} {}", call.target, body);
			call.stamp = RawCaller::headerOf(answer, "X-Archdyke-Server-Stamp");
			call.body = call.stamp.empty() ? "" : call.body;
			this->add(std::move(call));
		}
	}

	void SoakCallers::runUploadCaller(std::size_t _index)
	{
		constexpr std::uint64_t kSeedOffset = 5'000'011;
		constexpr std::uint64_t kMaxEndMs = 2;
		constexpr Millis kUploadPauseMs = 50;
		Random random(this->seed + kSeedOffset + _index);
		const std::string upload(kMaxUploadBytes, 'u');
		std::uint64_t made = 0;
		while (!this->isStopping)
		{
			const SoakGatewayAddress gateway = this->deployment.pickGateway(random);
			httplib::Client client = connectionTo(gateway.address);
			bool broken = false;
			while (!broken && !this->isStopping)
			{
				SoakCall call;
				call.id = fmt::format("u{}-{}", _index, made++);
				call.kind = 0 == randomBelow(random, 2) ? SoakKind::Safe : SoakKind::Once;
				call.key = SoakDeployment::permanentKey();
				call.gateway = gateway.name;
				// No two are alike: the same request at several upstreams that crash under another one would be refused.
				call.target = fmt::format("/{}/{}?do=early&cut={}&endMs={}", SoakKind::Safe == call.kind ? "safe" : "once", call.id, randomBelow(random, 2), randomBelow(random, kMaxEndMs));
				call.sentAt = nowMs();
				const httplib::Result got = client.Post(call.target, headersOf(call), upload, "text/plain");
				call.endedAt = nowMs();
				call.status = got ? got->status : 0;
				call.whole = got && stub::earlyBody(call.id) == got->body;
				call.stamp = got ? got->get_header_value("X-Archdyke-Server-Stamp") : "";
				call.body = call.stamp.empty() ? "" : got->body;
				broken = 0 == call.status;
				this->add(std::move(call));
				pauseMs(kUploadPauseMs);
			}
		}
	}

	void SoakCallers::add(SoakCall _call)
	{
		absl::MutexLock lock(&this->mutex);
		this->calls.push_back(std::move(_call));
	}
} // namespace archdyke::lab
