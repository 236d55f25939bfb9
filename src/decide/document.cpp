#include "archdyke/document.h"

#include <algorithm>
#include <map>
#include <set>

#include "archdyke/fields.h"
#include "base/config.h"

namespace archdyke
{
	namespace
	{
		constexpr std::size_t kMaxNameBytes = 64;
		constexpr std::size_t kDigestHexBytes = 64;
		constexpr std::uint32_t kMaxRanks = 4096;
		constexpr std::uint32_t kMaxExperts = 4096;

		bool isName(const std::string& _text)
		{
			return std::all_of(_text.begin(), _text.end(), [](char _c) {
				return ('a' <= _c && _c <= 'z') || ('0' <= _c && _c <= '9') || '-' == _c;
			});
		}

		std::string readName(ObjectReader& _reader, const std::string& _field)
		{
			std::string name = _reader.text(_field, kMaxNameBytes);
			if (!isName(name))
			{
				_reader.problem(_field, "\"" + name + "\"", "use small letters, digits and hyphens only");
			}
			return name;
		}

		Zone readZone(ObjectReader& _reader)
		{
			Zone zone;
			zone.name = readName(_reader, "name");
			zone.region = readName(_reader, "region");
			zone.distanceMs = _reader.numberOr("distanceMs", 0.0, 1000.0, 1.5);
			return zone;
		}

		RouteRule readRule(ObjectReader& _reader)
		{
			RouteRule rule;
			rule.method = _reader.text("method");
			rule.pathPrefix = _reader.text("pathPrefix");
			if (!rule.pathPrefix.empty() && '/' != rule.pathPrefix.front())
			{
				_reader.problem("pathPrefix", "\"" + rule.pathPrefix + "\"", "start it with a slash");
			}
			return rule;
		}

		Service readService(ObjectReader& _reader)
		{
			Service service;
			service.name = readName(_reader, "name");
			service.kind = 0 == _reader.choice("kind", {"model", "plain"}) ? ServiceKind::Model : ServiceKind::Plain;
			service.deadlineMs = _reader.integer("deadlineMs", 1, kMaxDeadlineMs);
			if (ServiceKind::Model == service.kind)
			{
				service.experts = std::uint32_t(_reader.integer("experts", 1, kMaxExperts));
				service.layers = std::uint32_t(_reader.integer("layers", 1, 1024));
				_reader.object("placement", [&](ObjectReader& _placement) {
					service.placement.skewTolerance = _placement.number("skewTolerance", 0.0, 10.0);
					service.placement.expertsPerMinute = _placement.number("expertsPerMinute", 0.0, 1e6);
				});
			}
			else
			{
				_reader.objects("notRepeatable", false, [&](ObjectReader& _rule) {
					service.notRepeatable.push_back(readRule(_rule));
				});
			}
			return service;
		}

		Organisation readOrganisation(ObjectReader& _reader)
		{
			Organisation organisation;
			organisation.name = readName(_reader, "name");
			organisation.keyDigest = _reader.text("keyDigest");
			const bool hex = std::all_of(organisation.keyDigest.begin(), organisation.keyDigest.end(), [](char _c) {
				return ('a' <= _c && _c <= 'f') || ('0' <= _c && _c <= '9');
			});
			if (!organisation.keyDigest.empty() && (!hex || kDigestHexBytes != organisation.keyDigest.size()))
			{
				_reader.problem("keyDigest", "\"" + organisation.keyDigest + "\"", "write the SHA-256 of the key as 64 small hex digits: printf %s KEY | sha256sum");
			}
			organisation.requestsPerSecond = _reader.number("requestsPerSecond", 0.001, 1e6);
			organisation.burst = _reader.number("burst", 1.0, 1e6);
			organisation.weight = std::uint32_t(_reader.integerOr("weight", 1, 1000, 1));
			return organisation;
		}

		Upstream readUpstream(ObjectReader& _reader)
		{
			Upstream upstream;
			upstream.name = readName(_reader, "name");
			upstream.service = readName(_reader, "service");
			upstream.zone = readName(_reader, "zone");
			upstream.group = _reader.textOr("group", "");
			upstream.rank = std::uint32_t(_reader.integerOr("rank", 0, kMaxRanks - 1, 0));
			return upstream;
		}

		template <typename Item>
		void checkNames(const std::vector<Item>& _items, const std::string& _list, std::vector<Problem>& _problems)
		{
			std::map<std::string, std::size_t> seen;
			for (std::size_t index = 0; index < _items.size(); ++index)
			{
				const auto [it, isNew] = seen.emplace(_items[index].name, index);
				if (!isNew && !_items[index].name.empty())
				{
					_problems.push_back({_list + "[" + std::to_string(index) + "].name", "\"" + _items[index].name + "\", which " + _list + "[" + std::to_string(it->second) + "] has too", "give each its own name"});
				}
			}
		}

		bool hasZone(const Document& _document, const std::string& _name)
		{
			return std::any_of(_document.zones.begin(), _document.zones.end(), [&](const Zone& _zone) {
				return _name == _zone.name;
			});
		}

