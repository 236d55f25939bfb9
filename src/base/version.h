/// Version of this build.
#pragma once

namespace archdyke
{
	constexpr const char* kVersion = "0.1.0";
} // namespace archdyke
