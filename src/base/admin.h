/// HTTP endpoint of a process for operators: metrics, state dump, readiness, drain.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/http_server.h"
#include "base/metrics.h"

namespace archdyke
{
	/// Handlers of the admin routes.
	struct AdminHandlers
	{
		std::function<nlohmann::json()> dump;
		std::function<bool()> ready;
		std::function<void()> drain;
	};

	/// Adds /metrics, /dump, /ready and /drain to a server.
	void addAdminRoutes(HttpServer& _server, Metrics& _metrics, const AdminHandlers& _handlers);
} // namespace archdyke
