/// What the stand-ins have in common: one JSON argument, a signal to stop.
#pragma once

#include <nlohmann/json.hpp>

namespace archdyke::stub
{
	/// Runs one stand-in until a stop signal. Defined by each.
	void runStub(const nlohmann::json& _options);
} // namespace archdyke::stub
