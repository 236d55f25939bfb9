#include <nlohmann/json.hpp>

#include "agent/rank_control.h"
#include "archdyke/errors.h"
#include "archdyke/placement.h"
#include "base/foreign_json.h"
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
		/// Sends a request to the rank and reads its response.
		/// @throws ArchdykeError If no valid response comes back.
		template <typename Read>
		auto call(const HttpRequest& _request, Read _read) const
		{
			HttpCallResult result;
			const std::optional<HttpResponse> response = fetchHttp(this->address, _request, {kTimeoutMs, kTimeoutMs, {kMaxHeadBytes, kMaxBodyBytes}}, &result);
			std::string reason = toString(result);
			try
			{
				const std::optional<Json> json = response ? parseForeignJson(response->body) : std::nullopt;
				if (json && json->is_object())
				{
					return _read(*json);
				}
			}
			catch (const Json::exception& error)
			{
				reason = error.what();
			}
			throw ArchdykeError("the engine rank sent no valid response to a request for its expert map (" + reason + "); check that the engine is running");
		}

		bool send(const Json& _order) const
		{
			return this->call({"POST", "/map", {{"Content-Type", "application/json"}}, _order.dump()}, [](const Json& _json) {
				return _json.at("done").get<bool>();
			});
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
		return this->state->call({"GET", nullptr == _load ? "/map" : "/map?counts=1", {}, ""}, [&](const Json& _json) {
			if (nullptr != _load)
			{
				*_load = Json{{"counts", _json.at("counts").get<ExpertLoad>()}, {"hosts", _json.at("hosts").get<ExpertHosts>()}}.dump();
			}
			if (nullptr != _armedContext)
			{
				*_armedContext = _json.value("context", "");
			}
			if (nullptr != _staged)
			{
				*_staged = readCount(_json, "staged");
			}
			return RankState{readCount(_json, "formation"), readCount(_json, "epoch"), readCount(_json, "step"), readCount(_json, "armed"), readCount(_json, "floor"), readCount(_json, "decided"), _json.at("decidedCommit").get<bool>()};
		});
	}

	bool RankEngine::stage(std::uint64_t _fence, const std::string& _map)
	{
		const Json order{{"order", "stage"}, {"fence", _fence}, {"map", Json::parse(_map)}};
		return this->state->send(order);
	}

	bool RankEngine::order(RankOrder _order, const GroupProposal& _proposal)
	{
		Json order = encodeContext(_proposal);
		order["context"] = order.dump();
		order["order"] = orderName(_order);
		order["commit"] = RankOrder::Commit == _order;
		return this->state->send(order);
	}
} // namespace archdyke
