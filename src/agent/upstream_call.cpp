#include "agent/upstream_call.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <httplib.h>

#include "archdyke/back_off.h"
#include "base/config.h"
#include "base/http_server.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr int kConnectTimeoutSeconds = 1;
		constexpr const char* kRequestIdHeader = "X-Request-Id";
		constexpr const char* kHealthPath = "/health";
		/// Time limit for finding out whether a process has ended, ms, and the pause between two probes. A process that ends may
		/// close its port after its connections; until then probes get no response, as they don't from a hung process.
		constexpr Millis kEndProbeLimitMs = 1'000;
		constexpr Millis kEndProbePauseMs = 50;
		/// Time limit for the response to a probe, microseconds.
		constexpr int kEndProbeTimeoutUs = 100'000;

		std::string requestIdOf(const RunKey& _key)
		{
			return _key.requestId + "/" + std::to_string(_key.attempt);
		}

		httplib::Request makeRequest(const RunSpec& _run)
		{
			httplib::Request request;
			request.method = _run.method;
			request.path = _run.path;
			request.body = _run.body;
			request.set_header(kRequestIdHeader, requestIdOf(_run.key));
			if (!_run.contentType.empty())
			{
				request.set_header("Content-Type", _run.contentType);
			}
			return request;
		}

		/// @returns How long the upstream asks to be sent no requests, ms; 0 if the response doesn't ask.
		Millis requestedBackOffMs(const httplib::Response& _response)
		{
			constexpr int kUnavailable = 503;
			return kUnavailable == _response.status ? parseRetryAfter(_response.get_header_value("Retry-After")).value_or(0) : 0;
		}

		void setResponseHandlers(httplib::Request& _request, ResponseBuffer& _buffer, const std::function<void(const RunKey&)>& _onBytes)
		{
			// Only event streams are forwarded as they arrive; other responses are forwarded when they are complete.
			const auto isEventStream = std::make_shared<bool>(false);
			_request.response_handler = [&_buffer, isEventStream](const httplib::Response& _response) {
				*isEventStream = _response.get_header_value("Content-Type").starts_with("text/event-stream");
				_buffer.backOffMs = requestedBackOffMs(_response);
				_buffer.begin(_response.status, _response.get_header_value("Content-Type"));
				return !_buffer.cancelled;
			};
			_request.content_receiver = [&_buffer, &_onBytes, isEventStream](const char* _data, std::size_t _size, std::uint64_t, std::uint64_t) {
				if (_buffer.cancelled || !_buffer.append({_data, _size}))
				{
					return false;
				}
				if (*isEventStream)
				{
					_onBytes(_buffer.key());
				}
				return true;
			};
		}

		std::unique_ptr<httplib::Client> makeClient(const UpstreamSettings& _settings)
		{
			const Address address = parseAddress(_settings.address);
			auto client = std::make_unique<httplib::Client>(address.host, address.port);
			client->set_connection_timeout(kConnectTimeoutSeconds);
			client->set_keep_alive(true);
			client->set_tcp_nodelay(true);
			client->set_decompress(false);
			return client;
		}
		/// @returns Whether the upstream's port refuses connections after the connection of a run broke.
		bool hasEnded(const UpstreamSettings& _settings)
		{
			const Millis until = nowMs() + kEndProbeLimitMs;
			while (nowMs() < until)
			{
				const std::unique_ptr<httplib::Client> client = makeClient(_settings);
				client->set_read_timeout(0, kEndProbeTimeoutUs);
				const httplib::Result result = client->Get(kHealthPath);
				if (result || httplib::Error::Connection == result.error())
				{
					return !result;
				}
				absl::Notification never;
				never.WaitForNotificationWithTimeout(absl::Milliseconds(kEndProbePauseMs));
			}
			return false;
		}
	} // namespace

	UpstreamCall makeUpstreamCall(const UpstreamSettings& _settings, std::function<void(const RunKey&)> _onBytes)
	{
		std::shared_ptr<httplib::Client> client = makeClient(_settings);
		return [client, settings = _settings, onBytes = std::move(_onBytes)](const RunSpec& _run, ResponseBuffer& _buffer) {
			httplib::Request request = makeRequest(_run);
			setResponseHandlers(request, _buffer, onBytes);
			client->set_read_timeout(_run.budgetMs / 1000 + 1);
			httplib::Response response;
			httplib::Error error = httplib::Error::Success;
			if (client->send(request, response, error))
			{
				return CallResult::Completed;
			}
			if (httplib::Error::Connection == error || httplib::Error::ConnectionTimeout == error)
			{
				return CallResult::NotReached;
			}
			return httplib::Error::Canceled != error && hasEnded(settings) ? CallResult::UpstreamEnded : CallResult::Broken;
		};
	}

	bool probeUpstream(const UpstreamSettings& _settings)
	{
		const std::unique_ptr<httplib::Client> client = makeClient(_settings);
		client->set_read_timeout(kConnectTimeoutSeconds);
		return bool(client->Get(kHealthPath));
	}
} // namespace archdyke
