#include "entry/agent_link_p.h"

#include "base/config.h"
#include "base/log.h"
#include "base/process.h"
#include "rpc/rpc_convert.h"

namespace archdyke
{
	namespace
	{
		constexpr std::int64_t kTickMs = 100;
	} // namespace

	AgentLink::AgentLink(RpcLoop& _loop, AgentIdentity _identity, std::uint64_t _entryIncarnation, CrashRecord& _crashes)
	    : loop(_loop)
	    , agentIdentity(std::move(_identity))
	    , entryIncarnation(_entryIncarnation)
	    , crashes(_crashes)
	    , heartbeatMs(kMinHeartbeatIntervalMs)
	{
	}

	AgentLink::~AgentLink() = default;

	void AgentLink::open()
	{
		this->loop.post([self = this->shared_from_this()] {
			self->tick();
		});
	}

	void AgentLink::close()
	{
		this->loop.post([self = this->shared_from_this()] {
			self->closed = true;
			self->dropConnection("closed");
		});
	}

	void AgentLink::setHeartbeat(Millis _intervalMs)
	{
		this->heartbeatMs = _intervalMs;
	}

	void AgentLink::applyListState(const std::string& _address, ListState _state)
	{
		bool addressChanged = false;
		{
			absl::MutexLock lock(&this->mutex);
			addressChanged = this->address != _address;
			this->address = _address;
			archdyke::applyListState(this->member, _state);
		}
		if (addressChanged)
		{
			this->loop.post([self = this->shared_from_this()] {
				self->dropConnection("address changed");
			});
		}
	}

	const AgentIdentity& AgentLink::identity() const
	{
		return this->agentIdentity;
	}

	AgentCandidate AgentLink::candidate()
	{
		absl::MutexLock lock(&this->mutex);
		AgentCandidate candidate;
		candidate.usable = mayReceiveWork(this->member) && 0 < this->load.slots;
		candidate.slots = this->load.slots;
		candidate.reported = this->load.running + this->load.queued;
		candidate.sentSinceReport = this->pendingVerdicts;
		candidate.meanRunMs = this->load.meanRunMs;
		return candidate;
	}

	std::uint64_t AgentLink::incarnation()
	{
		absl::MutexLock lock(&this->mutex);
		return this->member.incarnation;
	}

	AgentLinkView AgentLink::view()
	{
		absl::MutexLock lock(&this->mutex);
		return {this->agentIdentity, this->address, this->member, this->load, this->pendingVerdicts, this->session};
	}

