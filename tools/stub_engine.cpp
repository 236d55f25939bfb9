/// Stub of a group of model engine ranks: one process with one HTTP server per rank.
///
/// Options: {"group", "ranks", "experts", "layers", "batch", "stepUs", "checksFence"}.
/// Routes of a rank:
///   POST /v1/chat/completions            OpenAI API, streamed or in one response
///   GET  /health, /load
///   GET  /map                            formation, epoch, step, armed, floor, decided; ?counts=1 adds counts
///   POST /map                            {"order": stage|arm|refuse|release|form, ...}
///   GET  /record                         runs by request (field "user", else the request id), map
///                                        violations, step statistics since the last GET /record
///   POST /control                        {"alive", "popularity", "stallMs"}
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <atomic>
#include <thread>

#include "archdyke/route.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "engine_group.h"
#include "engine_words.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;

		/// Progress of a request, for the HTTP thread that serves it.
		struct Stream
		{
			std::shared_ptr<Sequence> sequence = std::make_shared<Sequence>();
			std::uint32_t produced = 0;
			bool ended = false;
		};

		GroupOptions readOptions(const Json& _json)
		{
			GroupOptions options;
			options.name = _json.value("group", options.name);
			options.ranks = _json.value("ranks", options.ranks);
			options.experts = _json.value("experts", options.experts);
			options.layers = _json.value("layers", options.layers);
			options.batch = _json.value("batch", options.batch);
			options.stepUs = _json.value("stepUs", options.stepUs);
			options.checksFence = _json.value("checksFence", options.checksFence);
			return options;
		}

		std::string promptText(const Json& _body)
		{
			return _body.contains("messages") ? _body["messages"].dump() : _body.value("prompt", "");
		}

		std::string eventOf(const std::string& _id, const std::string& _word, bool _last)
		{
			const Json choice{{"index", 0}, {"delta", {{"content", _word}}}, {"finish_reason", _last ? Json("length") : Json(nullptr)}};
			return "data: " + Json{{"id", _id}, {"object", "chat.completion.chunk"}, {"choices", Json::array({choice})}}.dump() + "\n\n";
		}

		HostMap readMap(const Json& _json)
		{
			return {_json.at("epoch"), _json.at("digest"), _json.at("hosts")};
		}

		class Engine
		{
		public:
			explicit Engine(const Json& _options)
			    : options(readOptions(_options))
			    , group(this->options)
			{
				this->group.onToken = [this](const Sequence& _sequence, bool _last) {
					this->mutex.AssertHeld();
					this->updateStream(_sequence, _last);
				};
			}

			void addRoutes(httplib::Server& _server, std::uint32_t _rank)
			{
				using Request = httplib::Request;
				using Response = httplib::Response;
				_server.Get("/health", [](const Request&, Response& _response) {
					_response.status = 200;
				});
				_server.Post("/v1/chat/completions", [this, _rank](const Request& _request, Response& _response) {
					this->serveCompletion(_rank, _request, _response);
				});
				_server.Get("/load", [this, _rank](const Request&, Response& _response) {
					absl::MutexLock lock(&this->mutex);
					_response.set_content(Json{{"running", this->group.load(_rank)}}.dump(), "application/json");
				});
				_server.Get("/map", [this, _rank](const Request& _request, Response& _response) {
					absl::MutexLock lock(&this->mutex);
					_response.set_content(this->mapState(_rank, _request.has_param("counts")).dump(), "application/json");
				});
				_server.Post("/map", [this, _rank](const Request& _request, Response& _response) {
					this->applyMapOrder(_rank, Json::parse(_request.body), _response);
				});
				_server.Get("/record", [this](const Request&, Response& _response) {
					_response.set_content(this->record().dump(), "application/json");
				});
				_server.Post("/control", [this, _rank](const Request& _request, Response&) {
					this->control(_rank, Json::parse(_request.body));
				});
			}

			void run()
			{
				Random random(stableHash(this->options.name));
				absl::Time next = absl::Now();
				while (!this->stopping)
				{
					double stepUs = this->options.stepUs;
					{
						absl::MutexLock lock(&this->mutex);
						this->mutex.AwaitWithTimeout(absl::Condition(this, &Engine::mayStep), absl::Milliseconds(100));
						if (!this->mayStep())
						{
							next = absl::Now();
							continue;
						}
						stepUs = this->group.step(random);
					}
					next = std::max(next + absl::Microseconds(stepUs), absl::Now());
					absl::SleepFor(next - absl::Now());
				}
			}

			void stop()
			{
				this->stopping = true;
			}

		private:
			bool mayStep() const ABSL_SHARED_LOCKS_REQUIRED(mutex)
			{
				return this->group.canStep() && this->stalledUntil <= nowMs();
			}

			void updateStream(const Sequence& _sequence, bool _last) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
			{
				const auto it = this->streams.find(&_sequence);
				if (this->streams.end() != it)
				{
					it->second->produced = _sequence.produced;
					it->second->ended = _last;
				}
			}

			std::shared_ptr<Stream> startStream(std::uint32_t _rank, const httplib::Request& _request, const Json& _body)
			{
				auto stream = std::make_shared<Stream>();
				Sequence& sequence = *stream->sequence;
				const std::string prompt = promptText(_body);
				sequence.id = _request.get_header_value("X-Request-Id");
				sequence.prompt = stableHash(prompt);
				sequence.prefix = stableHash(prompt.substr(0, 256));
				sequence.promptTokens = std::uint32_t(prompt.size() / 4);
				sequence.maxTokens = std::max(1u, _body.value("max_tokens", 16u));
				absl::MutexLock lock(&this->mutex);
				this->runs[_body.value("user", sequence.id)] += 1;
				this->streams[stream->sequence.get()] = stream;
				this->group.add(_rank, stream->sequence);
				return stream;
			}

			/// Waits until more than _sent tokens are produced, the sequence is cancelled or the engine stops.
			/// @returns The number of produced tokens; not above _sent when the rank died.
			std::uint32_t awaitTokens(const std::shared_ptr<Stream>& _stream, std::uint32_t _sent)
			{
				absl::MutexLock lock(&this->mutex);
				const auto hasMore = [&]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return _sent < _stream->produced || _stream->sequence->cancelled || this->stopping;
				};
				this->mutex.Await(absl::Condition(&hasMore));
				return _stream->produced;
			}

			void endStream(const std::shared_ptr<Stream>& _stream)
			{
				absl::MutexLock lock(&this->mutex);
				_stream->sequence->cancelled = true;
				this->streams.erase(_stream->sequence.get());
			}

			void serveCompletion(std::uint32_t _rank, const httplib::Request& _request, httplib::Response& _response)
			{
				const Json body = Json::parse(_request.body, nullptr, false);
				if (!body.is_object())
				{
					_response.status = 400;
					return;
				}
				const std::shared_ptr<Stream> stream = this->startStream(_rank, _request, body);
				if (body.value("stream", false))
				{
					const auto sent = std::make_shared<std::uint32_t>(0);
					_response.set_chunked_content_provider(
					    "text/event-stream", [this, stream, sent](std::size_t, httplib::DataSink& _sink) {
						    return this->writeTokens(stream, *sent, _sink);
					    },
					    [this, stream](bool) {
						this->endStream(stream);
					    });
					return;
				}
				std::string text;
				for (std::uint32_t sent = 0; sent < stream->sequence->maxTokens; ++sent)
				{
					if (this->awaitTokens(stream, sent) <= sent)
					{
						_response.status = 500;
						this->endStream(stream);
						return;
					}
					text += wordAt(stream->sequence->prompt, sent);
				}
				const Json choice{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "length"}};
				_response.set_content(Json{{"id", stream->sequence->id}, {"object", "chat.completion"}, {"choices", Json::array({choice})}}.dump(), "application/json");
				this->endStream(stream);
			}

			bool writeTokens(const std::shared_ptr<Stream>& _stream, std::uint32_t& _sent, httplib::DataSink& _sink)
			{
				const std::uint32_t produced = this->awaitTokens(_stream, _sent);
				if (produced <= _sent)
				{
					return false;
				}
				std::string bytes;
				while (_sent < produced)
				{
					const std::uint32_t index = _sent++;
					bytes += eventOf(_stream->sequence->id, wordAt(_stream->sequence->prompt, index), _sent == _stream->sequence->maxTokens);
				}
				const bool last = _sent == _stream->sequence->maxTokens;
				bytes += last ? "data: [DONE]\n\n" : "";
				if (!_sink.write(bytes.data(), bytes.size()))
				{
					return false;
				}
				if (last)
				{
					_sink.done();
				}
				return true;
			}

			Json mapState(std::uint32_t _rank, bool _withCounts) ABSL_SHARED_LOCKS_REQUIRED(mutex)
			{
				const RankMap& map = this->group.rankMap(_rank);
				Json json{{"formation", map.formation}, {"epoch", map.epoch}, {"step", this->group.stepNumber()}, {"fence", map.fence}, {"staged", map.stagedDigest}, {"armed", map.armed}, {"floor", map.floor}, {"decided", map.decided}, {"decidedCommit", map.decidedCommit}};
				if (0 != map.armed)
				{
					json["context"] = this->contexts[_rank];
				}
				if (_withCounts)
				{
					json["counts"] = this->group.counts(_rank);
					json["hosts"] = this->group.hosts(_rank);
				}
				return json;
			}

			void applyMapOrder(std::uint32_t _rank, const Json& _body, httplib::Response& _response)
			{
				absl::MutexLock lock(&this->mutex);
				const std::string order = _body.at("order");
				const std::uint64_t number = _body.value("number", std::uint64_t(0));
				const std::uint64_t fence = _body.value("fence", std::uint64_t(0));
				const std::uint64_t digest = _body.value("digest", std::uint64_t(0));
				const std::uint64_t formation = _body.value("formation", std::uint64_t(0));
				bool done = false;
				if ("stage" == order)
				{
					done = this->group.stageMap(_rank, fence, readMap(_body.at("map")));
				}
				else if ("arm" == order)
				{
					done = this->group.arm(_rank, number, formation, _body.at("fromEpoch"), _body.at("boundary"), digest, fence);
				}
				else if ("refuse" == order)
				{
					done = this->group.refuse(_rank, number);
				}
				else if ("release" == order)
				{
					done = this->group.release(_rank, number, _body.at("commit"));
				}
				else if ("form" == order)
				{
					done = this->group.form(_rank, formation, digest, fence);
				}
				if ("arm" == order && done)
				{
					this->contexts[_rank] = _body.value("context", "");
				}
				Json state = this->mapState(_rank, false);
				state["done"] = done;
				_response.set_content(state.dump(), "application/json");
			}

			Json record()
			{
				absl::MutexLock lock(&this->mutex);
				const StepStatistics statistics = this->group.takeStatistics();
				const double steps = double(std::max<std::uint64_t>(1, statistics.steps));
				Json epochs = Json::array();
				for (std::uint32_t rank = 0; rank < this->group.options().ranks; ++rank)
				{
					epochs.push_back(this->group.rankMap(rank).epoch);
				}
				return {{"group", this->group.options().name}, {"runs", this->runs}, {"mapViolations", this->group.mapViolations()}, {"epochs", epochs}, {"step", this->group.stepNumber()}, {"busySteps", statistics.steps}, {"meanSkew", statistics.skewSum / steps}, {"worstSkew", statistics.worstSkew}};
			}

			void control(std::uint32_t _rank, const Json& _body)
			{
				absl::MutexLock lock(&this->mutex);
				if (_body.contains("alive"))
				{
					this->group.setAlive(_rank, _body["alive"]);
				}
				if (_body.contains("popularity"))
				{
					this->group.setPopularity(_body["popularity"]);
				}
				if (_body.contains("stallMs"))
				{
					this->stalledUntil = nowMs() + _body["stallMs"].get<Millis>();
				}
			}

			const GroupOptions options;
			absl::Mutex mutex;
			EngineGroup group ABSL_GUARDED_BY(mutex);
			absl::flat_hash_map<const Sequence*, std::shared_ptr<Stream>> streams ABSL_GUARDED_BY(mutex);
			std::map<std::string, int> runs ABSL_GUARDED_BY(mutex);
			std::map<std::uint32_t, std::string> contexts ABSL_GUARDED_BY(mutex); ///< By rank, of the proposal that it was last armed for.
			Millis stalledUntil ABSL_GUARDED_BY(mutex) = 0;
			std::atomic<bool> stopping{false};
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		Engine engine(_options);
		const std::uint32_t ranks = readOptions(_options).ranks;
		std::vector<std::unique_ptr<HttpServer>> servers;
		std::string addresses;
		for (std::uint32_t rank = 0; rank < ranks; ++rank)
		{
			servers.push_back(std::make_unique<HttpServer>());
			engine.addRoutes(servers.back()->routes(), rank);
			addresses += (0 == rank ? "" : ",") + toString(servers.back()->start({"127.0.0.1", 0}));
		}
		std::thread stepper([&] {
			engine.run();
		});
		logInfo("listening", {{"http", addresses}});
		waitForStopSignal();
		engine.stop();
		stepper.join();
		servers.clear();
	}
} // namespace archdyke::stub
