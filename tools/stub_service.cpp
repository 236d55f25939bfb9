/// Stand-in for a plain service: echoes its call and counts how often each request ran,
/// by the field "token" of its body or else by its request id.
///
/// Options: {"address"?, "delayMs"?}. Routes: any call; GET /record; POST /control {"delayMs"}.
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <atomic>
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
		/// What names a call: its body's token, or the request id.
		std::string tokenOf(const httplib::Request& _request)
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
		std::atomic<Millis> delayMs{_options.value("delayMs", Millis(0))};
		HttpServer server;
		server.routes().Get("/health", [](const httplib::Request&, httplib::Response& _response) {
			_response.status = 200;
		});
		server.routes().Get("/record", [&](const httplib::Request&, httplib::Response& _response) {
			const std::lock_guard lock(mutex);
			_response.set_content(Json{{"runs", runs}}.dump(), "application/json");
		});
		server.routes().Post("/control", [&](const httplib::Request& _request, httplib::Response&) {
			delayMs = Json::parse(_request.body).value("delayMs", Millis(0));
		});
		const auto echo = [&](const httplib::Request& _request, httplib::Response& _response) {
			{
				const std::lock_guard lock(mutex);
				runs[tokenOf(_request)] += 1;
			}
			if (0 < delayMs)
			{
				absl::Notification never;
				never.WaitForNotificationWithTimeout(absl::Milliseconds(delayMs.load()));
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
