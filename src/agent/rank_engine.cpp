#include <nlohmann/json.hpp>

#include "agent/rank_control.h"
#include "archdyke/errors.h"
#include "base/http_call.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr Millis kTimeoutMs = 2'000;
		/// Maximum sizes of a response's head and body, bytes.
		constexpr std::size_t kMaxHeadBytes = 16'384;
		constexpr std::size_t kMaxBodyBytes = std::size_t(8) << 20;

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
		/// Sends a request to the rank.
		/// @throws ArchdykeError Unless a JSON object comes back.
		Json call(const HttpRequest& _request) const
		{
			HttpCallResult result;
			const std::optional<HttpResponse> response = fetchHttp(this->address, _request, {kTimeoutMs, kTimeoutMs, {kMaxHeadBytes, kMaxBodyBytes}}, &result);
			const Json json = response ? Json::parse(response->body, nullptr, false) : Json();
			if (!json.is_object())
			{
				throw ArchdykeError("the engine rank sent no valid response to a request for its expert map (" + toString(result) + "); check that the engine is running");
			}
			return json;
		}

		Json get(const std::string& _target) const
		{
			return this->call({"GET", _target, {}, ""});
		}

		Json post(const Json& _order) const
		{
			return this->call({"POST", "/map", {{"Content-Type", "application/json"}}, _order.dump()});
		}

		const Address address;
	};

	RankEngine::RankEngine(const std::string& _address)
	    : state(new State{parseAddress(_address)})
	{
	}

	RankEngine::~RankEngine() = default;

	RankState RankEngine::read(std::string* _load, std::string* _armedContext, std::uint64_t* _staged)
	{
		const Json json = this->state->get(nullptr == _load ? "/map" : "/map?counts=1");
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
		return this->state->post(order).at("done");
	}

	bool RankEngine::order(RankOrder _order, const GroupProposal& _proposal)
	{
		Json order = encodeContext(_proposal);
		order["context"] = order.dump();
		order["order"] = orderName(_order);
		order["commit"] = RankOrder::Commit == _order;
		return this->state->post(order).at("done");
	}
} // namespace archdyke
