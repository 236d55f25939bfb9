/// Urgencies from the priorities that operators declare.
#include "archdyke/urgency.h"
#include "check.h"

using namespace archdyke;

namespace
{
	CatalogRoute route(std::uint32_t _priority, const std::string& _service = "svc")
	{
		CatalogRoute result;
		result.priority = _priority;
		result.services = {{_service, 1}};
		return result;
	}

	CatalogOrganisation organisation(std::uint32_t _priority)
	{
		return {"o" + std::to_string(_priority), {}, _priority};
	}
} // namespace

Test(urgency, priorities_of_other_services_dont_count)
{
	Catalog catalog;
	catalog.routes = {route(2), route(2), route(0, "other")};
	const UrgencyScale scale = urgencyScale(catalog, "svc");
	cr_assert(!differs(scale));
	cr_assert(0 == urgencyOf(scale, nullptr, catalog.routes[0]));
}

Test(urgency, the_organisation_comes_before_the_route)
{
	Catalog catalog;
	catalog.routes = {route(7), route(0)};
	catalog.organisations = {organisation(3), organisation(1)};
	const UrgencyScale scale = urgencyScale(catalog, "svc");
	cr_assert(differs(scale));
	cr_assert(0 == urgencyOf(scale, &catalog.organisations[1], catalog.routes[1]));
	cr_assert(1 == urgencyOf(scale, &catalog.organisations[1], catalog.routes[0]));
	cr_assert(2 == urgencyOf(scale, &catalog.organisations[0], catalog.routes[1]));
	cr_assert(3 == urgencyOf(scale, &catalog.organisations[0], catalog.routes[0]));
	cr_assert(2 == urgencyOf(scale, nullptr, catalog.routes[1]), "who leaves the key out gains nothing");
}

Test(urgency, more_than_engines_tell_apart_stay_in_order)
{
	Catalog catalog;
	for (std::uint32_t priority = 0; priority < 30; ++priority)
	{
		catalog.routes.push_back(route(priority * 11));
	}
	const UrgencyScale scale = urgencyScale(catalog, "svc");
	std::uint32_t last = 0;
	for (const CatalogRoute& each : catalog.routes)
	{
		const std::uint32_t urgency = urgencyOf(scale, nullptr, each);
		cr_assert(last <= urgency && urgency < kUrgencies);
		last = urgency;
	}
	cr_assert(0 == urgencyOf(scale, nullptr, catalog.routes.front()) && kUrgencies - 1 == last);
}
