#include <httplib.h>
#include <nlohmann/json.hpp>

#include "agent/rank_control.h"
#include "archdyke/errors.h"
#include "base/http_server.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kTimeoutSeconds = 2;

		const char* orderName(RankOrder _order)
		{
			switch (_order)
			{
			case RankOrder::Arm:
				return "arm";
			case RankOrder::Refuse:
				return "refuse";
			default:
				return "release";
			}
		}

		Json encodeContext(const GroupProposal& _group)
		{
			const MapProposal& proposal = _group.proposal;
			return {{"group", proposal.group}, {"number", proposal.number}, {"fence", proposal.fence}, {"formation", proposal.formation}, {"fromEpoch", proposal.fromEpoch}, {"boundary", proposal.boundary}, {"digest", proposal.digest}, {"peers", _group.peers}, {"rank", _group.rank}};
		}
	} // namespace

	struct RankEngine::State
	{
		explicit State(const Address& _address)
		    : client(_address.host, _address.port)
		{
			this->client.set_connection_timeout(kTimeoutSeconds);
			this->client.set_read_timeout(kTimeoutSeconds);
			this->client.set_keep_alive(true);
			this->client.set_tcp_nodelay(true);
		}

		Json parseResponse(const httplib::Result& _result)
		{
			const Json json = _result ? Json::parse(_result->body, nullptr, false) : Json();
			if (!json.is_object())
			{
				throw ArchdykeError("the engine rank sent no valid response to a request for its expert map; check that the engine is running");
			}
			return json;
		}

		httplib::Client client;
	};

	RankEngine::RankEngine(const std::string& _address)
	    : state(std::make_unique<State>(parseAddress(_address)))
	{
	}

	RankEngine::~RankEngine() = default;

	RankState RankEngine::read(std::string* _load, std::string* _armedContext, std::uint64_t* _staged)
	{
		const Json json = this->state->parseResponse(this->state->client.Get(nullptr == _load ? "/map" : "/map?counts=1"));
		if (nullptr != _load)
		{
			*_load = Json{{"counts", json.at("counts")}, {"hosts", json.at("hosts")}}.dump();
		}
		if (nullptr != _armedContext)
		{
			*_armedContext = json.value("context", "");
		}
		if (nullptr != _staged)
		{
			*_staged = json.at("staged");
		}
		return {json.at("formation"), json.at("epoch"), json.at("step"), json.at("armed"), json.at("floor"), json.at("decided"), json.at("decidedCommit")};
	}

	bool RankEngine::stage(std::uint64_t _fence, const std::string& _map)
	{
		const Json order{{"order", "stage"}, {"fence", _fence}, {"map", Json::parse(_map)}};
		return this->state->parseResponse(this->state->client.Post("/map", order.dump(), "application/json")).at("done");
	}

	bool RankEngine::order(RankOrder _order, const GroupProposal& _proposal)
	{
		Json order = encodeContext(_proposal);
		order["context"] = order.dump();
		order["order"] = orderName(_order);
		order["commit"] = RankOrder::Commit == _order;
		return this->state->parseResponse(this->state->client.Post("/map", order.dump(), "application/json")).at("done");
	}
} // namespace archdyke
