/// What a coordinator does when the store comes back from an earlier copy.
#include <algorithm>
#include <utility>

#include "archdyke/errors.h"
#include "archdyke/map_window.h"
#include "base/log.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// @returns The term of a group's row; 0 when it can't be read.
		std::uint64_t termIn(const store::Row& _row)
		{
			try
			{
				return decodeIntent(_row.value).term;
			}
			catch (const InvalidInputError& error)
			{
				logError("group_row_unreadable", {{"row_version", store::versionText(_row.version)}, {"reason", error.what()}});
				return 0;
			}
		}
	} // namespace

	bool Coordinator::rowMayBeOld() const
	{
		return this->intent.era < store::eraOf(this->rowVersion);
	}

	void Coordinator::recoverMap(const std::vector<RankView>& _ranks)
	{
		const std::uint64_t map = _ranks.empty() ? 0 : _ranks.front().map;
		const auto known = this->dependencies.groupState.maps.find(map);
		const bool sameMap = std::all_of(_ranks.begin(), _ranks.end(), [&](const RankView& _rank) {
			return _rank.seen && _rank.map == map;
		});
		if (0 == map || map == this->intent.inForceVersion || this->switchIsOpen() || !sameMap || !this->model || this->dependencies.groupState.maps.end() == known)
		{
			return;
		}
		logWarning("map_recovered", {{"group", this->group}, {"version", map}, {"row_has", this->intent.inForceVersion}, {"epoch", _ranks.front().epoch}});
		SwitchIntent intent = this->intent;
		intent.inForceVersion = map;
		intent.inForce = hostsOf(known->second, this->model->experts);
		this->adopt(std::move(intent));
	}

	aio::Task<void> Coordinator::recoverFromRestoration()
	{
		if (this->copiedRowVersion)
		{
			co_await this->rewriteRow();
		}
		if (this->rowMayBeOld())
		{
			this->recoverMap(this->views(kViewMaxAgeMs));
		}
	}

	void Coordinator::recordCopiedRow(const store::Rows& _rows)
	{
		const store::RowKey key = groupRowKey(this->dependencies.settings.service, this->group);
		const auto found = std::find_if(_rows.rows.begin(), _rows.rows.end(), [&](const store::Row& _row) {
			return _row.key == key;
		});
		if (_rows.rows.end() != found && termIn(*found) > this->intent.term)
		{
			this->adoptRow(*found); // another coordinator has taken over since
			return;
		}
		this->copiedRowVersion = _rows.rows.end() == found ? store::makeVersion(_rows.era, 0) : found->version;
	}

	aio::Task<void> Coordinator::rewriteRow()
	{
		const std::uint64_t before = this->rowVersion;
		const std::uint64_t termBefore = this->intent.term;
		const std::uint64_t copied = *std::exchange(this->copiedRowVersion, std::nullopt);
		SwitchIntent row = rewrittenRow(this->intent, store::eraOf(before), store::eraOf(copied));
		if (SwitchPhase::Preparing == row.phase)
		{
			row.phase = SwitchPhase::Idle; // never stored; the next plan prepares anew
			row.map.clear();
		}
		this->rowVersion = 0 == store::counterOf(copied) ? 0 : copied;
		co_await this->writeRow(std::move(row), "store_restored");
		if (termBefore == this->intent.term)
		{
			this->rowVersion = before; // not written: the next read of the row finds it again
		}
	}
} // namespace archdyke::group
