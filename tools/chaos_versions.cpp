#include "chaos_versions.h"

#include <algorithm>

namespace archdyke::lab
{
	VersionMonitor::VersionMonitor(Office& _office, ChaosResult& _result)
	    : office(_office)
	    , result(_result)
	{
	}

	void VersionMonitor::accepted(std::uint64_t _version, Millis _atMs)
	{
		this->acceptedVersions.push_back({_version, _atMs});
	}

	void VersionMonitor::look()
	{
		for (const std::unique_ptr<Daemon>& entry : this->office.entries())
		{
			const Millis polledAt = nowMs();
			const nlohmann::json dump = this->office.dump(*entry);
			if (!dump.is_object())
			{
				continue;
			}
			const std::string incarnation = dump["incarnation"];
			const std::uint64_t version = dump["config"]["version"];
			if (version < this->seen[incarnation])
			{
				this->result.configReverts += 1;
				this->result.notes.push_back(entry->name + " went back to version " + std::to_string(version));
			}
			this->seen[incarnation] = version;
			this->checkAge(*entry, dump, version, polledAt);
		}
	}

	void VersionMonitor::checkAge(const Daemon& _entry, const nlohmann::json& _dump, std::uint64_t _version, Millis _askedAt)
	{
		const bool late = std::any_of(this->acceptedVersions.begin(), this->acceptedVersions.end(), [&](const AcceptedVersion& _acceptance) {
			return _version < _acceptance.version && kInForceMs < _askedAt - _acceptance.atMs;
		});
		if (!late || !_dump["ready"].get<bool>())
		{
			return;
		}
		const bool inDoubt = 0 < _dump["config"]["inDoubtMs"].get<Millis>();
		(inDoubt ? this->result.configInDoubt : this->result.configLate) += 1;
		this->result.notes.push_back(_entry.name + " serves version " + std::to_string(_version) + (inDoubt ? ", in doubt" : ""));
	}
} // namespace archdyke::lab
