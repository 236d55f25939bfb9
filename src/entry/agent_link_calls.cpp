/// The calls of a link that concern a run.
#include "entry/agent_link_p.h"
#include "rpc/rpc_convert.h"

namespace archdyke
{
	namespace
	{
		/// Pushes the frames of a run to the queue of its request.
		class CallSink final : public rpc::Sink::Server
		{
		public:
			CallSink(std::shared_ptr<Call> _call, std::function<void(const LoadReport&)> _applyLoad)
			    : call(std::move(_call))
			    , applyLoad(std::move(_applyLoad))
			{
			}

		protected:
			kj::Promise<void> frame(FrameContext _context) override
			{
				const rpc::Frame::Reader frame = _context.getParams().getFrame();
				if (frame.getEnd())
				{
					this->applyLoad(readLoad(frame.getLoad()));
				}
				this->call->push(readFrame(frame));
				return kj::READY_NOW;
			}

		private:
			std::shared_ptr<Call> call;
			std::function<void(const LoadReport&)> applyLoad;
		};
	} // namespace

	void AgentLink::sendDispatch(const std::shared_ptr<Call>& _call, const RunSpec& _run)
	{
		if (nullptr == this->connection.get() || !this->connection->ready)
		{
			absl::MutexLock lock(&this->mutex);
			this->pendingVerdicts -= 1;
			_call->push(LinkLostEvent{true});
			return;
		}
		Connection& connection = *this->connection;
		this->calls[_run.key] = _call;
		auto request = connection.agent->dispatchRequest();
		writeRun(request.initRun(), _run, {this->entryIncarnation, connection.agentIncarnation, connection.session});
		request.setSink(kj::heap<CallSink>(_call, [self = this->shared_from_this()](const LoadReport& _load) {
			self->applyLoad(_load);
		}));
		if (kLinkIdleMs < nowMs() - connection.lastReceivedAt)
		{
			// Detects a dead link while the run waits, instead of at its deadline.
			this->sendHeartbeat(connection);
		}
		auto decrementPending = kj::defer([self = this->shared_from_this()] {
			absl::MutexLock lock(&self->mutex);
			self->pendingVerdicts -= 1;
		});
		connection.tasks.add(request.send().then([this, &connection, call = _call](capnp::Response<rpc::Agent::DispatchResults>&& _response) {
			                                   connection.lastReceivedAt = nowMs();
			                                   this->applyLoad(readLoad(_response.getVerdict().getLoad()));
			                                   call->push(readVerdict(_response.getVerdict()));
		                                   })
		                         .attach(kj::mv(decrementPending)));
	}

	void AgentLink::sendRevoke(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation)
	{
		if (nullptr != this->connection.get() && this->connection->ready && _incarnation != this->connection->agentIncarnation)
		{
			// The agent has a new incarnation: what the old one did is unknown.
			_call->push(RevokeEvent{true, RevokeState::Unknown});
			return;
		}
		Connection* connection = this->readyConnection(_incarnation);
		if (nullptr == connection)
		{
			_call->push(RevokeEvent{});
			return;
		}
		auto request = connection->agent->revokeRequest();
		writeKey(request.initKey(), _key);
		writeSession(request.initSession(), {this->entryIncarnation, connection->agentIncarnation, connection->session});
		connection->tasks.add(request.send().then([call = _call](capnp::Response<rpc::Agent::RevokeResults>&& _response) {
			call->push(RevokeEvent{true, fromRpc(_response.getState())});
		}));
	}

	void AgentLink::sendResume(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset)
	{
		if (nullptr != this->connection.get() && this->connection->ready && _incarnation != this->connection->agentIncarnation)
		{
			_call->push(ResumeEvent{true, false});
			return;
		}
		Connection* connection = this->readyConnection(_incarnation);
		if (nullptr == connection)
		{
			_call->push(ResumeEvent{});
			return;
		}
		this->calls[_key] = _call;
		auto request = connection->agent->resumeRequest();
		writeKey(request.initKey(), _key);
		writeSession(request.initSession(), {this->entryIncarnation, connection->agentIncarnation, connection->session});
		request.setOffset(_offset);
		request.setSink(kj::heap<CallSink>(_call, [self = this->shared_from_this()](const LoadReport& _load) {
			self->applyLoad(_load);
		}));
		connection->tasks.add(request.send().then([call = _call](capnp::Response<rpc::Agent::ResumeResults>&& _response) {
			call->push(ResumeEvent{true, _response.getKnown()});
		}));
	}
} // namespace archdyke
