/// Run ledger: what it proves, and equivalence with a reference ledger that keeps the full history.
#include <algorithm>
#include <set>

#include "archdyke/ledger.h"
#include "base/config.h"
#include "check.h"

using namespace archdyke;

namespace
{
	constexpr std::uint64_t kAgent = 7;

	Ledger freshLedger()
	{
		Ledger ledger;
		ledger.incarnation = kAgent;
		return ledger;
	}

	Session session(std::uint64_t _number, std::uint64_t _entry = 1)
	{
		return {_entry, kAgent, _number};
	}
} // namespace

Test(ledger, revoke_before_start_proves_not_run)
{
	Ledger ledger = freshLedger();
	const RunKey key{"r", 0};
	cr_assert(RefusalReason::None == offerRun(ledger, key, session(1), false, 0));
	cr_assert(RevokeState::NotRun == revokeRun(ledger, key, session(2), 1));
	cr_assert(!startRun(ledger, key));
}

Test(ledger, late_copy_of_a_revoked_dispatch_is_refused)
{
	Ledger ledger = freshLedger();
	const RunKey key{"r", 0};
	cr_assert(RevokeState::NotRun == revokeRun(ledger, key, session(2), 0));
	cr_assert(RefusalReason::OldSession == offerRun(ledger, key, session(1), false, 1));
	cr_assert(RefusalReason::Revoked == offerRun(ledger, key, session(2), false, 2));
}

Test(ledger, revoke_on_an_old_session_proves_nothing)
{
	Ledger ledger = freshLedger();
	openSession(ledger, session(3), 0);
	cr_assert(RevokeState::Unknown == revokeRun(ledger, {"r", 0}, session(2), 1));
}

Test(ledger, another_incarnation_knows_nothing)
{
	Ledger ledger = freshLedger();
	cr_assert(RefusalReason::WrongIncarnation == offerRun(ledger, {"r", 0}, {1, kAgent + 1, 1}, true, 0));
	cr_assert(RevokeState::Unknown == revokeRun(ledger, {"r", 0}, {1, kAgent + 1, 1}, 0));
}

Test(ledger, not_repeatable_runs_once_over_all_attempts)
{
	Ledger ledger = freshLedger();
	cr_assert(RefusalReason::None == offerRun(ledger, {"r", 0}, session(1), false, 0));
	cr_assert(RefusalReason::Duplicate == offerRun(ledger, {"r", 1}, session(1), false, 0));
	cr_assert(startRun(ledger, {"r", 0}));
	finishRun(ledger, {"r", 0}, 1);
	cr_assert(RefusalReason::Duplicate == offerRun(ledger, {"r", 2}, session(1), false, 2));
}

Test(ledger, keeps_runs_as_long_as_they_can_be_revoked)
{
	Ledger ledger = freshLedger();
	offerRun(ledger, {"r", 0}, session(1), false, 0);
	startRun(ledger, {"r", 0});
	finishRun(ledger, {"r", 0}, 10);
	removeExpiredRuns(ledger, 10 + kLedgerRetentionMs);
	cr_assert(RevokeState::Started == revokeRun(ledger, {"r", 0}, session(1), 10 + kLedgerRetentionMs));
	removeExpiredRuns(ledger, 11 + kLedgerRetentionMs);
	cr_assert(ledger.runs.empty());
	cr_assert(kLedgerRetentionMs > kMaxDeadlineMs);
}

namespace
{
	enum class Step
	{
		Hello,
		Offer,
		Start,
		Finish,
		Revoke,
		Count
	};

	struct Event
	{
		Step step;
		RunKey key;
		Session from;
		bool repeatable;
	};

	Event makeEvent()
	{
		Event event;
		event.step = Step(*rc::gen::inRange(0, int(Step::Count)));
		event.key = {*rc::gen::element<std::string>("a", "b"), std::uint32_t(*rc::gen::inRange(0, 3))};
		event.from = session(std::uint64_t(*rc::gen::inRange(1, 5)), std::uint64_t(*rc::gen::inRange(1, 3)));
		event.repeatable = "a" == event.key.requestId;
		return event;
	}

