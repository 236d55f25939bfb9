/// The connection of a link; internal to the implementation of AgentLink.
#pragma once

#include "base/config.h"
#include "base/process.h"
#include "entry/agent_link.h"
#include "generated/rpc.capnp.h"
#include "rpc/rpc_client.h"

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
			this->link.scheduleDrop(this->session, _error.getDescription().cStr());
		}

		void establish(kj::Own<kj::AsyncIoStream> _stream)
		{
			this->stream = kj::mv(_stream);
			this->client = kj::heap<RpcClient>(*this->stream);
			this->agent = kj::heap<rpc::Agent::Client>(this->client->bootstrap().castAs<rpc::Agent>());
			this->tasks.add(this->client->onDisconnect().then([this] {
				this->link.scheduleDrop(this->session, "disconnected");
			}));
		}

		/// @returns Whether a pending connect, hello or heartbeat has exceeded kLinkTimeoutMs.
		bool hasTimedOut(Millis _now) const
		{
			const bool awaitingResponse = !this->ready || this->heartbeatPending;
			return awaitingResponse && kLinkTimeoutMs < _now - this->lastRequestAt;
		}

		const std::uint64_t session;
		AgentLink& link;
		std::uint64_t agentIncarnation = 0;
		bool ready = false;
		Millis lastReceivedAt = nowMs();
		Millis lastRequestAt = nowMs(); ///< Time of the last connect, hello or heartbeat.
		bool heartbeatPending = false;
		kj::Own<kj::AsyncIoStream> stream;
		kj::Own<RpcClient> client;
		kj::Own<rpc::Agent::Client> agent;
		kj::TaskSet tasks; ///< Last member, so that it is destroyed first.
	};
} // namespace archdyke
