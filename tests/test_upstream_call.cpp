/// The agent's call to its upstream: whether a broken response means that the upstream's process has ended.
#include "agent/upstream_call.h"
#include "base/address.h"
#include "base/process.h"

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace archdyke;

namespace
{
	/// An upstream that breaks off each connection after the request, answers nothing for a time, and then closes its port or
	/// answers.
	class BreakingUpstream
	{
	public:
		BreakingUpstream(Millis _silentMs, bool _ends)
		    : silentUntil(nowMs() + _silentMs)
		    , ends(_ends)
		    , listener(::socket(AF_INET, SOCK_STREAM, 0))
		{
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			socklen_t size = sizeof(address);
			cr_assert(0 == ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size));
			cr_assert(0 == ::listen(this->listener, 16));
			::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
			this->port = ntohs(address.sin_port);
			this->thread = std::thread([this] {
				this->serve();
			});
		}

		~BreakingUpstream()
		{
			this->stopping = true;
			::shutdown(this->listener, SHUT_RDWR);
			this->thread.join();
			::close(this->listener);
		}

		UpstreamSettings settings() const
		{
			UpstreamSettings settings;
			settings.address = "127.0.0.1:" + std::to_string(this->port);
			return settings;
		}

	private:
		void serve()
		{
			while (!this->stopping)
			{
				const int client = ::accept(this->listener, nullptr, nullptr);
				char request[4096];
				if (client < 0 || ::recv(client, request, sizeof(request), 0) <= 0)
				{
					::close(client);
					continue;
				}
				const bool silent = nowMs() < this->silentUntil;
				const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
				if (!silent && !this->ends)
				{
					::send(client, answer.data(), answer.size(), MSG_NOSIGNAL);
				}
				::close(client);
				if (!silent && this->ends)
				{
					::shutdown(this->listener, SHUT_RDWR);
					return;
				}
			}
		}

		const Millis silentUntil;
		const bool ends;
		const int listener;
		int port = 0;
		std::atomic<bool> stopping{false};
		std::thread thread;
	};

	CallResult callOnce(const BreakingUpstream& _upstream)
	{
		const UpstreamCall call = makeUpstreamCall(_upstream.settings(), [](const RunKey&) {
		});
		RunSpec run;
		run.key = {"r", 0};
		run.method = "GET";
		run.path = "/x";
		run.budgetMs = 2'000;
		ResponseBuffer buffer(run.key);
		return call(run, buffer);
	}
} // namespace

Test(upstreamcall, a_process_that_closes_its_port_late_has_ended)
{
	const BreakingUpstream upstream(400, true);
	cr_assert(CallResult::UpstreamEnded == callOnce(upstream));
}

Test(upstreamcall, a_process_that_answers_again_has_not_ended)
{
	const BreakingUpstream upstream(400, false);
	cr_assert(CallResult::Broken == callOnce(upstream));
}

Test(upstreamcall, a_process_that_stays_silent_has_not_ended)
{
	const BreakingUpstream upstream(60'000, false);
	const Millis since = nowMs();
	cr_assert(CallResult::Broken == callOnce(upstream));
	cr_assert(nowMs() - since < 2'000, "the caller waits for the result");
}
