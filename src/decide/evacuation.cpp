#include "archdyke/evacuation.h"

#include <algorithm>
#include <set>

namespace archdyke
{
	namespace
	{
		void applyRow(OperatorTable& _table, const EvacuationRow& _row, std::vector<ZoneChange>& _changes)
		{
			ZoneEvacuation& known = _table.zones[_row.zone];
			if (_row.version <= known.version)
			{
				return;
			}
			const bool changes = known.inForce == _row.gone;
			known = {_row.version, !_row.gone};
			if (changes)
			{
				_changes.push_back({_row.zone, _row.version, known.inForce});
			}
		}

		/// Ends the evacuation of zones without a row in a full read: it ended at or before that version.
		void endUnnamedEvacuations(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, std::vector<ZoneChange>& _changes)
		{
			std::set<std::string> named;
			for (const EvacuationRow& row : _rows)
			{
				named.insert(row.zone);
			}
			for (auto& [zone, known] : _table.zones)
			{
				if (!known.inForce || named.contains(zone) || _version < known.version)
				{
					continue;
				}
				known = {_version, false};
				_changes.push_back({zone, _version, false});
			}
		}
	} // namespace

	std::vector<ZoneChange> applyEvacuationRows(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, bool _whole)
	{
		std::vector<ZoneChange> changes;
		for (const EvacuationRow& row : _rows)
		{
			applyRow(_table, row, changes);
		}
		if (_whole)
		{
			endUnnamedEvacuations(_table, _rows, _version, changes);
		}
		_table.knownVersion = std::max(_table.knownVersion, _version);
		return changes;
	}

	bool isMissingChange(const OperatorTable& _table, std::uint64_t _changedAt)
	{
		return _table.knownVersion < _changedAt;
	}

	bool isEvacuated(const OperatorTable& _table, const std::string& _zone)
	{
		const auto known = _table.zones.find(_zone);
		return _table.zones.end() != known && known->second.inForce;
	}

	std::vector<std::string> evacuatedZones(const OperatorTable& _table)
	{
		std::vector<std::string> result;
		for (const auto& [zone, known] : _table.zones)
		{
			if (known.inForce)
			{
				result.push_back(zone);
			}
		}
		return result;
	}
} // namespace archdyke
