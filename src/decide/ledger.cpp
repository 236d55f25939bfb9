#include "archdyke/ledger.h"

#include <algorithm>

#include "base/config.h"

namespace archdyke
{
	namespace
	{
		RunRecord* findRun(Ledger& _ledger, const RunKey& _key)
		{
			const auto it = _ledger.runs.find(_key.requestId);
			if (_ledger.runs.end() == it)
			{
				return nullptr;
			}
			const auto record = std::find_if(it->second.begin(), it->second.end(), [&](const RunRecord& _record) {
				return _key.attempt == _record.attempt;
			});
			return it->second.end() == record ? nullptr : &*record;
		}

		bool isOldSession(const Ledger& _ledger, const Session& _session)
		{
			const auto it = _ledger.floors.find(_session.entry);
			return _ledger.floors.end() != it && _session.number < it->second.number;
		}

		bool mayHaveRunBefore(const Ledger& _ledger, const std::string& _requestId)
		{
			const auto it = _ledger.runs.find(_requestId);
			if (_ledger.runs.end() == it)
			{
				return false;
			}
			return std::any_of(it->second.begin(), it->second.end(), [](const RunRecord& _record) {
				return RunState::Revoked != _record.state;
			});
		}

		void endRun(Ledger& _ledger, const RunKey& _key, RunRecord& _record, RunState _state, Millis _now)
		{
			_record.state = _state;
			_ledger.active -= 1;
			_ledger.ended.push_back({_key, _now});
		}

		void eraseRun(Ledger& _ledger, const RunKey& _key)
		{
			const auto it = _ledger.runs.find(_key.requestId);
			if (_ledger.runs.end() == it)
			{
				return;
			}
			std::erase_if(it->second, [&](const RunRecord& _record) {
				return _key.attempt == _record.attempt;
			});
			if (it->second.empty())
			{
				_ledger.runs.erase(it);
			}
		}
	} // namespace

	bool openSession(Ledger& _ledger, const Session& _session, Millis _now)
	{
		if (isOldSession(_ledger, _session))
		{
			return false;
		}
		_ledger.floors[_session.entry] = {_session.number, _now};
		return true;
	}

	RefusalReason offerRun(Ledger& _ledger, const RunKey& _key, const Session& _session, bool _repeatable, Millis _now)
	{
		if (_session.agent != _ledger.incarnation)
		{
			return RefusalReason::WrongIncarnation;
		}
		if (!openSession(_ledger, _session, _now))
		{
			return RefusalReason::OldSession;
		}
		if (const RunRecord* record = findRun(_ledger, _key))
		{
			return RunState::Revoked == record->state ? RefusalReason::Revoked : RefusalReason::Duplicate;
		}
		if (!_repeatable && mayHaveRunBefore(_ledger, _key.requestId))
		{
			return RefusalReason::Duplicate;
		}
		if (_ledger.leaving)
		{
			return RefusalReason::Leaving;
		}
		if (kMaxLedgerRuns <= _ledger.active + _ledger.ended.size())
		{
			return RefusalReason::Overloaded;
		}
		_ledger.runs[_key.requestId].push_back({_key.attempt, RunState::Queued});
		_ledger.active += 1;
		return RefusalReason::None;
	}

	bool startRun(Ledger& _ledger, const RunKey& _key)
	{
		RunRecord* record = findRun(_ledger, _key);
		if (nullptr == record || RunState::Queued != record->state)
		{
			return false;
		}
		record->state = RunState::Started;
		return true;
	}

	void finishRun(Ledger& _ledger, const RunKey& _key, Millis _now)
	{
		RunRecord* record = findRun(_ledger, _key);
		if (nullptr != record && RunState::Started == record->state)
		{
			endRun(_ledger, _key, *record, RunState::Done, _now);
		}
	}

	void withdrawRun(Ledger& _ledger, const RunKey& _key, Millis _now)
	{
		RunRecord* record = findRun(_ledger, _key);
		if (nullptr != record && RunState::Started == record->state)
		{
			endRun(_ledger, _key, *record, RunState::Revoked, _now);
		}
	}

	bool dropRun(Ledger& _ledger, const RunKey& _key, Millis _now)
	{
		RunRecord* record = findRun(_ledger, _key);
		if (nullptr == record || RunState::Queued != record->state)
		{
			return false;
		}
		endRun(_ledger, _key, *record, RunState::Revoked, _now);
		return true;
	}

	RevokeState revokeRun(Ledger& _ledger, const RunKey& _key, const Session& _session, Millis _now)
	{
		if (_session.agent != _ledger.incarnation)
		{
			return RevokeState::Unknown;
		}
		// A copy of the dispatch may still be in flight on an older connection, so the session floor is
		// raised before anything is proved. A revoke on an old session proves nothing.
		if (!openSession(_ledger, _session, _now))
		{
			return RevokeState::Unknown;
		}
		RunRecord* record = findRun(_ledger, _key);
		if (nullptr == record)
		{
			_ledger.runs[_key.requestId].push_back({_key.attempt, RunState::Revoked});
			_ledger.ended.push_back({_key, _now});
			return RevokeState::NotRun;
		}
		if (RunState::Queued == record->state)
		{
			endRun(_ledger, _key, *record, RunState::Revoked, _now);
		}
		return RunState::Revoked == record->state ? RevokeState::NotRun : RevokeState::Started;
	}

	void removeExpiredRuns(Ledger& _ledger, Millis _now)
	{
		while (!_ledger.ended.empty() && kLedgerRetentionMs < _now - _ledger.ended.front().endedAt)
		{
			eraseRun(_ledger, _ledger.ended.front().key);
			_ledger.ended.pop_front();
		}
		absl::erase_if(_ledger.floors, [&](const auto& _floor) {
			return kSessionFloorRetentionMs < _now - _floor.second.seenAt;
		});
	}
} // namespace archdyke
