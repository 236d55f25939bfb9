#include "load.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "archdyke/random.h"
#include "archdyke/route.h"
#include "base/http_server.h"
#include "base/process.h"
#include "engine_words.h"
#include "lab_process.h"

namespace archdyke::lab
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kReadTimeoutS = 40;
		constexpr const char* kOutcomeHeader = "X-Archdyke-Outcome";

		double elapsedMs(std::chrono::steady_clock::time_point _since)
		{
			return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - _since).count();
		}

		/// Builds the messages of a call. Calls of the same home share a prefix.
		Json messagesOf(const std::string& _token)
		{
			const std::uint64_t home = stableHash(_token) % 20;
			return Json::array({{{"role", "system"}, {"content", "home " + std::to_string(home)}}, {{"role", "user"}, {"content", "plan for " + _token}}});
		}

		httplib::Request makeRequest(const LoadOptions& _options, CallKind _kind, const std::string& _token, const std::string& _organisation)
		{
			httplib::Request request;
			request.method = "POST";
			request.set_header("Authorization", "Bearer key-" + _organisation);
			request.set_header("Content-Type", "application/json");
			if (CallKind::Streamed == _kind || CallKind::Whole == _kind)
			{
				request.path = "/v1/chat/completions";
				request.body = Json{{"model", _options.model}, {"messages", messagesOf(_token)}, {"max_tokens", _options.tokens}, {"stream", CallKind::Streamed == _kind}, {"user", _token}}.dump();
				return request;
			}
			request.path = "/" + _options.plain + (CallKind::NotRepeatable == _kind ? _options.notRepeatablePath : "/cards");
			request.body = Json{{"token", _token}}.dump();
			if (CallKind::NotRepeatable == _kind)
			{
				request.set_header("Idempotency-Key", _token);
			}
			return request;
		}

		std::string expectedText(const LoadOptions& _options, const std::string& _token)
		{
			return stub::responseText(messagesOf(_token).dump(), _options.tokens);
		}

		/// Text of a streamed response.
		struct StreamText
		{
			std::string text;
			bool done = false;  ///< The closing event was received.
			bool error = false; ///< An error event was received.
		};

		StreamText readStream(const std::string& _body)
		{
			StreamText result;
			std::istringstream lines(_body);
			for (std::string line; std::getline(lines, line);)
			{
				if (!line.starts_with("data: "))
				{
					continue;
				}
				const std::string data = line.substr(6);
				const Json event = Json::parse(data, nullptr, false);
				result.done = result.done || "[DONE]" == data;
				if (event.is_object() && event.contains("choices"))
				{
					result.text += event["choices"][0]["delta"].value("content", "");
				}
				result.error = result.error || (event.is_object() && event.contains("error"));
			}
			return result;
		}

		void checkStreamed(CallRecord& _record, const std::string& _body, bool _cleanEnd, const std::string& _expected)
		{
			const StreamText stream = readStream(_body);
			_record.whole = _cleanEnd && stream.done && stream.text == _expected;
			_record.foreign = !_expected.starts_with(stream.text);
			_record.cleanlyTruncated = _cleanEnd && !_record.whole && !stream.error && !_record.foreign;
			_record.visiblyBroken = !_record.whole && (stream.error || !_cleanEnd);
		}

		void checkWhole(CallRecord& _record, const std::string& _body, const std::string& _expected)
		{
			const Json body = Json::parse(_body, nullptr, false);
			const bool readable = body.is_object() && body.contains("choices");
			const std::string text = readable ? body["choices"][0]["message"].value("content", "") : "";
			_record.whole = text == _expected;
			_record.foreign = readable && !_expected.starts_with(text);
			_record.cleanlyTruncated = !_record.whole && !_record.foreign;
		}

		void checkPlain(CallRecord& _record, const std::string& _body)
		{
			const Json body = Json::parse(_body, nullptr, false);
			const bool readable = body.is_object() && body.contains("body");
			const Json inner = readable ? Json::parse(body["body"].get<std::string>(), nullptr, false) : Json();
			_record.whole = inner.is_object() && inner.value("token", "") == _record.token;
			_record.foreign = readable && !_record.whole;
			_record.cleanlyTruncated = !readable;
		}

		Outcome readOutcome(const std::string& _text)
		{
			return "ran" == _text ? Outcome::Ran : "not-run" == _text ? Outcome::NotRun
			                                                          : Outcome::Unknown;
		}

		void readErrorReason(CallRecord& _record, const httplib::Response& _response)
		{
			const Json body = Json::parse(_response.body, nullptr, false);
			_record.reason = body.is_object() && body.contains("error") ? body["error"].value("reason", "") : "status " + std::to_string(_response.status);
		}
	} // namespace

	CallRecord sendCall(const LoadOptions& _options, CallKind _kind, const std::string& _token, const std::string& _entry, const std::string& _organisation)
	{
		CallRecord record;
		record.kind = _kind;
		record.token = _token;
		record.begunAt = nowMs();
		const Address address = parseAddress(_entry);
		httplib::Client client(address.host, address.port);
		client.set_connection_timeout(2);
		client.set_read_timeout(kReadTimeoutS);
		client.set_tcp_nodelay(true);
		const auto begun = std::chrono::steady_clock::now();
		httplib::Request request = makeRequest(_options, _kind, _token, _organisation);
		httplib::Response response;
		std::string body;
		request.response_handler = [&](const httplib::Response& _response) {
			response.status = _response.status;
			response.headers = _response.headers;
			return true;
		};
		request.content_receiver = [&](const char* _data, std::size_t _size, std::uint64_t, std::uint64_t) {
			record.firstByteMs = record.firstByteMs < 0.0 ? elapsedMs(begun) : record.firstByteMs;
			body.append(_data, _size);
			return true;
		};
		httplib::Response sent;
		httplib::Error error = httplib::Error::Success;
		const bool clean = client.send(request, sent, error);
		record.totalMs = elapsedMs(begun);
		record.status = response.status;
		if (!response.has_header(kOutcomeHeader) && -1 == response.status)
		{
			record.lost = 1;
			return record;
		}
		response.body = body;
		record.upstream = response.get_header_value("X-Archdyke-Upstream");
		record.told.push_back(readOutcome(response.get_header_value(kOutcomeHeader)));
		if (200 != response.status)
		{
			readErrorReason(record, response);
			return record;
		}
		if (CallKind::Streamed == _kind)
		{
			checkStreamed(record, body, clean, expectedText(_options, _token));
		}
		else if (!clean)
		{
			record.visiblyBroken = true;
		}
		else if (CallKind::Whole == _kind)
		{
			checkWhole(record, body, expectedText(_options, _token));
		}
		else
		{
			checkPlain(record, body);
		}
		return record;
	}

	namespace
	{
		CallKind kindOf(Random& _random)
		{
			const std::uint64_t pick = randomBelow(_random, 10);
			return pick < 4 ? CallKind::Streamed : pick < 6 ? CallKind::Whole
			                                   : pick < 8   ? CallKind::Lookup
			                                                : CallKind::NotRepeatable;
		}

		/// Sends a call; retries it through the next entry while there is no response, with at most 3 attempts.
		CallRecord sendWithRetries(const LoadOptions& _options, std::optional<CallKind> _only, std::uint32_t _index, std::chrono::steady_clock::time_point _due)
		{
			Random random(_options.seed * 1'000'003 + _index);
			const CallKind kind = _only.value_or(kindOf(random));
			const std::string token = _options.tokenPrefix + std::to_string(_options.seed) + "-" + std::to_string(_index);
			const std::string organisation = _options.organisations[randomBelow(random, _options.organisations.size())];
			CallRecord record;
			int lost = 0;
			std::vector<Outcome> told;
			for (int attempt = 0; attempt < 3; ++attempt)
			{
				const double lateMs = elapsedMs(_due);
				const std::string& entry = _options.entries[(_index + std::uint32_t(attempt)) % _options.entries.size()];
				record = sendCall(_options, kind, token, entry, organisation);
				record.firstByteMs += 0.0 <= record.firstByteMs ? lateMs : 0.0;
				record.totalMs += lateMs;
				lost += record.lost;
				told.insert(told.end(), record.told.begin(), record.told.end());
				if (0 == record.lost || !_options.retryLost)
				{
					break;
				}
			}
			record.lost = lost;
			record.told = told;
			return record;
		}
	} // namespace

	namespace
	{
		LoadResult runKinds(const LoadOptions& _options, std::optional<CallKind> _only)
		{
			LoadResult result;
			absl::Mutex mutex;
			std::atomic<std::uint32_t> next{0};
			const auto begun = std::chrono::steady_clock::now();
			const auto threadMain = [&] {
				while (true)
				{
					const std::uint32_t index = next.fetch_add(1);
					if (_options.requests <= index || (nullptr != _options.stop && *_options.stop))
					{
						return;
					}
					const auto due = begun + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(double(index) / _options.perSecond));
					std::this_thread::sleep_until(due);
					CallRecord record = sendWithRetries(_options, _only, index, due);
					absl::MutexLock lock(&mutex);
					result.calls.push_back(std::move(record));
				}
			};
			std::vector<std::thread> threads;
			for (std::uint32_t index = 0; index < _options.threads; ++index)
			{
				threads.emplace_back(threadMain);
			}
			for (std::thread& thread : threads)
			{
				thread.join();
			}
			return result;
		}
	} // namespace

	LoadResult runLoad(const LoadOptions& _options)
	{
		return runKinds(_options, std::nullopt);
	}

	LoadResult runPlain(const LoadOptions& _options)
	{
		return runKinds(_options, CallKind::Lookup);
	}

	LoadResult runStreams(const LoadOptions& _options)
	{
		return runKinds(_options, CallKind::Streamed);
	}
} // namespace archdyke::lab
