#include "agent/upstream_call.h"

#include <httplib.h>

#include "archdyke/back_off.h"
#include "base/config.h"
#include "base/http_server.h"

namespace archdyke
{
	namespace
	{
		constexpr int kConnectSeconds = 1;
		constexpr const char* kRequestIdHeader = "X-Request-Id";

		std::string idOf(const RunKey& _key)
		{
			return _key.requestId + "/" + std::to_string(_key.attempt);
		}

		httplib::Request makeRequest(const RunSpec& _run)
		{
			httplib::Request request;
			request.method = _run.method;
			request.path = _run.path;
			request.body = _run.body;
			request.set_header(kRequestIdHeader, idOf(_run.key));
			if (!_run.contentType.empty())
			{
				request.set_header("Content-Type", _run.contentType);
			}
			return request;
		}

		/// @returns For how long an answer asks that its upstream be sent nothing, ms; 0 when it doesn't.
		Millis backOffOf(const httplib::Response& _response)
		{
			constexpr int kUnavailable = 503;
			return kUnavailable == _response.status ? parseRetryAfter(_response.get_header_value("Retry-After")).value_or(0) : 0;
		}

		void readAnswer(httplib::Request& _request, AnswerBuffer& _answer, const std::function<void(const RunKey&)>& _onBytes)
		{
			// What isn't a stream of events is handed on once, when it is whole.
			const auto streams = std::make_shared<bool>(false);
			_request.response_handler = [&_answer, streams](const httplib::Response& _response) {
				*streams = _response.get_header_value("Content-Type").starts_with("text/event-stream");
				_answer.backOffMs = backOffOf(_response);
				_answer.begin(_response.status, _response.get_header_value("Content-Type"));
				return !_answer.cancelled;
			};
			_request.content_receiver = [&_answer, &_onBytes, streams](const char* _data, std::size_t _size, std::uint64_t, std::uint64_t) {
				if (_answer.cancelled || !_answer.append({_data, _size}))
				{
					return false;
				}
				if (*streams)
				{
					_onBytes(_answer.key());
				}
				return true;
			};
		}

		std::unique_ptr<httplib::Client> makeClient(const UpstreamSettings& _settings)
		{
			const Address address = parseAddress(_settings.address);
			auto client = std::make_unique<httplib::Client>(address.host, address.port);
			client->set_connection_timeout(kConnectSeconds);
			client->set_keep_alive(true);
			client->set_tcp_nodelay(true);
			client->set_decompress(false);
			return client;
		}
	} // namespace

	UpstreamCall makeUpstreamCall(const UpstreamSettings& _settings, std::function<void(const RunKey&)> _onBytes)
	{
		std::shared_ptr<httplib::Client> client = makeClient(_settings);
		return [client, onBytes = std::move(_onBytes)](const RunSpec& _run, AnswerBuffer& _answer) {
			httplib::Request request = makeRequest(_run);
			readAnswer(request, _answer, onBytes);
			client->set_read_timeout(_run.budgetMs / 1000 + 1);
			httplib::Response response;
			httplib::Error error = httplib::Error::Success;
			if (client->send(request, response, error))
			{
				_answer.complete();
				return true;
			}
			const bool reached = httplib::Error::Connection != error && httplib::Error::ConnectionTimeout != error;
			_answer.fail(!reached);
			return reached;
		};
	}

	bool probeUpstream(const UpstreamSettings& _settings)
	{
		const std::unique_ptr<httplib::Client> client = makeClient(_settings);
		client->set_read_timeout(kConnectSeconds);
		return bool(client->Get("/health"));
	}
} // namespace archdyke
