/// A gateway's watch of the store's tables on an in-process event loop: when it calls the store itself.
// Included before Criterion, whose macros break the hash headers.
#include "base/process.h"
#include "gateway/watch.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <kj/async-io.h>

using namespace archdyke;
using namespace archdyke::gateway;

namespace
{
	constexpr const char* kOperators = "op";
	constexpr const char* kUpstreams = "servers";
	constexpr const char* kKey = "config";
	constexpr Millis kChangeMs = 3'000;
	constexpr std::uint32_t kGateways = 70;

	Catalog decodeCatalog(const std::string& _document)
	{
		Catalog catalog;
		catalog.version = std::stoull(_document);
		return catalog;
	}

	UpstreamRecord decodeUpstream(const std::string& _incarnation, const std::string&)
	{
		return {_incarnation, "svc", "127.0.0.1:1", "here", 4, false, std::nullopt, 0};
	}

	/// A store with one configuration row.
	class OneRowStore : public store::TableStore
	{
	public:
		explicit OneRowStore(kj::Timer& _timer)
		    : timer(_timer)
		{
		}

		aio::Task<store::Rows> read(std::string, std::string, std::string) override
		{
			store::Rows rows = this->empty();
			co_return rows;
		}

		aio::Task<store::Rows> follow(std::string _table, std::uint64_t _since, Millis _waitMs) override
		{
			const Millis until = nowMs() + _waitMs;
			const auto hasChange = [&] {
				return kOperators == _table && _since < this->version;
			};
			while (nowMs() < until && !hasChange())
			{
				co_await this->timer.afterDelay(10 * kj::MILLISECONDS);
			}
			store::Rows rows = this->empty();
			if (hasChange())
			{
				rows.rows.push_back(this->row());
			}
			co_return rows;
		}

		aio::Task<store::WriteResult> write(store::ConditionalWrite) override
		{
			co_return store::WriteResult{};
		}

		aio::Task<void> change(store::RowChanges) override
		{
			co_return;
		}

		store::Row row() const
		{
			return {{kOperators, "", kKey}, std::to_string(this->version), this->version, false};
		}

		std::uint64_t version = 1;

	private:
		kj::Timer& timer;

		store::Rows empty() const
		{
			store::Rows rows;
			rows.version = this->version;
			rows.sentAt = nowMs();
			rows.storeTime = nowMs();
			return rows;
		}
	};

	GatewaySettings makeSettings()
	{
		GatewaySettings settings;
		settings.bounds.changeMs = kChangeMs;
		return settings;
	}

	struct WatchingGateway
	{
		WatchingGateway(http::LoopContext _loop, GatewayCounters& _counters, store::TableStore& _store, std::uint64_t _seed)
		    : state(makeSettings(), {}, _loop, _counters, _seed)
		    , watch(this->state, _store, store::TableNames{kOperators, kKey, kUpstreams, "evacuate/"}, DocumentDecoders{decodeCatalog, decodeUpstream})
		{
		}

		std::uint64_t version() const
		{
			return versionOf(this->state.catalog);
		}

		GatewayState state;
		StoreWatch watch;
	};

	/// Gateways of one coordinator.
	struct WatchRig
	{
		explicit WatchRig(std::uint32_t _gateways)
		{
			for (std::uint32_t seed = 1; seed <= _gateways; ++seed)
			{
				this->gateways.push_back(std::make_unique<WatchingGateway>(http::LoopContext{this->io.provider->getNetwork(), this->io.provider->getTimer()}, this->counters, this->store, seed));
			}
		}

		/// Runs the loop for a time while a coordinator sends updates.
		/// @param[in] _storeLostAt When the coordinator loses the store.
		void runWithUpdates(Millis _untilMs, Millis _storeLostAt)
		{
			while (nowMs() < _untilMs)
			{
				const Millis provenAt = std::min(nowMs(), _storeLostAt);
				for (const std::unique_ptr<WatchingGateway>& gateway : this->gateways)
				{
					store::TablesNews tables;
					tables.operators = {provenAt, 1, false, {}, {}};
					tables.upstreams = {provenAt, 1, false, {}, {}};
					tables.crashes = {provenAt, 1, false, {}, {}};
					gateway->watch.applyUpdate({{provenAt, 1}, std::move(tables), kGateways});
				}
				this->run(20);
			}
		}

		void run(Millis _ms)
		{
			this->io.provider->getTimer().afterDelay(_ms * kj::MILLISECONDS).wait(this->io.waitScope);
		}

		/// @returns Number of gateways that have a version of the configuration.
		std::ptrdiff_t countWith(std::uint64_t _version) const
		{
			return std::count_if(this->gateways.begin(), this->gateways.end(), [&](const auto& _gateway) {
				return _version == _gateway->version();
			});
		}

		kj::AsyncIoContext io = kj::setupAsyncIo();
		Metrics metrics;
		GatewayCounters counters{this->metrics};
		OneRowStore store{this->io.provider->getTimer()};
		std::vector<std::unique_ptr<WatchingGateway>> gateways;
	};
} // namespace

/// Guards against gateways that leave the store to a coordinator that has gone: they waited for its next proof for a time that
/// grows with their number, 2.5 to 7.4 s for 70 of them, while a configuration was to be in force within 3 s.
Test(watch, a_change_is_in_force_in_time_after_the_coordinator_has_gone)
{
	WatchRig rig(1);
	const Millis storeLostAt = nowMs() + 5'000; // all calls of the start have ended
	rig.runWithUpdates(storeLostAt + 1'500, storeLostAt);
	cr_assert(1 == rig.countWith(1));
	rig.store.version = 2; // no update tells of it any more
	const Millis changedAt = nowMs();
	while (nowMs() < changedAt + kChangeMs && 0 == rig.countWith(2))
	{
		rig.run(20);
	}
	cr_assert(1 == rig.countWith(2), "not in force after %ld ms", long(nowMs() - changedAt));
}

/// Guards against gateways that all leave the store to a coordinator that has lost it: the first of 70 called after 2.5 s. One that
/// has the change is enough, since the coordinator relays its proof to the others.
Test(watch, a_gateway_has_a_change_in_time_when_the_coordinator_has_lost_the_store)
{
	constexpr Millis kRelayMs = 500; // for the proof to reach the others, and for their calls
	WatchRig rig(kGateways);
	const Millis storeLostAt = nowMs() + 5'000;
	rig.runWithUpdates(storeLostAt, storeLostAt);
	cr_assert(kGateways == rig.countWith(1));
	rig.store.version = 2;
	rig.runWithUpdates(storeLostAt + kChangeMs - kRelayMs, storeLostAt);
	cr_assert(0 < rig.countWith(2));
}
