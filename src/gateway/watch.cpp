#include "gateway/watch.h"

#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "store/read_whole.h"

namespace archdyke::gateway
{
	namespace
	{
		/// How long a call for changes of the configuration hangs, as a share of the bound on
		/// withdrawn keys: the proof is as old at most, so that a call that fails at once leaves
		/// time for others. Each call is paid for.
		constexpr double kWaitShareOfRevocation = 0.45;
		constexpr Millis kMostWaitMs = 5'000; ///< At most, however long the bound is.
		/// The same for a gateway that asks for others too, ms: they rely on its proof, see
		/// kNewsShareOfChange.
		constexpr Millis kReaderWaitMs = 500;
		/// How long a call for changes of the upstreams hangs, ms: a change ends it at once, and
		/// so does a failed call for the configuration.
		constexpr Millis kUpstreamsWaitMs = 10'000;
		/// Between two calls that brought changes of the configuration, ms: changes that come close
		/// together come in one answer, since each call is paid for.
		constexpr Millis kConfigurationPauseMs = 120;
		/// Before a call is tried again after a failure, ms, and the most it grows to.
		constexpr Millis kRetryMs = 150;
		constexpr Millis kMostRetryMs = 600;
		/// While others are there to tell what one of them learns, all gateways together try so often, ms
		/// between two tries: 149 of them made 500 calls a second to a store that was down, 15 find as
		/// soon that it is back.
		constexpr double kRetryMsPerGateway = 70.0;
		constexpr Millis kMostSharedRetryMs = 5'000;
		/// How long a call for a first configuration hangs, ms: there is nothing to prove yet.
		constexpr Millis kFirstWaitMs = 10'000;
		/// A coordinator that told nothing for this long is gone, ms: some of its answers.
		constexpr Millis kToldMaxAgeMs = 700;
		/// What was told of the store counts while it is younger than this share of the time in which a
		/// change is to be in force. It bounds how late a change is noticed when the teller has lost the
		/// store, and leaves time for a call of one's own.
		constexpr double kNewsShareOfChange = 0.6;
		/// Pause after changes of the upstreams, as a share of that time.
		constexpr double kPauseShareOfChange = 0.15;
		/// While a zone is evacuated a gateway asks for itself so often, ms: those that tell it of the store may
		/// have read the table whole after it was taken back, without ever having known of it.
		constexpr Millis kEvacuatedLookMs = 10'000;
		/// Between two looks whether enough is told, ms.
		constexpr Millis kToldLookMs = 50;
		/// From this share of the bound on withdrawn keys on, a store that nobody had an answer of
		/// was away: upstreams' rows lapse after some longer time.
		constexpr double kAwayShareOfRevocation = 0.6;
		/// Pause after an answer that brought crashes, ms: those of one upstream are told by several gateways.
		constexpr Millis kCrashesPauseMs = 500;
		/// Names of the tables in the log.
		constexpr std::string_view kConfiguration = "configuration";
		constexpr std::string_view kUpstreams = "upstreams";
		constexpr std::string_view kCrashes = "crashes";
	} // namespace

