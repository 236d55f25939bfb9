#include "archdyke/urgency.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		bool leadsTo(const CatalogRoute& _route, std::string_view _service)
		{
			return std::any_of(_route.services.begin(), _route.services.end(), [&](const WeightedService& _weighted) {
				return _weighted.name == _service && 0 < _weighted.weight;
			});
		}

		void keepDistinct(std::vector<std::uint32_t>& _priorities)
		{
			std::sort(_priorities.begin(), _priorities.end());
			_priorities.erase(std::unique(_priorities.begin(), _priorities.end()), _priorities.end());
		}

		/// @returns Place among the priorities; one that isn't there has that of the next.
		std::size_t placeOf(const std::vector<std::uint32_t>& _priorities, std::uint32_t _priority)
		{
			return std::size_t(std::lower_bound(_priorities.begin(), _priorities.end(), _priority) - _priorities.begin());
		}

		/// @returns How many urgencies there are; at least one.
		std::size_t sizeOf(const UrgencyScale& _scale)
		{
			return std::max<std::size_t>(1, _scale.organisations.size()) * std::max<std::size_t>(1, _scale.routes.size());
		}
	} // namespace

	UrgencyScale urgencyScale(const Catalog& _catalog, std::string_view _service)
	{
		UrgencyScale scale;
		for (const CatalogOrganisation& organisation : _catalog.organisations)
		{
			scale.organisations.push_back(organisation.priority);
		}
		for (const CatalogRoute& route : _catalog.routes)
		{
			if (leadsTo(route, _service))
			{
				scale.routes.push_back(route.priority);
			}
		}
		keepDistinct(scale.organisations);
		keepDistinct(scale.routes);
		return scale;
	}

	bool differs(const UrgencyScale& _scale)
	{
		return 1 < sizeOf(_scale);
	}

	std::uint32_t urgencyOf(const UrgencyScale& _scale, const CatalogOrganisation* _organisation, const CatalogRoute& _route)
	{
		const std::size_t organisations = std::max<std::size_t>(1, _scale.organisations.size());
		const std::size_t routes = std::max<std::size_t>(1, _scale.routes.size());
		const std::size_t organisation = nullptr == _organisation ? organisations - 1 : placeOf(_scale.organisations, _organisation->priority);
		const std::size_t place = organisation * routes + placeOf(_scale.routes, _route.priority);
		const std::size_t last = sizeOf(_scale) - 1;
		// More than engines tell apart are drawn together, in order.
		const std::size_t urgency = last < kUrgencies ? place : place * (kUrgencies - 1) / last;
		return std::uint32_t(std::min<std::size_t>(urgency, kUrgencies - 1));
	}
} // namespace archdyke