		void checkUpstream(const Document& _document, std::size_t _index, std::vector<Problem>& _problems)
		{
			const Upstream& upstream = _document.upstreams[_index];
			const std::string path = "upstreams[" + std::to_string(_index) + "]";
			if (!upstream.zone.empty() && !hasZone(_document, upstream.zone))
			{
				_problems.push_back({path + ".zone", "\"" + upstream.zone + "\"", "name a zone of this file, or add it to zones"});
			}
			const Service* service = findService(_document, upstream.service);
			if (nullptr == service && !upstream.service.empty())
			{
				_problems.push_back({path + ".service", "\"" + upstream.service + "\"", "name a service of this file, or add it to services"});
			}
			if (nullptr != service && (ServiceKind::Model == service->kind) == upstream.group.empty())
			{
				const bool model = ServiceKind::Model == service->kind;
				_problems.push_back({path + ".group", model ? "nothing" : "\"" + upstream.group + "\"", model ? "name the group of ranks that it belongs to" : "remove it: a plain service has no groups"});
			}
		}

		void checkGroups(const Document& _document, std::vector<Problem>& _problems)
		{
			std::map<std::string, std::vector<const Upstream*>> groups;
			for (const Upstream& upstream : _document.upstreams)
			{
				if (!upstream.group.empty())
				{
					groups[upstream.group].push_back(&upstream);
				}
			}
			for (const auto& [group, members] : groups)
			{
				std::set<std::uint32_t> ranks;
				for (const Upstream* member : members)
				{
					ranks.insert(member->rank);
					if (member->service != members.front()->service || member->zone != members.front()->zone)
					{
						_problems.push_back({"upstream \"" + member->name + "\"", "another service or zone than the rest of group \"" + group + "\"", "keep a group within one service and one zone"});
					}
				}
				if (ranks.size() != members.size() || *ranks.rbegin() + 1 != ranks.size())
				{
					_problems.push_back({"group \"" + group + "\"", "ranks that are not 0 to " + std::to_string(members.size() - 1), "number the ranks of a group from 0 without gaps"});
				}
			}
		}

		void checkKeys(const Document& _document, std::vector<Problem>& _problems)
		{
			std::map<std::string, std::string> owners;
			for (const Organisation& organisation : _document.organisations)
			{
				const auto [it, isNew] = owners.emplace(organisation.keyDigest, organisation.name);
				if (!isNew && !organisation.keyDigest.empty())
				{
					_problems.push_back({"organisation \"" + organisation.name + "\".keyDigest", "the key of \"" + it->second + "\"", "give each organisation its own key"});
				}
			}
		}

		template <typename Item>
		void diffItems(const std::string& _what, const std::vector<Item>& _from, const std::vector<Item>& _to, std::vector<std::string>& _lines)
		{
			std::map<std::string, const Item*> from;
			for (const Item& item : _from)
			{
				from[item.name] = &item;
			}
			for (const Item& item : _to)
			{
				const auto it = from.find(item.name);
				if (from.end() == it)
				{
					_lines.push_back("add " + _what + " " + item.name);
					continue;
				}
				if (*it->second != item)
				{
					_lines.push_back("change " + _what + " " + item.name);
				}
				from.erase(it);
			}
			for (const auto& [name, item] : from)
			{
				_lines.push_back("remove " + _what + " " + name);
			}
		}
	} // namespace

	std::string_view toString(ServiceKind _kind)
	{
		return ServiceKind::Model == _kind ? "model" : "plain";
	}

	Document parseDocument(const std::string& _source, std::string_view _text)
	{
		const nlohmann::json json = parseJson(_source, _text);
		std::vector<Problem> problems;
		Document document;
		ObjectReader reader(json, "", problems);
		document.office = readName(reader, "office");
		reader.objects("zones", true, [&](ObjectReader& _item) {
			document.zones.push_back(readZone(_item));
		});
		reader.objects("services", true, [&](ObjectReader& _item) {
			document.services.push_back(readService(_item));
		});
		reader.objects("organisations", true, [&](ObjectReader& _item) {
			document.organisations.push_back(readOrganisation(_item));
		});
		reader.objects("upstreams", true, [&](ObjectReader& _item) {
			document.upstreams.push_back(readUpstream(_item));
		});
		reader.finish();
		checkNames(document.zones, "zones", problems);
		checkNames(document.services, "services", problems);
		checkNames(document.organisations, "organisations", problems);
		checkNames(document.upstreams, "upstreams", problems);
		checkKeys(document, problems);
		for (std::size_t index = 0; index < document.upstreams.size(); ++index)
		{
			checkUpstream(document, index, problems);
		}
		checkGroups(document, problems);
		if (!problems.empty())
		{
			throw InvalidInputError(_source, std::move(problems));
		}
		return document;
	}

	const Service* findService(const Document& _document, std::string_view _name)
	{
		const auto it = std::find_if(_document.services.begin(), _document.services.end(), [&](const Service& _service) {
			return _name == _service.name;
		});
		return _document.services.end() == it ? nullptr : &*it;
	}

	std::vector<std::string> diffDocuments(const Document& _from, const Document& _to)
	{
		std::vector<std::string> lines;
		if (_from.office != _to.office)
		{
			lines.push_back("change office from " + _from.office + " to " + _to.office);
		}
		diffItems("zone", _from.zones, _to.zones, lines);
		diffItems("service", _from.services, _to.services, lines);
		diffItems("organisation", _from.organisations, _to.organisations, lines);
		diffItems("upstream", _from.upstreams, _to.upstreams, lines);
		return lines;
	}

	bool isRepeatableCall(const Service& _service, std::string_view _method, std::string_view _path)
	{
		return std::none_of(_service.notRepeatable.begin(), _service.notRepeatable.end(), [&](const RouteRule& _rule) {
			return _method == _rule.method && _path.starts_with(_rule.pathPrefix);
		});
	}
} // namespace archdyke
