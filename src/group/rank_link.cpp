#include "group/rank_link.h"

#include <netinet/tcp.h>

#include "group/news_rpc.h"
#include "http/socket_address.h"

namespace archdyke::group
{
	namespace
	{
		/// Time after which a connection with unacknowledged bytes is closed, ms.
		constexpr int kTcpUserTimeoutMs = 1'000;
	} // namespace

	RankLink::RankLink(http::LoopContext _loop, std::string _address)
	    : loop(_loop)
	    , daemonAddress(std::move(_address))
	{
	}

	const std::string& RankLink::address() const
	{
		return this->daemonAddress;
	}

	bool RankLink::isConnected() const
	{
		return nullptr != this->connection;
	}

	void RankLink::disconnect()
	{
		this->connection = nullptr;
	}

	aio::Task<std::shared_ptr<RankLink::Connection>> RankLink::connect(Millis _timeoutMs)
	{
		if (nullptr != this->connection)
		{
			co_return this->connection;
		}
		sockaddr_in target = http::parseSocketAddress(this->daemonAddress);
		kj::Own<kj::NetworkAddress> destination = this->loop.network.getSockaddr(&target, sizeof(target));
		kj::Own<kj::AsyncIoStream> stream = co_await this->loop.timer.timeoutAfter(_timeoutMs * kj::MILLISECONDS, destination->connect());
		stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
		kj::Own<RpcClient> client = kj::heap<RpcClient>(*stream);
		rpc::RankDaemon::Client daemon = client->bootstrap().castAs<rpc::RankDaemon>();
		this->connection = std::shared_ptr<Connection>(new Connection{kj::mv(stream), kj::mv(client), kj::mv(daemon)});
		co_return this->connection;
	}

	template <typename T>
	aio::Task<T> RankLink::withTimeout(kj::Promise<T> _answer, std::shared_ptr<Connection> _connection, Millis _timeoutMs)
	{
		try
		{
			T answer = co_await this->loop.timer.timeoutAfter(_timeoutMs * kj::MILLISECONDS, kj::mv(_answer));
			co_return kj::mv(answer);
		}
		catch (const kj::Exception&)
		{
			if (this->connection == _connection)
			{
				this->connection = nullptr;
			}
			throw;
		}
	}

	aio::Task<Observation> RankLink::observe(Coordination _coordination, bool _counts, std::uint64_t _sample, NewsBundle _bundle, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.observeRequest();
		writeCoordination(request.initCoordination(), _coordination);
		request.setCounts(_counts);
		request.setSample(_sample);
		writeBundle(request.initBundle(), _bundle);
		kj::Promise<Observation> answer = request.send().then([](capnp::Response<rpc::RankDaemon::ObserveResults>&& _response) {
			const rpc::RankDaemon::ObserveResults::Reader reader = _response;
			return Observation{readCoordination(reader.getNewest()), readReport(reader.getReport()), readTally(reader.getGateways()), readHeld(reader.getHeld())};
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}

	aio::Task<BranchSnapshot> RankLink::relay(BranchQuery _query, NewsBundle _bundle, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.relayRequest();
		writeBranchQuery(request, _query);
		writeBundle(request.initBundle(), _bundle);
		kj::Promise<BranchSnapshot> answer = request.send().then([engines = std::move(_query.engines)](capnp::Response<rpc::RankDaemon::RelayResults>&& _response) {
			return readBranchSnapshot(_response, engines);
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}

	aio::Task<OrderOutcome> RankLink::order(Coordination _coordination, EngineOrder _order, MapDifference _difference, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.orderRequest();
		request.setTerm(_coordination.term);
		request.setGroup(_coordination.group);
		writeOrder(request.initOrder(), _order, _difference);
		kj::Promise<OrderOutcome> answer = request.send().then([](capnp::Response<rpc::RankDaemon::OrderResults>&& _response) {
			OrderOutcome outcome{_response.getAccepted(), _response.getStatus(), _response.getBaseUnknown(), std::nullopt};
			if (_response.hasReport())
			{
				outcome.after = readReport(_response.getReport()).engine;
			}
			return outcome;
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}

	aio::Task<BranchOutcome> RankLink::relayOrders(BranchOrder _order, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.relayOrdersRequest();
		writeBranchOrder(request, _order);
		kj::Promise<BranchOutcome> answer = request.send().then([engines = std::move(_order.engines)](capnp::Response<rpc::RankDaemon::RelayOrdersResults>&& _response) {
			return readBranchOutcome(_response, engines);
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}

	aio::Task<NewsResponse> RankLink::news(NewsRequest _query, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.newsRequest();
		request.setName(_query.gateway);
		writeHeld(request.initHeld(), _query.held);
		writeProof(request.initProof(), _query.proof);
		kj::Promise<NewsResponse> answer = request.send().then([](capnp::Response<rpc::RankDaemon::NewsResults>&& _response) {
			const rpc::RankDaemon::NewsResults::Reader reader = _response;
			return NewsResponse{readCoordination(reader.getNewest()), readBundle(reader.getBundle())};
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}

	aio::Task<JoinResponse> RankLink::join(std::string _engine, std::string _group, Millis _timeoutMs)
	{
		const std::shared_ptr<Connection> link = co_await this->connect(_timeoutMs);
		auto request = link->daemon.joinRequest();
		writeEndpoint(request.initEngine(), _engine);
		request.setGroup(_group);
		kj::Promise<JoinResponse> answer = request.send().then([](capnp::Response<rpc::RankDaemon::JoinResults>&& _response) {
			return JoinResponse{readCoordination(_response.getNewest()), _response.getCoordinates(), Millis(_response.getHeardMsAgo())};
		});
		co_return co_await this->withTimeout(kj::mv(answer), link, _timeoutMs);
	}
} // namespace archdyke::group