	/// Reference model: a list of all events, searched for each query.
	struct ReferenceLedger
	{
		struct Entry
		{
			std::string what;
			RunKey key;
			Session from;
		};

		std::vector<Entry> history;

		bool happened(const std::string& _what, const RunKey& _key) const
		{
			return std::any_of(this->history.begin(), this->history.end(), [&](const Entry& _entry) {
				return _what == _entry.what && _key == _entry.key;
			});
		}

		bool isOld(const Session& _session) const
		{
			return std::any_of(this->history.begin(), this->history.end(), [&](const Entry& _entry) {
				return "session" == _entry.what && _session.entry == _entry.from.entry && _session.number < _entry.from.number;
			});
		}

		bool anotherTry(const RunKey& _key) const
		{
			return std::any_of(this->history.begin(), this->history.end(), [&](const Entry& _entry) {
				return "queued" == _entry.what && _key.requestId == _entry.key.requestId && !this->happened("revoked", _entry.key);
			});
		}

		RefusalReason offer(const Event& _event)
		{
			if (this->isOld(_event.from))
			{
				return RefusalReason::OldSession;
			}
			this->history.push_back({"session", {}, _event.from});
			if (this->happened("revoked", _event.key))
			{
				return RefusalReason::Revoked;
			}
			if (this->happened("queued", _event.key) || (!_event.repeatable && this->anotherTry(_event.key)))
			{
				return RefusalReason::Duplicate;
			}
			this->history.push_back({"queued", _event.key, _event.from});
			return RefusalReason::None;
		}

		bool start(const RunKey& _key)
		{
			const bool may = this->happened("queued", _key) && !this->happened("revoked", _key) && !this->happened("started", _key);
			if (may)
			{
				this->history.push_back({"started", _key, {}});
			}
			return may;
		}

		RevokeState revoke(const Event& _event)
		{
			if (this->isOld(_event.from))
			{
				return RevokeState::Unknown;
			}
			this->history.push_back({"session", {}, _event.from});
			if (this->happened("started", _event.key))
			{
				return RevokeState::Started;
			}
			this->history.push_back({"revoked", _event.key, _event.from});
			return RevokeState::NotRun;
		}
	};

	/// Applies an event to both ledgers and checks the invariants.
	void applyBoth(Ledger& _ledger, ReferenceLedger& _reference, const Event& _event, std::set<RunKey>& _provedNotRun, std::multiset<std::string>& _starts)
	{
		switch (_event.step)
		{
		case Step::Hello:
			openSession(_ledger, _event.from, 0);
			if (!_reference.isOld(_event.from))
			{
				_reference.history.push_back({"session", {}, _event.from});
			}
			return;
		case Step::Offer:
			RC_ASSERT(offerRun(_ledger, _event.key, _event.from, _event.repeatable, 0) == _reference.offer(_event));
			return;
		case Step::Start:
		{
			const bool started = startRun(_ledger, _event.key);
			RC_ASSERT(started == _reference.start(_event.key));
			RC_ASSERT(!started || !_provedNotRun.contains(_event.key));
			if (started)
			{
				_starts.insert(_event.key.requestId);
			}
			return;
		}
		case Step::Finish:
			finishRun(_ledger, _event.key, 0);
			return;
		default:
		{
			const RevokeState state = revokeRun(_ledger, _event.key, _event.from, 0);
			RC_ASSERT(state == _reference.revoke(_event));
			if (RevokeState::NotRun == state)
			{
				_provedNotRun.insert(_event.key);
			}
		}
		}
	}
} // namespace

Test(ledger, matches_the_reference_ledger_and_its_proofs_hold)
{
	tests::checkProperty("ledger against full history", [] {
		Ledger ledger = freshLedger();
		ReferenceLedger reference;
		std::set<RunKey> provedNotRun;
		std::multiset<std::string> starts;
		const int length = *rc::gen::inRange(1, 60);
		for (int index = 0; index < length; ++index)
		{
			applyBoth(ledger, reference, makeEvent(), provedNotRun, starts);
			RC_ASSERT(starts.count("b") <= 1u); // "b" is not repeatable
		}
	});
}
