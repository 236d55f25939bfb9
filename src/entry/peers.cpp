#include "entry/peers.h"

#include "rpc/rpc_convert.h"

namespace archdyke
{
	namespace
	{
		void writeState(rpc::ConfigState::Builder _to, const PeerState& _from)
		{
			writeMark(_to.initHead(), _from.held.head);
			writeMark(_to.initStaged(), _from.held.staged);
			_to.setZone(_from.zone);
			_to.setName(_from.name);
			_to.setIncarnation(_from.incarnation);
			_to.setLeaving(_from.leaving);
		}

		PeerState readState(rpc::ConfigState::Reader _from)
		{
			PeerState state;
			state.name = _from.getName().cStr();
			state.zone = _from.getZone().cStr();
			state.incarnation = _from.getIncarnation();
			state.leaving = _from.getLeaving();
			state.held = {readMark(_from.getHead()), readMark(_from.getStaged())};
			return state;
		}

		class PeerServer final : public rpc::Peer::Server
		{
		public:
			explicit PeerServer(PeerHandlers _handlers)
			    : handlers(std::move(_handlers))
			{
			}

		protected:
			kj::Promise<void> exchange(ExchangeContext _context) override
			{
				writeState(_context.getResults().initTheirs(), this->handlers.exchange(readState(_context.getParams().getMine())));
				return kj::READY_NOW;
			}

			kj::Promise<void> document(DocumentContext _context) override
			{
				const std::optional<std::string> bytes = this->handlers.document(_context.getParams().getDigest().cStr());
				_context.getResults().setFound(bytes.has_value());
				if (bytes)
				{
					_context.getResults().setBytes({reinterpret_cast<const capnp::byte*>(bytes->data()), bytes->size()});
				}
				return kj::READY_NOW;
			}

		private:
			const PeerHandlers handlers;
		};
	} // namespace

	rpc::Peer::Client makePeerServer(PeerHandlers _handlers)
	{
		return kj::heap<PeerServer>(std::move(_handlers));
	}

	PeerCalls::PeerCalls(RpcLoop& _loop)
	    : pool(_loop)
	{
	}

	std::vector<PeerResponse> PeerCalls::exchange(const std::vector<std::string>& _addresses, const PeerState& _mine, Millis _timeoutMs)
	{
		auto collector = std::make_shared<ResponseCollector<PeerResponse>>(_addresses.size());
		for (const std::string& address : _addresses)
		{
			const auto request = [collector, mine = _mine, address](rpc::Peer::Client& _peer) {
				auto call = _peer.exchangeRequest();
				writeState(call.initMine(), mine);
				return call.send().then([collector, address](capnp::Response<rpc::Peer::ExchangeResults>&& _response) {
					collector->add(PeerResponse{address, readState(_response.getTheirs())});
				});
			};
			this->pool.call(address, _timeoutMs, request, [collector] {
				collector->add(std::nullopt);
			});
		}
		return collector->wait(_timeoutMs);
	}

	std::optional<std::string> PeerCalls::document(const std::string& _address, const std::string& _digest, Millis _timeoutMs)
	{
		auto collector = std::make_shared<ResponseCollector<std::string>>(1);
		const auto request = [collector, digest = _digest](rpc::Peer::Client& _peer) {
			auto call = _peer.documentRequest();
			call.setDigest(digest);
			return call.send().then([collector](capnp::Response<rpc::Peer::DocumentResults>&& _response) {
				const capnp::Data::Reader bytes = _response.getBytes();
				collector->add(_response.getFound() ? std::optional<std::string>(std::in_place, reinterpret_cast<const char*>(bytes.begin()), bytes.size()) : std::nullopt);
			});
		};
		this->pool.call(_address, _timeoutMs, request, [collector] {
			collector->add(std::nullopt);
		});
		const std::vector<std::string> found = collector->wait(_timeoutMs);
		return found.empty() ? std::nullopt : std::optional<std::string>(found.front());
	}
} // namespace archdyke
