/// Stub of a group of the platform's engine ranks. The ranks run passes in lock-step on expert maps;
/// they neither check fences nor compare maps. On demand it executes orders late. At each pass it
/// checks that all ranks use the same map.
///
/// Options: {"addresses": [IP:port, ...], "sets", "experts", "group"?: its name, "passMs"?,
/// "reportDelayMs"?: response delay of each rank}.
/// POST /control at any rank {"lateShare": share of the orders that get no response and are executed
/// 0.2 to 1.5 s later, "formAnew": true, "broken": whether the group stalls and runs no request,
/// "active": load that each rank reports, "hot": [expert of each set]}. Of the answers to calls for reports and counts and to
/// orders, in {"stutter": {...}}, which replaces the one before: "behind": N: behind a whole answer its first N bytes come
/// again (-1: all), "behindWhen": "now" | "next": with the answer, or when the next request has arrived on that connection;
/// "stopAt": N: the connection ends after N bytes of an answer; "endless": "head" | "body" | "interim": bytes without end;
/// "givesId": whether answers give the id of their request back (true at first); "rank": N: only this rank does so;
/// "at": "/report" | "/picked" | "/order": only these answers.
/// GET /record at any rank returns the number of passes, requests, switches and splits (passes in which
/// ranks used different maps), the longest time that a pass was held, ms, the numbers of connections with calls of
/// daemons, of such calls, and of the orders among them.
/// Any other GET is a caller's request and gets a complete response at once.
#include <fmt/format.h>
#include <map>
#include <random>
#include <utility>

