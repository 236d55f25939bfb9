/// Stub of a plain service: echoes each call and counts how often each request ran, by the field
/// "token" of its body or else by its request id.
///
/// Options: {"address"?, "delayMs"?}. Routes: any call; GET /record; POST /control {"delayMs", "restS"}:
/// for restS seconds calls get 503 with the remaining time in Retry-After, and count as rejected, not as
/// runs. A call whose token begins with "crash" ends the process when it starts to run. The query field size=N asks for an
/// answer of N bytes.
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>

#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		constexpr int kCrashExitCode = 70; ///< Exit code after a call that crashes the process.

		/// @returns Key that a call is counted by: the token of its body, else the request id.
		std::string callKey(const httplib::Request& _request)
		{
			const nlohmann::json body = nlohmann::json::parse(_request.body, nullptr, false);
			const bool hasToken = body.is_object() && body.contains("token") && body["token"].is_string();
			return hasToken ? body["token"].get<std::string>() : _request.get_header_value("X-Request-Id");
		}
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		using Json = nlohmann::json;
		std::mutex mutex;
		std::map<std::string, int> runs;
		int rejected = 0;
		std::atomic<Millis> backOffUntil{0};
		std::atomic<Millis> delayMs{_options.value("delayMs", Millis(0))};
		HttpServer server;
		server.routes().Get("/health", [](const httplib::Request&, httplib::Response& _response) {
			_response.status = 200;
		});
		server.routes().Get("/record", [&](const httplib::Request&, httplib::Response& _response) {
			const std::lock_guard lock(mutex);
			_response.set_content(Json{{"runs", runs}, {"turnedAway", rejected}}.dump(), "application/json");
		});
		server.routes().Post("/control", [&](const httplib::Request& _request, httplib::Response&) {
			const Json control = Json::parse(_request.body);
			delayMs = control.value("delayMs", Millis(0));
			backOffUntil = nowMs() + Millis(1'000.0 * control.value("restS", 0.0));
		});
		const auto echo = [&](const httplib::Request& _request, httplib::Response& _response) {
			{
				const std::lock_guard lock(mutex);
				const Millis remainingMs = backOffUntil - nowMs();
				if (0 < remainingMs)
				{
					rejected += 1;
					_response.status = 503;
					_response.set_header("Retry-After", std::to_string(double(remainingMs) / 1'000.0));
					return;
				}
				runs[callKey(_request)] += 1;
				if (callKey(_request).starts_with("crash"))
				{
					std::_Exit(kCrashExitCode);
				}
			}
			if (0 < delayMs)
			{
				absl::Notification never;
				never.WaitForNotificationWithTimeout(absl::Milliseconds(delayMs.load()));
			}
			if (_request.has_param("size"))
			{
				_response.set_content(std::string(std::stoul(_request.get_param_value("size")), 'x'), "text/plain");
				return;
			}
			_response.set_content(Json{{"path", _request.target}, {"method", _request.method}, {"body", _request.body}}.dump(), "application/json");
		};
		server.routes().Get("/.*", echo);
		server.routes().Post("/.*", echo);
		server.routes().Put("/.*", echo);
		server.routes().Delete("/.*", echo);
		const Address address = server.start(parseAddress(_options.value("address", "127.0.0.1:0")));
		logInfo("listening", {{"http", toString(address)}});
		waitForStopSignal();
		server.stop();
	}
} // namespace archdyke::stub
