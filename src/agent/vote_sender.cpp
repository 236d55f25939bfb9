#include "agent/rank_control.h"
#include "rpc/rpc_convert_map.h"
#include "rpc/rpc_pool.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kVoteTimeoutMs = 500;
	}

	struct VoteSender::Pool
	{
		explicit Pool(RpcLoop& _loop)
		    : agents(_loop)
		{
		}

		RpcPool<rpc::Agent> agents;
	};

	VoteSender::VoteSender(RpcLoop& _loop)
	    : pool(std::make_unique<Pool>(_loop))
	{
	}

	VoteSender::~VoteSender() = default;

	void VoteSender::send(const std::string& _address, const VoteMessage& _message, const std::function<void(std::optional<VoteReply>)>& _done)
	{
		const auto request = [message = _message, _done](rpc::Agent::Client& _agent) {
			auto call = _agent.exchangeVotesRequest();
			writeVotes(call.initMine(), message);
			return call.send().then([_done](capnp::Response<rpc::Agent::ExchangeVotesResults>&& _response) {
				_done(VoteReply{static_cast<ProposalRefusal>(_response.getRefusal()), readVotes(_response.getTheirs())});
			});
		};
		this->pool->agents.call(_address, kVoteTimeoutMs, request, [_done] {
			_done(std::nullopt);
		});
	}
} // namespace archdyke
