/// Which configuration the entries of an office have, looked at while faults strike it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chaos.h"
#include "lab.h"

namespace archdyke::lab
{
	/// How long an accepted configuration may take until every entry that serves has it, ms.
	constexpr Millis kInForceMs = 4'000;

	class VersionWatch
	{
	public:
		/// @param[out] _result Gets what is wrong; outlives this.
		VersionWatch(Office& _office, ChaosResult& _result);

		/// A version was accepted.
		void accepted(std::uint64_t _version, Millis _atMs);

		/// Every entry that serves has what was accepted kInForceMs ago, and never goes back.
		void look();

	private:
		struct Acceptance
		{
			std::uint64_t version = 0;
			Millis atMs = 0;
		};

		void checkAge(const Daemon& _entry, const nlohmann::json& _dump, std::uint64_t _version, Millis _askedAt);

		Office& office;
		ChaosResult& result;
		std::vector<Acceptance> acceptances;
		std::map<std::string, std::uint64_t> seen; ///< Version by incarnation.
	};
} // namespace archdyke::lab
