#include "entry/entry_http.h"

#include <nlohmann/json.hpp>

#include "base/config.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr int kUnavailable = 503;
		constexpr int kConflict = 409;
		constexpr int kBadRequest = 400;
		constexpr int kTooLarge = 413;
		constexpr const char* kOutcomeHeader = "X-Archdyke-Outcome";
		constexpr const char* kJson = "application/json";
		constexpr Millis kLeavingRetryMs = 1000;
		constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
		constexpr std::string_view kBearer = "Bearer ";

		std::string errorBody(const FinalResponse& _final, const std::string& _requestId)
		{
			const nlohmann::json error{{"message", _final.message}, {"reason", _final.reason}, {"outcome", std::string(toString(_final.outcome))}, {"requestId", _requestId}, {"retryAfterMs", _final.retryAfterMs}};
			return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
		}

		void writeFinalResponse(const FinalResponse& _final, const std::string& _requestId, httplib::Response& _response)
		{
			_response.status = _final.status;
			_response.headers.clear();
			_response.set_header(kOutcomeHeader, std::string(toString(_final.outcome)));
			_response.set_header("X-Request-Id", _requestId);
			if (0 < _final.retryAfterMs)
			{
				_response.set_header("Retry-After", std::to_string((_final.retryAfterMs + 999) / 1000));
			}
			_response.set_content(errorBody(_final, _requestId), kJson);
		}

		void writeResponseStart(const ResponseStart& _start, const std::string& _requestId, httplib::Response& _response)
		{
			_response.status = _start.status;
			_response.headers.erase(kOutcomeHeader);
			_response.headers.erase("X-Request-Id");
			_response.set_header("X-Request-Id", _requestId);
			_response.set_header(kOutcomeHeader, std::string(toString(Outcome::Ran)));
			_response.headers.erase("X-Archdyke-Upstream");
			_response.set_header("X-Archdyke-Upstream", _start.upstream);
		}

		CallerRequest readRequest(const httplib::Request& _request)
		{
			CallerRequest caller;
			caller.receivedAt = nowMs();
			caller.method = _request.method;
			caller.path = _request.path;
			caller.target = _request.target;
			const std::string authorization = _request.get_header_value("Authorization");
			caller.apiKey = authorization.starts_with(kBearer) ? authorization.substr(kBearer.size()) : "";
			caller.idempotencyKey = _request.get_header_value("Idempotency-Key");
			caller.markedNotRepeatable = "no" == _request.get_header_value("X-Archdyke-Repeatable");
			caller.contentType = _request.get_header_value("Content-Type");
			caller.body = _request.body;
			return caller;
		}

		FinalResponse leavingResponse()
		{
			return {kUnavailable, Outcome::NotRun, kLeavingRetryMs, "leaving", "this entry is stopping; send the request again, it goes to another"};
		}

		/// Adds an explanatory body to the requests that the HTTP library rejects by itself.
		/// @param[in] _leaving Whether requests that don't come whole were cut short because the entry is stopping.
		httplib::Server::HandlerResponse explainRefusal(httplib::Response& _response, bool _leaving)
		{
			if (!_response.body.empty() || _response.has_header(kOutcomeHeader))
			{
				return httplib::Server::HandlerResponse::Unhandled;
			}
			if (_leaving && kBadRequest == _response.status)
			{
				writeFinalResponse(leavingResponse(), "", _response);
				return httplib::Server::HandlerResponse::Handled;
			}
			const std::string message = kTooLarge == _response.status ? "the body is larger than " + std::to_string(kMaxBodyBytes) + " bytes; send a smaller one" : "the request is malformed, its headers are too long, or it was sent too slowly; send it whole, with no pause of " + std::to_string(kCallerReadTimeoutSeconds) + " s";
			writeFinalResponse({_response.status, Outcome::NotRun, 0, "bad_request", message}, "", _response);
			return httplib::Server::HandlerResponse::Handled;
		}

		RejectedError notRun(int _status, const std::string& _reason, const std::string& _message, Millis _retryAfterMs)
		{
			return RejectedError({_status, Outcome::NotRun, _retryAfterMs, _reason, _message});
		}
	} // namespace

	EntryCounters::EntryCounters(Metrics& _metrics)
	    : ran(_metrics.counter("archdyke_entry_requests_total", "Requests by outcome.", {{"outcome", "ran"}}))
	    , notRun(_metrics.counter("archdyke_entry_requests_total", "Requests by outcome.", {{"outcome", "not-run"}}))
	    , unknown(_metrics.counter("archdyke_entry_requests_total", "Requests by outcome.", {{"outcome", "unknown"}}))
	    , broken(_metrics.counter("archdyke_entry_answers_broken_total", "Responses of started runs that could not be completed."))
	    , abandoned(_metrics.counter("archdyke_entry_callers_gone_total", "Callers that disconnected before the end of the response."))
	    , retried(_metrics.counter("archdyke_entry_retries_total", "Attempts after the first."))
	    , resumed(_metrics.counter("archdyke_entry_resumes_total", "Responses resumed after a lost link."))
	    , droppedFrames(_metrics.counter("archdyke_entry_frames_dropped_total", "Response frames dropped as late or duplicate."))
	    , firstByteSeconds(_metrics.seconds("archdyke_entry_first_byte_seconds", "Time from the request to the first byte of the response."))
	    , totalSeconds(_metrics.seconds("archdyke_entry_request_seconds", "Time from the request to the end of the response."))
	{
	}

	/// State of one request from its arrival to its end.
	struct EntryHttp::Exchange
	{
		explicit Exchange(EntryHttp& _http)
		    : http(_http)
		{
			this->http.active += 1;
		}

		~Exchange()
		{
			if (this->run)
			{
				this->run->abandon();
			}
			this->http.active -= 1;
		}

		EntryHttp& http;
		CallerRequest caller;
		ResolvedRequest request;
		std::string claimedKey;
		std::unique_ptr<RequestRun> run;
		std::string failure; ///< Error text for the caller of a broken stream.
		bool ended = false;
	};

	EntryHttp::EntryHttp(EntryParts _parts, std::uint64_t _incarnation)
	    : parts(_parts)
	    , incarnation(_incarnation)
	{
	}

	void EntryHttp::addRoutes(HttpServer& _server)
	{
		const auto handler = [this](const httplib::Request& _request, httplib::Response& _response) {
			this->handle(_request, _response);
		};
		httplib::Server& routes = _server.routes();
		routes.set_error_handler(httplib::Server::HandlerWithResponse([this](const httplib::Request&, httplib::Response& _response) {
			return explainRefusal(_response, this->leaving);
		}));
		routes.Get("/ready", [this](const httplib::Request&, httplib::Response& _response) {
			_response.status = this->isReady() ? 200 : kUnavailable;
		});
		routes.Get("/.*", handler);
		routes.Post("/.*", handler);
		routes.Put("/.*", handler);
		routes.Patch("/.*", handler);
		routes.Delete("/.*", handler);
	}

	void EntryHttp::leave()
	{
		this->leaving = true;
	}

	bool EntryHttp::isReady()
	{
		return !this->leaving && this->parts.guard.isFresh() && nullptr != this->parts.keeper.active();
	}

	std::size_t EntryHttp::inFlight() const
	{
		return this->active;
	}

	std::string EntryHttp::newRequestId()
	{
		return toHex(this->incarnation) + "-" + std::to_string(this->requests.fetch_add(1));
	}

	void EntryHttp::admit(const httplib::Request& _request, Exchange& _exchange)
	{
		_exchange.caller = readRequest(_request);
		_exchange.request.id = this->newRequestId();
		if (this->leaving)
		{
			throw RejectedError(leavingResponse());
		}
		const std::shared_ptr<const ActiveConfig> config = this->parts.keeper.active();
		if (nullptr == config || !this->parts.guard.isFresh())
		{
			throw notRun(kUnavailable, "no_config", "this entry is finding out which configuration is in force; retry after the time in Retry-After", kLeavingRetryMs);
		}
		const Organisation& organisation = authenticate(*config, _exchange.caller);
		limitRate(this->limits, organisation, this->parts.directory.entryCount(), _exchange.caller.receivedAt);
		_exchange.request = resolve(*config, organisation, _exchange.caller, _exchange.request.id);
	}

	void EntryHttp::refuseCrashing(const ResolvedRequest& _request)
	{
		const std::optional<Millis> refusalMs = this->parts.crashes.refusalMs(suspectsOf(_request));
		if (refusalMs)
		{
			this->parts.crashes.countRefusal();
			throw crashRejection(Outcome::NotRun, _request.repeatable, *refusalMs);
		}
	}

	void EntryHttp::claimKey(Exchange& _exchange)
	{
		if (_exchange.request.repeatable || _exchange.caller.idempotencyKey.empty())
		{
			return;
		}
		if (kMaxIdempotencyKeyBytes < _exchange.caller.idempotencyKey.size())
		{
			throw notRun(kBadRequest, "bad_key", "the Idempotency-Key is longer than " + std::to_string(kMaxIdempotencyKeyBytes) + " bytes; send a shorter one", 0);
		}
		const std::string key = archdyke::claimKey(_exchange.request.service.name, _exchange.request.organisation.name, _exchange.caller.idempotencyKey);
		const Millis begunAt = nowMs();
		const ClaimResult end = this->parts.claims.claim(key, _exchange.request.id);
		if (ClaimResult::Claimed == end)
		{
			_exchange.claimedKey = key;
			if (kMaxClaimAgeMs < nowMs() - begunAt)
			{
				throw notRun(kUnavailable, "claim_old", "this entry was paused for too long; retry after the time in Retry-After", kLeavingRetryMs);
			}
			return;
		}
		if (ClaimResult::StoreUnavailable == end)
		{
			throw notRun(kUnavailable, "no_store", "the platform's table can't be reached, so the Idempotency-Key can't be claimed; retry after the time in Retry-After", 2 * kLeavingRetryMs);
		}
		const bool ran = ClaimResult::AlreadyRan == end;
		throw RejectedError({kConflict, ran ? Outcome::Ran : Outcome::Unknown, 0, ran ? "already_ran" : "in_doubt", ran ? "a request with this Idempotency-Key has run before; it was not run again" : "a request with this Idempotency-Key may be running or have run; it was not run again; check before you send a new key"});
	}

	void EntryHttp::recordOutcome(Exchange& _exchange, Outcome _outcome)
	{
		if (_exchange.ended)
		{
			return;
		}
		_exchange.ended = true;
		EntryCounters& counters = this->parts.counters;
		(Outcome::Ran == _outcome ? counters.ran : Outcome::NotRun == _outcome ? counters.notRun
		                                                                       : counters.unknown)
		    .Increment();
		counters.totalSeconds.Observe(double(nowMs() - _exchange.caller.receivedAt) / 1000.0);
		if (_exchange.claimedKey.empty() || Outcome::Unknown == _outcome)
		{
			return;
		}
		if (Outcome::Ran == _outcome)
		{
			this->parts.claims.markRan(_exchange.claimedKey, _exchange.request.id);
		}
		else
		{
			this->parts.claims.release(_exchange.claimedKey, _exchange.request.id);
		}
	}

	void EntryHttp::reject(Exchange& _exchange, const RejectedError& _error, httplib::Response& _response)
	{
		writeFinalResponse(_error.response, _exchange.request.id, _response);
		this->recordOutcome(_exchange, _error.response.outcome);
	}

	void EntryHttp::handle(const httplib::Request& _request, httplib::Response& _response)
	{
		const auto exchange = std::make_shared<Exchange>(*this);
		try
		{
			this->admit(_request, *exchange);
			this->refuseCrashing(exchange->request);
			this->claimKey(*exchange);
			const RunContext context{this->parts.directory, this->retries, this->parts.crashes, this->parts.counters.retried, this->parts.counters.resumed, this->parts.counters.droppedFrames};
			exchange->run = std::make_unique<RequestRun>(context, exchange->request, exchange->caller);
			const ResponseStart start = exchange->run->begin();
			this->parts.counters.firstByteSeconds.Observe(double(nowMs() - exchange->caller.receivedAt) / 1000.0);
			writeResponseStart(start, exchange->request.id, _response);
			if (exchange->request.streamed)
			{
				_response.set_chunked_content_provider(start.contentType, [this, exchange](std::size_t, httplib::DataSink& _sink) {
					return this->relay(exchange, _sink);
				});
				return;
			}
			this->sendWholeResponse(exchange, _response);
		}
		catch (const RejectedError& error)
		{
			this->reject(*exchange, error, _response);
		}
	}

	void EntryHttp::sendWholeResponse(const std::shared_ptr<Exchange>& _exchange, httplib::Response& _response)
	{
		std::string body;
		while (true)
		{
			try
			{
				while (std::optional<std::string> bytes = _exchange->run->next())
				{
					if (body.empty())
					{
						body = std::move(*bytes);
						continue;
					}
					body += *bytes;
				}
				break;
			}
			catch (const RejectedError& error)
			{
				this->parts.counters.broken.Increment();
				writeResponseStart(_exchange->run->restart(error), _exchange->request.id, _response);
				body.clear();
			}
		}
		_response.set_header("Content-Type", _exchange->run->contentType());
		_response.body = std::move(body);
		this->recordOutcome(*_exchange, Outcome::Ran);
	}

	/// Relays a stream. A broken stream ends with an error event and without the final chunk
	/// of the chunked encoding, so that no caller takes it for complete.
	bool EntryHttp::relay(const std::shared_ptr<Exchange>& _exchange, httplib::DataSink& _sink)
	{
		try
		{
			const std::optional<std::string> bytes = _exchange->run->next();
			if (!bytes)
			{
				this->recordOutcome(*_exchange, Outcome::Ran);
				_sink.done();
				return true;
			}
			if (!_sink.write(bytes->data(), bytes->size()))
			{
				this->parts.counters.abandoned.Increment();
				this->recordOutcome(*_exchange, Outcome::Ran);
				return false;
			}
			return true;
		}
		catch (const RejectedError& error)
		{
			this->parts.counters.broken.Increment();
			const std::string event = "data: " + errorBody(error.response, _exchange->request.id) + "\n\n";
			_sink.write(event.data(), event.size());
			this->recordOutcome(*_exchange, error.response.outcome);
			return false;
		}
	}
} // namespace archdyke
