/// Common entry point of the stubs: takes its options as one JSON argument and runs until a stop signal.
#pragma once

#include <nlohmann/json.hpp>

namespace archdyke::stub
{
	/// Runs the stub until a stop signal. Each stub defines it.
	void runStub(const nlohmann::json& _options);
} // namespace archdyke::stub