	StoreWatch::StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders)
	    : state(_state)
	    , store(_store)
	    , names(std::move(_names))
	    , decoders(_decoders)
	    , crashTeller(_state, _store)
	{
		const auto fatal = [](kj::Exception&& _error) {
			logError("watch_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		};
		const Feed configurationFeed{kConfiguration, &StoreWatch::nextConfiguration, &StoreWatch::takeOperators, kConfigurationPauseMs, &this->operatorsSince, &this->configurationAnswered, &StoreWatch::configurationIsTold};
		const Feed upstreamsFeed{kUpstreams, &StoreWatch::nextUpstreams, &StoreWatch::takeUpstreams, this->shareOfChange(kPauseShareOfChange), &this->upstreamsSince, &this->upstreamsAnswered, &StoreWatch::upstreamsAreTold};
		const Feed crashesFeed{kCrashes, &StoreWatch::nextCrashes, &StoreWatch::takeCrashes, kCrashesPauseMs, &this->crashesSince, &this->crashesAnswered, &StoreWatch::crashesNeedNoCall};
		this->followingConfiguration = this->follow(configurationFeed).take().eagerlyEvaluate(fatal);
		this->followingUpstreams = this->follow(upstreamsFeed).take().eagerlyEvaluate(fatal);
		this->followingCrashes = this->follow(crashesFeed).take().eagerlyEvaluate(fatal);
		this->followingTime = this->followTime().take().eagerlyEvaluate(fatal);
	}

	void StoreWatch::noteCall(const Feed& _feed, bool _answered, const std::string& _reason)
	{
		const bool before = *_feed.answered;
		*_feed.answered = _answered;
		if (!before && _answered && kUpstreams == _feed.name)
		{
			this->upstreamsBackAt = nowMs();
		}
		if (!_answered && kConfiguration == _feed.name)
		{
			this->interruptLongCalls();
		}
		if (before != _answered)
		{
			logWarning(_answered ? "store_back" : "store_lost", {{"table", _feed.name}, {"reason", _reason}, {"proof_age_ms", proofAge(this->state.freshness, nowMs()).value_or(-1)}, {"catalog", versionOf(this->state.catalog)}});
		}
	}

	void StoreWatch::interruptLongCalls()
	{
		for (kj::PromiseFulfiller<store::Rows>* interrupt : {this->upstreamsInterrupt.get(), this->crashesInterrupt.get()})
		{
			if (nullptr != interrupt)
			{
				interrupt->reject(KJ_EXCEPTION(DISCONNECTED, "another call to the store failed"));
			}
		}
	}

	Millis StoreWatch::shareOfRevocation(double _share) const
	{
		return Millis(_share * double(this->state.settings.bounds.revocationMs));
	}

	Millis StoreWatch::shareOfChange(double _share) const
	{
		return Millis(_share * double(this->state.settings.bounds.changeMs));
	}

	store::ConfigurationProof StoreWatch::proof() const
	{
		const Freshness& freshness = this->state.freshness;
		const bool proven = freshness.provenAt && freshness.offset && nullptr != this->state.catalog;
		return proven ? store::ConfigurationProof{this->state.operators.changedAt, *freshness.provenAt - *freshness.offset} : store::ConfigurationProof();
	}

	std::uint64_t StoreWatch::upstreamsVersion() const
	{
		return this->upstreamsSince.value_or(0);
	}

	bool StoreWatch::configurationIsTold() const
	{
		const Millis now = nowMs();
		if (now < this->settlesUntil && !this->isReader)
		{
			return true;
		}
		const bool told = now - this->toldAt <= kToldMaxAgeMs && !this->isReader;
		const Millis mostMs = this->shareOfChange(kNewsShareOfChange);
		const bool fresh = proofAge(this->state.freshness, now).value_or(mostMs) < mostMs;
		return told && fresh && !isBehind(this->state.operators, this->toldProof.changedAt) && !this->evacuationIsUnsure(now) && 0 == this->unreadableRow;
	}

	bool StoreWatch::evacuationIsUnsure(Millis _now) const
	{
		return !evacuatedZones(this->state.operators).empty() && _now - this->operatorsReadAt > kEvacuatedLookMs;
	}

	bool StoreWatch::upstreamsAreTold() const
	{
		if (nullptr == this->state.catalog)
		{
			return true; // without routes nobody needs them, and they register one by one
		}
		if (!this->upstreamsSince)
		{
			return false;
		}
		const Millis now = nowMs();
		const bool told = now - this->toldAt <= kToldMaxAgeMs && now - this->upstreamsToldFrom < this->shareOfChange(kNewsShareOfChange);
		return now < this->settlesUntil || told;
	}

	Millis StoreWatch::retryAfter(Millis _retryMs)
	{
		const bool shared = nowMs() - this->toldAt <= kToldMaxAgeMs;
		const double all = kRetryMsPerGateway * double(this->toldGateways);
		const Millis pauseMs = shared ? std::max(_retryMs, std::min(kMostSharedRetryMs, Millis(all))) : _retryMs;
		return pauseMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(pauseMs) + 1));
	}

	aio::Task<void> StoreWatch::waitUnlessTold(Millis _pauseMs)
	{
		// Another gateway's proof says that the store is back, and perhaps that there is a newer
		// configuration: one that slept on was 4 s late with it.
		const store::ConfigurationProof before = this->toldProof;
		const Millis until = nowMs() + _pauseMs;
		while (nowMs() < until && this->toldProof == before)
		{
			co_await this->state.loop.timer.afterDelay(std::min(kToldLookMs, _pauseMs) * kj::MILLISECONDS);
		}
	}

	Millis StoreWatch::configurationWait() const
	{
		if (nullptr == this->state.catalog)
		{
			return kFirstWaitMs;
		}
		if (isBehind(this->state.operators, this->toldProof.changedAt))
		{
			return 0; // there is a change, or a whole read that covers one; the answer tells up to there
		}
		if (this->isReader)
		{
			return kReaderWaitMs;
		}
		const Millis usual = std::min(kMostWaitMs, this->shareOfRevocation(kWaitShareOfRevocation));
		const Millis age = proofAge(this->state.freshness, nowMs()).value_or(0);
		return std::max<Millis>(0, usual - age); // what was told has an age already
	}

	void StoreWatch::noteReader(const CoordinatorNews& _news)
	{
		const Millis now = nowMs();
		this->readerFor.erase(_news.teller);
		if (_news.reader)
		{
			this->readerFor[_news.teller] = now;
		}
		std::erase_if(this->readerFor, [&](const auto& _entry) {
			return now - _entry.second > kToldMaxAgeMs;
		});
		const bool reader = !this->readerFor.empty();
		if (this->isReader != reader)
		{
			logInfo(reader ? "store_reader" : "store_told", {{"teller", _news.teller}, {"proof_age_ms", proofAge(this->state.freshness, now).value_or(-1)}, {"catalog", versionOf(this->state.catalog)}});
		}
		this->isReader = reader;
	}

	void StoreWatch::takeNews(const CoordinatorNews& _news)
	{
		const store::ConfigurationProof& proof = _news.proof;
		const store::TableNews& upstreams = _news.upstreams;
		this->noteReader(_news);
		this->toldAt = nowMs();
		this->toldGateways = _news.gateways;
		this->toldProof = std::max(this->toldProof, proof);
		// A change that isn't known here is read by a call of one's own, which needn't wait.
		noteToldChange(this->state.operators, proof.changedAt);
		if (nullptr != this->state.catalog && covers(this->state.operators, proof.changedAt) && 0 == this->unreadableRow)
		{
			noteToldProof(this->state.freshness, proof.storeTime);
			this->noteAnswer(this->state.freshness.provenAt.value_or(0));
		}
		const std::optional<Millis> from = upstreams.storeTime ? ownTimeOf(this->state.freshness, *upstreams.storeTime) : std::nullopt;
		if (!from || !this->upstreamsSince || upstreams.version < *this->upstreamsSince)
		{
			return;
		}
		this->noteAnswer(*from);
		this->upstreamsToldFrom = std::max(this->upstreamsToldFrom, *from);
		store::Rows rows;
		rows.rows = upstreams.rows;
		rows.version = upstreams.version;
		this->takeUpstreams(rows, upstreams.whole);
	}

	void StoreWatch::noteAnswer(Millis _answeredAt)
	{
		const Millis silent = _answeredAt - this->answeredAt;
		if (0 != this->answeredAt && silent > this->shareOfRevocation(kAwayShareOfRevocation))
		{
			logWarning("store_was_away", {{"silent_ms", silent}});
			this->upstreamsBackAt = nowMs();
			if (nullptr != this->crashesInterrupt.get())
			{
				this->crashesInterrupt->reject(KJ_EXCEPTION(DISCONNECTED, "the store was away"));
			}
		}
		this->answeredAt = std::max(this->answeredAt, _answeredAt);
	}

	aio::Task<store::Rows> StoreWatch::nextConfiguration(std::optional<std::uint64_t> _since)
	{
		if (!_since)
		{
			return store::readWhole(this->store, this->names.configuration);
		}
		return this->store.follow(this->names.configuration, *_since, this->configurationWait());
	}

	aio::Task<store::Rows> StoreWatch::nextUpstreams(std::optional<std::uint64_t> _since)
	{
		if (!_since)
		{
			return store::readWhole(this->store, this->names.upstreams);
		}
		return this->followLong(this->names.upstreams, *_since, kUpstreamsWaitMs, this->upstreamsInterrupt);
	}

	aio::Task<store::Rows> StoreWatch::followLong(std::string _table, std::uint64_t _since, Millis _waitMs, kj::Own<kj::PromiseFulfiller<store::Rows>>& _interrupt)
	{
		auto interrupt = kj::newPromiseAndFulfiller<store::Rows>();
		_interrupt = kj::mv(interrupt.fulfiller);
		kj::Promise<store::Rows> changes = this->store.follow(std::move(_table), _since, _waitMs).take();
		return changes.exclusiveJoin(kj::mv(interrupt.promise));
	}

	Millis StoreWatch::takeAnswer(const Feed& _feed, const store::Rows& _rows, bool _whole)
	{
		this->noteAnswer(_rows.storeTime ? ownTimeOf(this->state.freshness, *_rows.storeTime).value_or(_rows.sentAt) : _rows.sentAt);
		(this->*_feed.take)(_rows, _whole);
		*_feed.since = std::max(_feed.since->value_or(0), _rows.version);
		return _rows.rows.empty() ? 0 : _feed.pauseMs;
	}

	aio::Task<void> StoreWatch::follow(Feed _feed)
	{
		std::optional<std::uint64_t>& since = *_feed.since;
		Millis retryMs = kRetryMs;
		while (true)
		{
			while ((this->*_feed.isTold)())
			{
				co_await this->state.loop.timer.afterDelay(kToldLookMs * kj::MILLISECONDS);
			}
			const bool whole = !since;
			std::string failure;
			Millis pauseMs = 0;
			try
			{
				const store::Rows rows = co_await (this->*_feed.next)(since);
				this->noteCall(_feed, true, "");
				retryMs = kRetryMs;
				if (rows.historyGone)
				{
					logWarning("store_history_gone", {{"table", _feed.name}, {"since", since.value_or(0)}});
					since.reset();
					continue;
				}
				pauseMs = this->takeAnswer(_feed, rows, whole);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			if (!failure.empty())
			{
				this->noteCall(_feed, false, failure);
				const Millis retryAfterMs = this->retryAfter(retryMs);
				retryMs = std::min(kMostRetryMs, 2 * retryMs);
				co_await this->waitUnlessTold(retryAfterMs);
				continue;
			}
			co_await this->state.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}
} // namespace archdyke::gateway
