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

		std::string errorBody(const FinalAnswer& _answer, const std::string& _requestId)
		{
			const nlohmann::json error{{"message", _answer.message}, {"reason", _answer.reason}, {"outcome", std::string(toString(_answer.outcome))}, {"requestId", _requestId}, {"retryAfterMs", _answer.retryAfterMs}};
			return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
		}

		void writeFinal(const FinalAnswer& _answer, const std::string& _requestId, httplib::Response& _response)
		{
			_response.status = _answer.status;
			_response.headers.clear();
			_response.set_header(kOutcomeHeader, std::string(toString(_answer.outcome)));
			_response.set_header("X-Request-Id", _requestId);
			if (0 < _answer.retryAfterMs)
			{
				_response.set_header("Retry-After", std::to_string((_answer.retryAfterMs + 999) / 1000));
			}
			_response.set_content(errorBody(_answer, _requestId), kJson);
		}

		void writeStart(const AnswerStart& _start, const std::string& _requestId, httplib::Response& _response)
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
			caller.key = authorization.starts_with(kBearer) ? authorization.substr(kBearer.size()) : "";
			caller.idempotencyKey = _request.get_header_value("Idempotency-Key");
			caller.markedNotRepeatable = "no" == _request.get_header_value("X-Archdyke-Repeatable");
			caller.contentType = _request.get_header_value("Content-Type");
			caller.body = _request.body;
			return caller;
		}

		/// Gives what the HTTP library refuses by itself a body that says what to do.
		httplib::Server::HandlerResponse explainRefusal(const httplib::Request&, httplib::Response& _response)
		{
			if (!_response.body.empty() || _response.has_header(kOutcomeHeader))
			{
				return httplib::Server::HandlerResponse::Unhandled;
			}
			const std::string message = kTooLarge == _response.status ? "the body is larger than " + std::to_string(kMaxBodyBytes) + " bytes; send a smaller one" : "the request is malformed, its headers are too long, or it was sent too slowly; send it whole, with no pause of " + std::to_string(kCallerReadSeconds) + " s";
			writeFinal({_response.status, Outcome::NotRun, 0, "bad_request", message}, "", _response);
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
	    , broken(_metrics.counter("archdyke_entry_answers_broken_total", "Answers that ran but could not be completed."))
	    , abandoned(_metrics.counter("archdyke_entry_callers_gone_total", "Callers that went away before the end."))
	    , retried(_metrics.counter("archdyke_entry_retries_total", "Tries after the first."))
	    , resumed(_metrics.counter("archdyke_entry_resumes_total", "Answers that went on after a lost link."))
	    , droppedFrames(_metrics.counter("archdyke_entry_frames_dropped_total", "Pieces of answers that were late or doubled."))
	    , firstByteSeconds(_metrics.seconds("archdyke_entry_first_byte_seconds", "From request to first byte of the answer."))
	    , totalSeconds(_metrics.seconds("archdyke_entry_request_seconds", "From request to end of the answer."))
	{
	}

	/// One request from its arrival to its end.
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
		std::string failure; ///< What a broken stream tells its caller.
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
		routes.set_error_handler(httplib::Server::HandlerWithResponse(explainRefusal));
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
			throw notRun(kUnavailable, "leaving", "this entry is stopping; send the request again, it goes to another", kLeavingRetryMs);
		}
		const std::shared_ptr<const ActiveConfig> config = this->parts.keeper.active();
		if (nullptr == config || !this->parts.guard.isFresh())
		{
			throw notRun(kUnavailable, "no_config", "this entry is finding out which configuration is in force; come back after the time in Retry-After", kLeavingRetryMs);
		}
		const Organisation& organisation = authenticate(*config, _exchange.caller);
		limitRate(this->limits, organisation, this->parts.directory.entryCount(), _exchange.caller.receivedAt);
		_exchange.request = resolve(*config, organisation, _exchange.caller, _exchange.request.id);
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
		const ClaimEnd end = this->parts.claims.claim(key, _exchange.request.id);
		if (ClaimEnd::Won == end)
		{
			_exchange.claimedKey = key;
			if (kClaimFreshMs < nowMs() - begunAt)
			{
				throw notRun(kUnavailable, "claim_old", "this entry was held up for too long; come back after the time in Retry-After", kLeavingRetryMs);
			}
			return;
		}
		if (ClaimEnd::NoStore == end)
		{
			throw notRun(kUnavailable, "no_store", "the platform's table can't be reached, so the Idempotency-Key can't be claimed; come back after the time in Retry-After", 2 * kLeavingRetryMs);
		}
		const bool ran = ClaimEnd::AlreadyRan == end;
		throw RejectedError({kConflict, ran ? Outcome::Ran : Outcome::Unknown, 0, ran ? "already_ran" : "in_doubt", ran ? "a request with this Idempotency-Key has run before; it was not run again" : "a request with this Idempotency-Key may be running or have run; it was not run again; check before you send a new key"});
	}

	void EntryHttp::account(Exchange& _exchange, Outcome _outcome)
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
		writeFinal(_error.answer, _exchange.request.id, _response);
		this->account(_exchange, _error.answer.outcome);
	}

	void EntryHttp::handle(const httplib::Request& _request, httplib::Response& _response)
	{
		const auto exchange = std::make_shared<Exchange>(*this);
		try
		{
			this->admit(_request, *exchange);
			this->claimKey(*exchange);
			const RunContext context{this->parts.directory, this->retries, this->parts.counters.retried, this->parts.counters.resumed, this->parts.counters.droppedFrames};
			exchange->run = std::make_unique<RequestRun>(context, exchange->request, exchange->caller);
			const AnswerStart start = exchange->run->begin();
			this->parts.counters.firstByteSeconds.Observe(double(nowMs() - exchange->caller.receivedAt) / 1000.0);
			writeStart(start, exchange->request.id, _response);
			if (exchange->request.streamed)
			{
				_response.set_chunked_content_provider(start.contentType, [this, exchange](std::size_t, httplib::DataSink& _sink) {
					return this->relay(exchange, _sink);
				});
				return;
			}
			this->answerWhole(exchange, _response);
		}
		catch (const RejectedError& error)
		{
			this->reject(*exchange, error, _response);
		}
	}

	void EntryHttp::answerWhole(const std::shared_ptr<Exchange>& _exchange, httplib::Response& _response)
	{
		std::string body;
		while (true)
		{
			try
			{
				while (const std::optional<std::string> bytes = _exchange->run->next())
				{
					body += *bytes;
				}
				break;
			}
			catch (const RejectedError& error)
			{
				this->parts.counters.broken.Increment();
				writeStart(_exchange->run->restart(error), _exchange->request.id, _response);
				body.clear();
			}
		}
		_response.set_content(body, _exchange->run->contentType());
		this->account(*_exchange, Outcome::Ran);
	}

	/// Relays a stream. A stream that breaks ends with an error event and without the
	/// last chunk of its encoding, so that no caller takes it for whole.
	bool EntryHttp::relay(const std::shared_ptr<Exchange>& _exchange, httplib::DataSink& _sink)
	{
		try
		{
			const std::optional<std::string> bytes = _exchange->run->next();
			if (!bytes)
			{
				this->account(*_exchange, Outcome::Ran);
				_sink.done();
				return true;
			}
			if (!_sink.write(bytes->data(), bytes->size()))
			{
				this->parts.counters.abandoned.Increment();
				this->account(*_exchange, Outcome::Ran);
				return false;
			}
			return true;
		}
		catch (const RejectedError& error)
		{
			this->parts.counters.broken.Increment();
			const std::string event = "data: " + errorBody(error.answer, _exchange->request.id) + "\n\n";
			_sink.write(event.data(), event.size());
			this->account(*_exchange, error.answer.outcome);
			return false;
		}
	}
} // namespace archdyke
