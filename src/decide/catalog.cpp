#include "archdyke/catalog.h"

#include <absl/strings/ascii.h>
#include <algorithm>

#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		std::string hostOf(std::string_view _host)
		{
			const std::size_t colon = _host.rfind(':');
			return absl::AsciiStrToLower(asAbsl(_host.substr(0, colon)));
		}

		std::string_view pathOf(std::string_view _target)
		{
			return _target.substr(0, _target.find('?'));
		}
	} // namespace

	CatalogIndex makeIndex(Catalog _catalog)
	{
		CatalogIndex index;
		index.catalog = std::move(_catalog);
		const Catalog& catalog = index.catalog;
		for (std::size_t route = 0; route < catalog.routes.size(); ++route)
		{
			index.routesByHost[hostOf(catalog.routes[route].host)].push_back(route);
		}
		for (auto& [host, routes] : index.routesByHost)
		{
			std::stable_sort(routes.begin(), routes.end(), [&](std::size_t _a, std::size_t _b) {
				return catalog.routes[_a].pathPrefix.size() > catalog.routes[_b].pathPrefix.size();
			});
		}
		for (std::size_t organisation = 0; organisation < catalog.organisations.size(); ++organisation)
		{
			for (const std::string& key : catalog.organisations[organisation].keys)
			{
				index.organisationByKey.emplace(key, organisation);
			}
		}
		for (std::size_t service = 0; service < catalog.services.size(); ++service)
		{
			index.serviceByName.emplace(catalog.services[service].name, service);
		}
		return index;
	}

	const CatalogRoute* findRoute(const CatalogIndex& _index, std::string_view _host, std::string_view _target)
	{
		const auto it = _index.routesByHost.find(hostOf(_host));
		if (_index.routesByHost.end() == it)
		{
			return nullptr;
		}
		const std::string_view path = pathOf(_target);
		for (const std::size_t route : it->second)
		{
			if (path.starts_with(_index.catalog.routes[route].pathPrefix))
			{
				return &_index.catalog.routes[route];
			}
		}
		return nullptr;
	}

	const CatalogOrganisation* findOrganisation(const CatalogIndex& _index, std::string_view _key)
	{
		const auto it = _index.organisationByKey.find(asAbsl(_key));
		return _index.organisationByKey.end() == it ? nullptr : &_index.catalog.organisations[it->second];
	}

	const CatalogService* findService(const CatalogIndex& _index, std::string_view _name)
	{
		const auto it = _index.serviceByName.find(asAbsl(_name));
		return _index.serviceByName.end() == it ? nullptr : &_index.catalog.services[it->second];
	}

	const WeightedService* chooseService(const CatalogRoute& _route, double _draw)
	{
		double total = 0.0;
		for (const WeightedService& service : _route.services)
		{
			total += service.weight;
		}
		double remaining = _draw * total;
		for (const WeightedService& service : _route.services)
		{
			remaining -= service.weight;
			if (remaining < 0.0)
			{
				return &service;
			}
		}
		return nullptr;
	}

	bool mayRepeat(const CatalogRoute& _route)
	{
		return Repeat::Always == _route.repeat || (_route.stream && _route.resumable);
	}
} // namespace archdyke
