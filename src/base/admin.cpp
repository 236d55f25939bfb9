#include "base/admin.h"

namespace archdyke
{
	namespace
	{
		constexpr const char* kJson = "application/json";
		constexpr int kUnavailable = 503;
	} // namespace

	void addAdminRoutes(HttpServer& _server, Metrics& _metrics, const AdminHandlers& _handlers)
	{
		httplib::Server& routes = _server.routes();
		routes.Get("/metrics", [&_metrics](const httplib::Request&, httplib::Response& _response) {
			_response.set_content(_metrics.serialize(), "text/plain; version=0.0.4");
		});
		routes.Get("/dump", [dump = _handlers.dump](const httplib::Request&, httplib::Response& _response) {
			_response.set_content(dump().dump(1, '\t') + "\n", kJson);
		});
		routes.Get("/ready", [ready = _handlers.ready](const httplib::Request&, httplib::Response& _response) {
			const bool isReady = ready();
			_response.status = isReady ? 200 : kUnavailable;
			_response.set_content(isReady ? "{\"ready\":true}\n" : "{\"ready\":false}\n", kJson);
		});
		routes.Post("/drain", [drain = _handlers.drain](const httplib::Request&, httplib::Response& _response) {
			drain();
			_response.set_content("{\"draining\":true}\n", kJson);
		});
	}
} // namespace archdyke
