#include "archdyke/evacuation.h"

#include <algorithm>
#include <set>

namespace archdyke
{
	namespace
	{
		void takeRow(OperatorTable& _table, const EvacuationRow& _row, std::vector<ZoneChange>& _changes)
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

		/// Zones in force that a whole read doesn't name were taken back at some version up to its own.
		void takeBackUnnamed(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, std::vector<ZoneChange>& _changes)
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

	std::vector<ZoneChange> takeEvacuations(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, bool _whole)
	{
		std::vector<ZoneChange> changes;
		for (const EvacuationRow& row : _rows)
		{
			takeRow(_table, row, changes);
			noteChange(_table, row.version);
		}
		if (_whole)
		{
			takeBackUnnamed(_table, _rows, _version, changes);
			// Rows may have come and gone that others still know: only this version covers that.
			noteChange(_table, 0 == _table.knownUpTo ? 0 : _version);
			_table.wholeAt = std::max(_table.wholeAt, _version);
		}
		_table.knownUpTo = std::max(_table.knownUpTo, _version);
		return changes;
	}

	void noteChange(OperatorTable& _table, std::uint64_t _version)
	{
		_table.changedAt = std::max(_table.changedAt, _version);
	}

	void noteToldChange(OperatorTable& _table, std::uint64_t _told)
	{
		if (_table.changedAt < _told && !isBehind(_table, _told))
		{
			noteChange(_table, std::max(_told, _table.wholeAt));
		}
	}

	bool covers(const OperatorTable& _table, std::uint64_t _told)
	{
		return 0 != _told && _table.changedAt <= _told && !isBehind(_table, _told);
	}

	bool isBehind(const OperatorTable& _table, std::uint64_t _told)
	{
		return _table.knownUpTo < _told;
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
