/// The connection of a link, for the files that implement AgentLink.
#pragma once

#include <capnp/rpc-twoparty.h>

#include "base/config.h"
#include "base/process.h"
#include "entry/agent_link.h"
#include "generated/rpc.capnp.h"

namespace archdyke
{
	struct AgentLink::Connection : public kj::TaskSet::ErrorHandler
	{
		Connection(std::uint64_t _session, AgentLink& _link)
		    : session(_session)
		    , link(_link)
		    , tasks(*this)
		{
		}

		void taskFailed(kj::Exception&& _error) override
		{
			this->link.markBroken(this->session, _error.getDescription().cStr());
		}

		void establish(kj::Own<kj::AsyncIoStream> _stream)
		{
			this->stream = kj::mv(_stream);
			this->client = kj::heap<capnp::TwoPartyClient>(*this->stream);
			this->agent = kj::heap<rpc::Agent::Client>(this->client->bootstrap().castAs<rpc::Agent>());
			this->tasks.add(this->client->onDisconnect().then([this] {
				this->link.markBroken(this->session, "disconnected");
			}));
		}

		/// @returns Whether a question has gone without an answer for too long.
		bool isSilent(Millis _now) const
		{
			const bool asked = !this->ready || this->heartbeatPending;
			return asked && kLinkTimeoutMs < _now - this->askedAt;
		}

		const std::uint64_t session;
		AgentLink& link;
		std::uint64_t agentIncarnation = 0;
		bool ready = false;
		Millis lastHeard = nowMs();
		Millis askedAt = nowMs(); ///< Connect, hello or heartbeat.
		bool heartbeatPending = false;
		kj::Own<kj::AsyncIoStream> stream;
		kj::Own<capnp::TwoPartyClient> client;
		kj::Own<rpc::Agent::Client> agent;
		kj::TaskSet tasks; ///< Last, so that it goes first.
	};
} // namespace archdyke
