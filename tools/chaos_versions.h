/// Checks the configuration versions of an office's entries while faults are injected.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chaos.h"
#include "lab.h"

namespace archdyke::lab
{
	/// Time until every serving entry must have an accepted configuration, ms.
	constexpr Millis kInForceMs = 4'000;

	class VersionMonitor
	{
	public:
		/// @param[out] _result Receives the violations; must outlive this object.
		VersionMonitor(Office& _office, ChaosResult& _result);

		/// Records that a version was accepted.
		void accepted(std::uint64_t _version, Millis _atMs);

		/// Checks that every serving entry has the versions accepted more than kInForceMs ago, and that none returns
		/// to an older version.
		void look();

	private:
		struct AcceptedVersion
		{
			std::uint64_t version = 0;
			Millis atMs = 0;
		};

		void checkAge(const Daemon& _entry, const nlohmann::json& _dump, std::uint64_t _version, Millis _askedAt);

		Office& office;
		ChaosResult& result;
		std::vector<AcceptedVersion> acceptedVersions;
		std::map<std::string, std::uint64_t> seen; ///< Last version by incarnation.
	};
} // namespace archdyke::lab
