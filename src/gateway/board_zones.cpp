// Evacuated zones.
#include <algorithm>

#include "gateway/board.h"

namespace archdyke::gateway
{
	void UpstreamRegistry::setEvacuated(const std::string& _zone, bool _evacuated)
	{
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.zone == _zone)
			{
				upstream->evacuated = _evacuated;
			}
		}
		for (const GroupRef& group : this->allGroups())
		{
			this->updateCounts(*group);
		}
	}

	void UpstreamRegistry::evacuate(const std::string& _zone)
	{
		this->evacuatedZones.insert(_zone);
		this->setEvacuated(_zone, true);
	}

	void UpstreamRegistry::endEvacuation(const std::string& _zone, Millis _now)
	{
		this->evacuatedZones.erase(_zone);
		this->setEvacuated(_zone, false);
		this->markZoneCold(_zone, _now);
	}

	void UpstreamRegistry::markZoneCold(const std::string& _zone, Millis _now)
	{
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			const auto limits = this->coldLimits.find(upstream->record.service);
			if (upstream->record.zone == _zone && this->coldLimits.end() != limits)
			{
				this->markCold(upstream, limits->second.terms.assumedColdMs, _now);
			}
		}
	}

	bool UpstreamRegistry::isEvacuated(const std::string& _service) const
	{
		const std::vector<GroupRef>& groups = this->groupsOf(_service);
		const bool anyAvailable = std::any_of(groups.begin(), groups.end(), [](const GroupRef& _group) {
			return 0 < _group->availableMembers;
		});
		return !anyAvailable && std::any_of(groups.begin(), groups.end(), [](const GroupRef& _group) {
			return std::any_of(_group->members.begin(), _group->members.end(), [](const UpstreamRef& _upstream) {
				return isServing(*_upstream);
			});
		});
	}
} // namespace archdyke::gateway