#include "base/address.h"
#include "base/log.h"
#include "base/process.h"
#include "http/http_listener.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;
		using http::Part;
		using http::PartKind;

		/// Expert choices of all requests of a rank in one pass, per set.
		constexpr std::uint32_t kChoicesPerPass = 200;

		struct Rank
		{
			std::uint64_t map = 0;
			Json content; ///< Of the map in use; null for the initial map.
			std::uint64_t highestPrepared = 0;
			std::optional<std::uint64_t> prepared;
			Json preparedContent;
			std::optional<std::uint64_t> armed;
			std::uint64_t armedStep = 0;
			std::optional<std::uint64_t> held;
			std::vector<std::uint32_t> counts;
		};

		/// How answers to calls of daemons are damaged.
		struct Stutter
		{
			std::int64_t behind = 0; ///< Bytes of an answer that come again; negative: all.
			bool late = false;       ///< They come when the next request has arrived.
			std::int64_t stopAt = -1;
			std::string endless;
			std::int64_t rank = -1;
			std::string at;
			bool givesId = true;
		};

		/// Bytes sent at once by an answer without end.
		constexpr std::size_t kEndlessBytes = 4'096;

		class Group
		{
		public:
			Group(kj::AsyncIoContext& _io, const Json& _options)
			    : loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , ranks(_options.at("addresses").size())
			    , sets(_options.at("sets").get<std::uint32_t>())
			    , experts(_options.at("experts").get<std::uint32_t>())
			    , name(_options.value("group", "g"))
			    , passMs(_options.value("passMs", Millis(20)))
			    , hotExperts(this->sets, 0)
			    , responseDelaysMs(_options.value("reportDelayMs", std::vector<Millis>(this->ranks.size(), 0)))
			{
				this->form();
				this->passing = this->runPasses().take().eagerlyEvaluate(nullptr);
			}

			aio::Task<void> serve(std::size_t _rank, std::unique_ptr<http::HttpConnection> _connection)
			{
				bool counted = false;
				http::RequestHead head;
				std::string body;
				std::string behind; // bytes to write before the next answer
				while (true)
				{
					Part part = co_await _connection->next();
					if (PartKind::Head == part.kind)
					{
						head = std::move(part.request);
						body.clear();
					}
					else if (PartKind::Body == part.kind)
					{
						body += part.body;
					}
					else if (PartKind::End == part.kind)
					{
						if (0 < this->responseDelaysMs[_rank])
						{
							co_await this->loop.timer.afterDelay(this->responseDelaysMs[_rank] * kj::MILLISECONDS);
						}
						std::optional<std::string> response = this->respond(_rank, head, body);
						if (!response)
						{
							co_await _connection->whenDisconnected(); // the order gets no response
							co_return;
						}
						this->connections += isCall(head.target) && !std::exchange(counted, counted || isCall(head.target)) ? 1 : 0;
						if (!this->damages(_rank, head.target))
						{
							*response = std::exchange(behind, "") + *response;
							co_await _connection->write(std::move(*response));
							continue;
						}
						if (!this->stutter.endless.empty())
						{
							co_await this->writeEndless(*_connection, std::move(*response));
							co_return;
						}
						if (0 <= this->stutter.stopAt)
						{
							std::string cut = response->substr(0, std::size_t(this->stutter.stopAt));
							co_await _connection->write(std::move(cut));
							co_return;
						}
						const std::string again = 0 > this->stutter.behind ? *response : response->substr(0, std::size_t(this->stutter.behind));
						*response = std::exchange(behind, "") + *response;
						(this->stutter.late ? behind : *response) += again;
						co_await _connection->write(std::move(*response));
					}
					else
					{
						co_return;
					}
				}
			}

			http::LoopContext loop;

		private:
			static bool isCall(std::string_view _target)
			{
				return "/report" == _target || "/picked" == _target || "/order" == _target;
			}

			bool damages(std::size_t _rank, const std::string& _target) const
			{
				const bool here = 0 > this->stutter.rank || std::size_t(this->stutter.rank) == _rank;
				return here && isCall(_target) && (this->stutter.at.empty() || this->stutter.at == _target);
			}

			/// Sends bytes until the other side closes.
			aio::Task<void> writeEndless(http::HttpConnection& _connection, std::string _response)
			{
				constexpr std::string_view kStart = "HTTP/1.1 200 OK\r\n";
				const bool body = "body" == this->stutter.endless;
				std::string piece(kEndlessBytes, 'x');
				if ("interim" == this->stutter.endless)
				{
					piece.clear();
					while (piece.size() < kEndlessBytes)
					{
						piece += "HTTP/1.1 102 Processing\r\n\r\n";
					}
				}
				std::string first = body ? std::string(kStart) + "\r\n" : "interim" == this->stutter.endless ? ""
				                                                                                             : _response.substr(0, kStart.size()) + "X-Filler: ";
				co_await _connection.write(std::move(first));
				while (!_connection.isDisconnected())
				{
					std::string bytes = piece;
					co_await _connection.write(std::move(bytes));
					this->endlessBytes += piece.size();
				}
			}

			void form()
			{
				const std::vector<std::uint32_t> none(std::size_t(this->sets) * this->experts, 0);
				for (Rank& rank : this->ranks)
				{
					rank = Rank();
					rank.counts = none;
				}
				this->epoch += 1;
			}

			void countChoices()
			{
				for (Rank& rank : this->ranks)
				{
					for (std::uint32_t set = 0; set < this->sets; ++set)
					{
						const std::uint32_t each = kChoicesPerPass / this->experts;
						for (std::uint32_t expert = 0; expert < this->experts; ++expert)
						{
							rank.counts[std::size_t(set) * this->experts + expert] += each + (expert == this->hotExperts[set] ? kChoicesPerPass : 0);
						}
					}
				}
			}

			bool isHeld(std::uint64_t _step) const
			{
				return std::any_of(this->ranks.begin(), this->ranks.end(), [&](const Rank& _rank) {
					return _rank.held == _step;
				});
			}

			void startPass(std::uint64_t _step)
			{
				this->step = _step;
				for (Rank& rank : this->ranks)
				{
					if (rank.armed && rank.armedStep == _step)
					{
						rank.map = *rank.armed;
						rank.content = rank.preparedContent;
						rank.armed.reset();
					}
				}
				const Rank& first = this->ranks.front();
				const bool sameMap = std::all_of(this->ranks.begin(), this->ranks.end(), [&](const Rank& _rank) {
					return _rank.map == first.map && _rank.content == first.content;
				});
				this->splits += sameMap ? 0 : 1;
				this->switches += sameMap && first.map != this->lastMap ? 1 : 0;
				this->lastMap = first.map;
				this->countChoices();
			}

			aio::Task<void> runPasses()
			{
				constexpr Millis kHoldPollMs = 2;
				while (true)
				{
					co_await this->loop.timer.afterDelay(this->passMs * kj::MILLISECONDS);
					const Millis since = nowMs();
					while (this->broken || this->isHeld(this->step + 1))
					{
						co_await this->loop.timer.afterDelay(kHoldPollMs * kj::MILLISECONDS);
					}
					this->longestHoldMs = std::max(this->longestHoldMs, nowMs() - since);
					this->startPass(this->step + 1);
				}
			}

			static Json orNull(const std::optional<std::uint64_t>& _value)
			{
				return _value ? Json(*_value) : Json();
			}

			Json report(std::size_t _rank) const
			{
				const Rank& rank = this->ranks[_rank];
				return {{"group", {{"name", this->name}, {"epoch", this->epoch}, {"rank", _rank}, {"state", this->broken ? "broken" : "open"}}}, {"size", this->ranks.size()}, {"queued", 0}, {"active", this->active}, {"step", this->step}, {"map", rank.map}, {"prepared", orNull(rank.prepared)}, {"armed", orNull(rank.armed)}, {"held", orNull(rank.held)}};
			}

			int execute(std::size_t _rank, const Json& _order)
			{
				Rank& rank = this->ranks[_rank];
				const std::string op = _order.value("op", "");
				const std::uint64_t version = _order.value("version", std::uint64_t(0));
				const std::uint64_t at = _order.value("step", std::uint64_t(0));
				if (_order.value("epoch", this->epoch) != this->epoch)
				{
					return 409;
				}
				if ("prepare" == op)
				{
					if (version <= rank.highestPrepared || rank.armed)
					{
						return 409;
					}
					rank.highestPrepared = version;
					rank.prepared = version;
					rank.preparedContent = _order.at("map");
					return 202;
				}
				if ("arm" == op)
				{
					if (rank.prepared != version || at <= this->step)
					{
						return 409;
					}
					rank.armed = version;
					rank.armedStep = at;
					return 202;
				}
				if ("disarm" == op)
				{
					if (rank.map == version)
					{
						return 409;
					}
					rank.armed = rank.armed == version ? std::nullopt : rank.armed;
					return 200;
				}
				if ("hold" == op)
				{
					if (at <= this->step || (rank.held && rank.held != at))
					{
						return 409;
					}
					rank.held = at;
					return 200;
				}
				rank.held = rank.held == at ? std::nullopt : rank.held;
				return "go" == op ? 200 : 400;
			}

			aio::Task<void> executeLate(std::size_t _rank, Json _order, Millis _afterMs)
			{
				co_await this->loop.timer.afterDelay(_afterMs * kj::MILLISECONDS);
				this->execute(_rank, _order);
			}

			/// Runs a caller's request, or rejects it when the group is broken.
			std::string runRequest(std::size_t _rank, const http::RequestHead& _head)
			{
				http::ResponseHead head{this->broken ? 503 : 200, {}, true};
				head.headers.add("X-Archdyke-Request-Id", std::string(_head.headers.find("X-Archdyke-Request-Id").value_or("")));
				if (this->broken)
				{
					head.headers.add("X-Archdyke-Not-Executed", "1");
					head.headers.add("At-Server", "a member");
					return http::serialize(head, "");
				}
				this->requests += 1;
				head.headers.add("X-Archdyke-Server-Stamp", fmt::format("stamp-{}-{}", this->name, _rank));
				return http::serialize(head, this->name);
			}

			/// @returns The serialized response; nullopt for an order that gets none.
			std::optional<std::string> respond(std::size_t _rank, const http::RequestHead& _head, const std::string& _body)
			{
				const std::optional<std::string_view> id = _head.headers.find("X-Archdyke-Request-Id");
				const auto json = [&](int _status, const Json& _json) {
					http::ResponseHead head{_status, {}, true};
					if (id && this->stutter.givesId)
					{
						head.headers.add("X-Archdyke-Request-Id", *id);
					}
					return http::serialize(head, _json.dump());
				};
				this->calls += isCall(_head.target) ? 1 : 0;
				this->orders += "/order" == _head.target ? 1 : 0;
				if ("/report" == _head.target)
				{
					return json(200, this->report(_rank));
				}
				if ("/picked" == _head.target)
				{
					return json(200, {{"step", this->step}, {"epoch", this->epoch}, {"counts", this->ranks[_rank].counts}});
				}
				if ("/record" == _head.target)
				{
					return json(200, {{"passes", this->step}, {"requests", this->requests}, {"switches", this->switches}, {"splits", this->splits}, {"epoch", this->epoch}, {"map", this->lastMap}, {"longestHoldMs", this->longestHoldMs}, {"connections", this->connections}, {"calls", this->calls}, {"orders", this->orders}, {"endlessBytes", this->endlessBytes}});
				}
				if ("GET" == _head.method)
				{
					return this->runRequest(_rank, _head);
				}
				const Json order = Json::parse(_body);
				if ("/control" == _head.target)
				{
					this->lateShare = order.value("lateShare", this->lateShare);
					this->hotExperts = order.value("hot", this->hotExperts);
					this->broken = order.value("broken", this->broken);
					this->active = order.value("active", this->active);
					this->setStutter(order.value("stutter", Json()));
					if (order.value("formAnew", false))
					{
						this->form();
					}
					return json(200, Json::object());
				}
				std::uniform_real_distribution<double> share(0.0, 1.0);
				if (share(this->random) < this->lateShare)
				{
					std::uniform_int_distribution<Millis> late(200, 1'500);
					this->tasks.add(this->executeLate(_rank, order, late(this->random)).take());
					return std::nullopt;
				}
				return json(this->execute(_rank, order), Json::object());
			}

			void setStutter(const Json& _json)
			{
				if (_json.is_object())
				{
					this->stutter = {_json.value("behind", std::int64_t(0)), "next" == _json.value("behindWhen", "now"), _json.value("stopAt", std::int64_t(-1)), _json.value("endless", ""), _json.value("rank", std::int64_t(-1)), _json.value("at", ""), _json.value("givesId", true)};
				}
			}

			class Errors final : public kj::TaskSet::ErrorHandler
			{
			public:
				void taskFailed(kj::Exception&& _error) override
				{
					logError("stub_failed", {{"reason", _error.getDescription().cStr()}});
				}
			};

			std::vector<Rank> ranks;
			std::uint32_t sets;
			std::uint32_t experts;
			std::string name;
			Millis passMs;
			bool broken = false; ///< Runs no requests and starts no passes.
			std::uint32_t active = 2;
			std::uint64_t requests = 0; ///< Run by all ranks together.
			std::vector<std::uint32_t> hotExperts;
			std::vector<Millis> responseDelaysMs; ///< Response delay by rank, ms.
			std::uint64_t epoch = 0;
			std::uint64_t step = 0;
			std::uint64_t lastMap = 0;
			std::uint64_t switches = 0;
			std::uint64_t splits = 0;
			Millis longestHoldMs = 0;
			double lateShare = 0.0;
			Stutter stutter;
			std::uint64_t connections = 0; ///< With calls, of all ranks together.
			std::uint64_t calls = 0;       ///< For reports and counts, and orders.
			std::uint64_t orders = 0;
			std::uint64_t endlessBytes = 0;
			std::mt19937_64 random{2026};
			Errors errors;
			kj::TaskSet tasks{this->errors};
			kj::Promise<void> passing = nullptr;
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		Group group(io, _options);
		std::vector<std::unique_ptr<http::Listener>> listeners;
		std::string addresses;
		for (std::size_t rank = 0; rank < _options.at("addresses").size(); ++rank)
		{
			const std::string address = _options.at("addresses")[rank].get<std::string>();
			listeners.push_back(std::make_unique<http::Listener>(group.loop, address, [&group, rank](std::unique_ptr<http::HttpConnection> _connection) {
				return group.serve(rank, std::move(_connection));
			}));
			addresses += fmt::format("{}{}:{}", addresses.empty() ? "" : ",", parseAddress(address).host, listeners.back()->port());
		}
		logInfo("listening", {{"http", addresses}});
		kj::NEVER_DONE.wait(io.waitScope);
	}
} // namespace archdyke::stub
