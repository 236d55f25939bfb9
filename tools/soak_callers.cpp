#include "soak_callers.h"

#include <fmt/format.h>

namespace archdyke::lab
{
	namespace
	{
		constexpr std::size_t kCallers = 8;
		/// Kinds that a caller draws from.
		constexpr std::uint64_t kUsualKinds = std::uint64_t(SoakKind::Crash);
		/// How often a request that crashes upstreams comes again, and the least and most time between, ms.
		constexpr std::uint64_t kRepeatsOfCrash = 10;
		constexpr Millis kLeastCrashPauseMs = 200;
		constexpr std::uint64_t kMoreCrashPauseMs = 700;
		constexpr int kEvents = 12; ///< Of a stream of the stand-in.
		/// Then a caller goes to another gateway; every other one keeps its connection until it breaks.
		constexpr int kCallsOfAConnection = 25;
		constexpr Millis kPatienceMs = 1'500; ///< Deadline of a request.
		constexpr Millis kReadSlackMs = 500;  ///< A caller waits so much longer than its deadline.
		constexpr int kConnectWaitS = 1;
		constexpr Millis kBrokenPauseMs = 25; ///< After a request without a whole answer.
		constexpr Millis kMostPauseMs = 30;   ///< Between two requests, less than this.

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

		/// @returns The body that an upstream gives a request.
		std::string expectedBody(SoakKind _kind)
		{
			if (SoakKind::Stream != _kind)
			{
				return "GET " + pathOf(_kind) + " ";
			}
			std::string body;
			for (int event = 1; event <= kEvents; ++event)
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
			client.set_read_timeout(std::chrono::milliseconds(kPatienceMs + kReadSlackMs));
			return client;
		}

		/// Sends a request.
		/// @param[in] _call Its id, kind, key and gateway.
		/// @returns The same with what it came to.
		SoakCall send(httplib::Client& _client, SoakCall _call)
		{
			const httplib::Headers headers{{"Host", "office.example"}, {"X-Archdyke-Request-Id", _call.id}, {"X-Archdyke-Deadline-Ms", std::to_string(kPatienceMs)}, {"X-Api-Key", _call.key}};
			_call.target = SoakKind::Crash == _call.kind ? _call.target : pathOf(_call.kind);
			_call.sentAt = nowMs();
			const httplib::Result got = _client.Get(_call.target, headers);
			_call.endedAt = nowMs();
			_call.status = got ? got->status : 0;
			_call.whole = got && expectedBody(_call.kind) == got->body;
			return _call;
		}
	} // namespace

	SoakCallers::SoakCallers(SoakDeployment& _deployment, std::uint64_t _seed, bool _crashes)
	    : deployment(_deployment)
	    , seed(_seed)
	{
		if (_crashes)
		{
			this->threads.emplace_back([this] {
				this->crash();
			});
		}
		for (std::size_t index = 0; index < kCallers; ++index)
		{
			this->threads.emplace_back([this, index] {
				this->call(index);
			});
		}
	}

	SoakCallers::~SoakCallers()
	{
		this->join(); // a run that fails at something else ends with its reason
	}

	void SoakCallers::join()
	{
		this->over = true;
		for (std::thread& thread : this->threads)
		{
			thread.join();
		}
		this->threads.clear();
	}

	std::vector<SoakCall> SoakCallers::stop()
	{
		this->join();
		absl::MutexLock lock(&this->mutex);
		return std::move(this->calls);
	}

	void SoakCallers::call(std::size_t _index)
	{
		constexpr std::uint64_t kSeedsApart = 1'000; // more than there are callers
		Random random(this->seed * kSeedsApart + _index);
		std::uint64_t made = 0;
		while (!this->over)
		{
			const SoakDoor door = this->deployment.door(random);
			httplib::Client client = connectionTo(door.address);
			bool broken = false;
			const bool keeps = 0 != _index % 2;
			for (int calls = 0; (keeps || calls < kCallsOfAConnection) && !broken && !this->over; ++calls)
			{
				SoakCall call;
				call.id = fmt::format("c{}-{}", _index, made++);
				call.kind = SoakKind(randomBelow(random, kUsualKinds));
				call.key = this->deployment.drawKey(random);
				call.gateway = door.gateway;
				call = send(client, std::move(call));
				broken = 0 == call.status;
				this->add(std::move(call));
				pauseMs(broken ? kBrokenPauseMs : Millis(randomBelow(random, kMostPauseMs)));
			}
		}
	}

	void SoakCallers::crash()
	{
		constexpr std::uint64_t kOtherSeeds = 7'000'003;
		Random random(this->seed + kOtherSeeds);
		for (std::uint64_t made = 0; !this->over; ++made)
		{
			const SoakDoor door = this->deployment.door(random);
			httplib::Client client = connectionTo(door.address);
			SoakCall call;
			call.id = fmt::format("x{}", made);
			call.kind = SoakKind::Crash;
			call.target = fmt::format("/safe/{}?do=crash", made / kRepeatsOfCrash);
			call.key = SoakDeployment::steadyKey();
			call.gateway = door.gateway;
			this->add(send(client, std::move(call)));
			pauseMs(kLeastCrashPauseMs + Millis(randomBelow(random, kMoreCrashPauseMs)));
		}
	}

	void SoakCallers::add(SoakCall _call)
	{
		absl::MutexLock lock(&this->mutex);
		this->calls.push_back(std::move(_call));
	}
} // namespace archdyke::lab