	void AgentLink::dispatch(std::shared_ptr<Call> _call, RunSpec _run)
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->pendingVerdicts += 1;
		}
		this->loop.post([self = this->shared_from_this(), call = std::move(_call), run = std::move(_run)] {
			self->sendDispatch(call, run);
		});
	}

	void AgentLink::revoke(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation)
	{
		this->loop.post([self = this->shared_from_this(), call = std::move(_call), key = _key, _incarnation] {
			self->sendRevoke(call, key, _incarnation);
		});
	}

	void AgentLink::resume(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset)
	{
		this->loop.post([self = this->shared_from_this(), call = std::move(_call), key = _key, _incarnation, _offset] {
			self->sendResume(call, key, _incarnation, _offset);
		});
	}

	void AgentLink::cancel(const RunKey& _key)
	{
		this->loop.post([self = this->shared_from_this(), key = _key] {
			if (nullptr != self->connection.get() && self->connection->ready)
			{
				auto request = self->connection->agent->cancelRequest();
				writeKey(request.initKey(), key);
				self->connection->tasks.add(request.send().ignoreResult());
			}
		});
	}

	void AgentLink::forget(const RunKey& _key)
	{
		this->loop.post([self = this->shared_from_this(), key = _key] {
			self->calls.erase(key);
		});
	}

	void AgentLink::scheduleTick()
	{
		this->loop.spawn(this->loop.timer().afterDelay(kTickMs * kj::MILLISECONDS).then([self = this->shared_from_this()] {
			self->tick();
		}));
	}

	void AgentLink::tick()
	{
		if (this->closed)
		{
			return;
		}
		const Millis now = nowMs();
		if (nullptr != this->connection.get() && this->connection->hasTimedOut(now))
		{
			this->dropConnection("no response");
		}
		if (nullptr == this->connection.get() && this->nextConnectAt <= now)
		{
			this->connect();
		}
		if (nullptr != this->connection.get() && this->connection->ready && this->heartbeatMs <= now - this->connection->lastReceivedAt)
		{
			this->sendHeartbeat(*this->connection);
		}
		this->scheduleTick();
	}

	void AgentLink::connect()
	{
		std::string target;
		std::uint64_t number = 0;
		{
			absl::MutexLock lock(&this->mutex);
			target = this->address;
			number = ++this->session;
		}
		if (target.empty())
		{
			return;
		}
		this->connection = kj::heap<Connection>(number, *this);
		Connection& connection = *this->connection;
		connection.tasks.add(this->loop.network().parseAddress(target).then([](kj::Own<kj::NetworkAddress>&& _address) {
			                                                              return _address->connect().attach(kj::mv(_address));
		                                                              })
		                         .then([this, &connection](kj::Own<kj::AsyncIoStream>&& _stream) {
			                         connection.establish(kj::mv(_stream));
			                         this->sendHello(connection);
		                         }));
	}

	void AgentLink::sendHello(Connection& _connection)
	{
		auto request = _connection.agent->helloRequest();
		writeSession(request.initSession(), {this->entryIncarnation, 0, _connection.session});
		_connection.tasks.add(request.send().then([this, &_connection](capnp::Response<rpc::Agent::HelloResults>&& _response) {
			_connection.agentIncarnation = _response.getIncarnation();
			_connection.ready = true;
			_connection.lastReceivedAt = nowMs();
			_connection.lastRequestAt = nowMs();
			this->applyLoad(readLoad(_response.getLoad()));
			this->crashes.recordReported(readCrashes(_response.getCrashes()));
			{
				absl::MutexLock lock(&this->mutex);
				applyLinkState(this->member, true);
			}
			logInfo("agent_link_up", {{"agent", this->agentIdentity.name}, {"incarnation", toHex(_connection.agentIncarnation)}, {"session", _connection.session}});
		}));
	}

	void AgentLink::sendHeartbeat(Connection& _connection)
	{
		if (_connection.heartbeatPending)
		{
			return;
		}
		_connection.heartbeatPending = true;
		_connection.lastRequestAt = nowMs();
		auto request = _connection.agent->heartbeatRequest();
		const std::vector<RefusedRequest> refused = this->crashes.refused();
		writeRefusals(request.initRefused(unsigned(refused.size())), refused);
		_connection.tasks.add(request.send().then([this, &_connection](capnp::Response<rpc::Agent::HeartbeatResults>&& _response) {
			_connection.heartbeatPending = false;
			_connection.lastReceivedAt = nowMs();
			this->applyLoad(readLoad(_response.getLoad()));
			this->crashes.recordReported(readCrashes(_response.getCrashes()));
		}));
	}

	void AgentLink::applyLoad(const LoadReport& _load)
	{
		absl::MutexLock lock(&this->mutex);
		this->load = _load;
		applyAgentState(this->member, _load.incarnation, _load.leaving);
	}

	void AgentLink::scheduleDrop(std::uint64_t _session, const std::string& _why)
	{
		// The connection can't be dropped from within one of its own tasks.
		this->loop.post([self = this->shared_from_this(), _session, _why] {
			if (nullptr != self->connection.get() && _session == self->connection->session)
			{
				self->dropConnection(_why);
			}
		});
	}

	void AgentLink::dropConnection(const std::string& _why)
	{
		this->nextConnectAt = nowMs() + kReconnectIntervalMs;
		if (nullptr == this->connection.get())
		{
			return;
		}
		const bool wasReady = this->connection->ready;
		this->connection = nullptr;
		{
			absl::MutexLock lock(&this->mutex);
			applyLinkState(this->member, false);
		}
		if (wasReady)
		{
			logWarning("agent_link_lost", {{"agent", this->agentIdentity.name}, {"why", _why}, {"requests", this->calls.size()}});
		}
		for (auto& [key, call] : this->calls)
		{
			call->push(LinkLostEvent{false});
		}
	}

	AgentLink::Connection* AgentLink::readyConnection(std::uint64_t _incarnation)
	{
		const bool ready = nullptr != this->connection.get() && this->connection->ready && _incarnation == this->connection->agentIncarnation;
		return ready ? this->connection.get() : nullptr;
	}

} // namespace archdyke
