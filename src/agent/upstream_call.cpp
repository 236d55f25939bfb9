#include "agent/upstream_call.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include "archdyke/back_off.h"
#include "base/config.h"
#include "base/http_call.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kConnectTimeoutMs = 1'000;
		/// How long a response may take after the run's budget, ms. The caller no longer waits for it; it tells how the run ended.
		constexpr Millis kLateResponseMs = 1'000;
		/// Time limit for a health request, ms.
		constexpr Millis kProbeTimeoutMs = 1'000;
		/// Maximum size of a response's head and of a health response's body, bytes.
		constexpr std::size_t kMaxHeadBytes = 16'384;
		constexpr std::size_t kMaxProbeBodyBytes = 65'536;
		constexpr const char* kRequestIdHeader = "X-Request-Id";
		constexpr const char* kHealthPath = "/health";
		/// Time limit for finding out whether a process has ended, ms, and the pause between two probes. A process that ends may
		/// close its port after its connections; until then probes get no response, as they don't from a hung process.
		constexpr Millis kEndProbeLimitMs = 1'000;
		constexpr Millis kEndProbePauseMs = 50;
		/// Time limit for the response to a probe, ms.
		constexpr Millis kEndProbeTimeoutMs = 100;

		std::string requestIdOf(const RunKey& _key)
		{
			return _key.requestId + "/" + std::to_string(_key.attempt);
		}

		HttpRequest makeRequest(const RunSpec& _run)
		{
			HttpRequest request{_run.method, _run.path, {{kRequestIdHeader, requestIdOf(_run.key)}}, _run.body};
			if (!_run.contentType.empty())
			{
				request.headers.push_back({"Content-Type", _run.contentType});
			}
			return request;
		}

		/// @returns How long the upstream asks to be sent no requests, ms; 0 if the response doesn't ask.
		Millis requestedBackOffMs(const HttpResponseHead& _head)
		{
			constexpr int kUnavailable = 503;
			return kUnavailable == _head.status ? parseRetryAfter(std::string(_head.find("Retry-After"))).value_or(0) : 0;
		}

		ResponseReceiver makeReceiver(ResponseBuffer& _buffer, const std::function<void(const RunKey&)>& _onBytes)
		{
			// Only event streams are forwarded as they arrive; other responses are forwarded when they are complete.
			const auto isEventStream = std::make_shared<bool>(false);
			return {[&_buffer, isEventStream](const HttpResponseHead& _head) {
				const std::string contentType(_head.find("Content-Type"));
				*isEventStream = contentType.starts_with("text/event-stream");
				_buffer.backOffMs = requestedBackOffMs(_head);
				_buffer.begin(_head.status, contentType);
				return !_buffer.cancelled;
			        },
			        [&_buffer, &_onBytes, isEventStream](std::string_view _bytes) {
				if (_buffer.cancelled || !_buffer.append(_bytes))
				{
					return false;
				}
				if (*isEventStream)
				{
					_onBytes(_buffer.key());
				}
				return true;
			}};
		}

		/// @returns How the health request ended. Any complete response counts, whatever its status.
		HttpCallResult probe(const UpstreamSettings& _settings, Millis _timeoutMs)
		{
			HttpCallResult result;
			fetchHttp(parseAddress(_settings.address), {"GET", kHealthPath, {}, ""}, {kConnectTimeoutMs, _timeoutMs, {kMaxHeadBytes, kMaxProbeBodyBytes}}, &result);
			return result;
		}

		/// @returns Whether the upstream's port refuses connections after the connection of a run broke.
		bool hasEnded(const UpstreamSettings& _settings)
		{
			const Millis until = nowMs() + kEndProbeLimitMs;
			while (nowMs() < until)
			{
				const HttpCallResult result = probe(_settings, kEndProbeTimeoutMs);
				if (HttpCallEnd::Complete == result.end || result.refused)
				{
					return result.refused;
				}
				absl::Notification never;
				never.WaitForNotificationWithTimeout(absl::Milliseconds(kEndProbePauseMs));
			}
			return false;
		}

		/// @returns Whether the agent itself broke the call off.
		bool isBrokenOff(const HttpCallResult& _result)
		{
			return ResponseState::Cancelled == _result.response || ResponseState::BodyTooLarge == _result.response;
		}
	} // namespace

	UpstreamCall makeUpstreamCall(const UpstreamSettings& _settings, std::function<void(const RunKey&)> _onBytes)
	{
		return [settings = _settings, address = parseAddress(_settings.address), onBytes = std::move(_onBytes)](const RunSpec& _run, ResponseBuffer& _buffer) {
			const HttpCallLimits limits{kConnectTimeoutMs, _run.budgetMs + kLateResponseMs, {kMaxHeadBytes, kMaxBufferedResponseBytes}};
			const HttpCallResult result = callHttp(address, makeRequest(_run), limits, makeReceiver(_buffer, onBytes));
			if (HttpCallEnd::Complete == result.end)
			{
				return CallResult::Completed;
			}
			if (HttpCallEnd::NotConnected == result.end)
			{
				return CallResult::NotReached;
			}
			if (ResponseState::Cancelled != result.response)
			{
				logWarning("upstream_response_incomplete", {{"request", _run.key.requestId}, {"attempt", _run.key.attempt}, {"reason", toString(result)}});
			}
			return !isBrokenOff(result) && hasEnded(settings) ? CallResult::UpstreamEnded : CallResult::Broken;
		};
	}

	bool probeUpstream(const UpstreamSettings& _settings)
	{
		return HttpCallEnd::Complete == probe(_settings, kProbeTimeoutMs).end;
	}
} // namespace archdyke
