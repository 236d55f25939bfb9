#include "entry/crash_publisher.h"

#include <absl/time/time.h>
#include <set>

#include "base/config.h"
#include "base/crash_rows.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// Delay after a failed write, ms.
		constexpr Millis kWriteRetryMs = 200;
		constexpr Millis kMsPerSecond = 1'000;
	} // namespace

	std::vector<Crash> readCrashRows(const std::vector<TableRow>& _rows)
	{
		std::vector<Crash> crashes;
		for (const TableRow& row : _rows)
		{
			std::optional<Crash> crash = readCrashKey(row.key);
			if (!crash)
			{
				logWarning("crash_unreadable", {{"key", row.key}});
				continue;
			}
			crashes.push_back(std::move(*crash));
		}
		return crashes;
	}

	CrashPublisher::CrashPublisher(const EntrySettings& _settings, CrashRecord& _record)
	    : settings(_settings)
	    , record(_record)
	    , thread([this] {
		    this->threadMain();
	    })
	{
	}

	CrashPublisher::~CrashPublisher()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		this->record.wake();
		this->thread.join();
	}

	bool CrashPublisher::write(PlatformClient& _client, const CrashChanges& _changes)
	{
		TableTransaction transaction;
		std::set<std::string> suspects;
		for (const Crash& crash : _changes.put)
		{
			transaction.writes.push_back({crashKey(crash), "", kCrashLifetimeMs / kMsPerSecond});
			suspects.insert(crash.suspect);
		}
		for (const Crash& crash : _changes.remove)
		{
			transaction.writes.push_back({crashKey(crash), std::nullopt, 0});
		}
		transaction.writes.push_back({kCrashMarkKey, toHex(randomId()), 0});
		try
		{
			_client.transact(transaction);
			// Read after the write: of two entries that write at once, at least one sees both crashes.
			// One call, whatever the number of suspects.
			const std::string prefix = 1 == suspects.size() ? crashPrefixOf(*suspects.begin()) : std::string(kCrashPrefix);
			const std::vector<Crash> known = suspects.empty() ? std::vector<Crash>() : readCrashRows(_client.scan(prefix));
			this->record.recordWritten(_changes, known);
			return true;
		}
		catch (const PlatformError& error)
		{
			logWarning("crashes_not_published", {{"crashes", _changes.put.size()}, {"cleared", _changes.remove.size()}, {"reason", error.what()}});
			this->record.returnChanges(_changes);
			return false;
		}
	}

	void CrashPublisher::threadMain()
	{
		PlatformClient client(this->settings.platform, this->settings.zone, kPlatformTimeoutMs, platformBodyLimit(this->settings.memoryMb));
		Millis pauseMs = 0;
		while (true)
		{
			{
				absl::MutexLock lock(&this->mutex);
				if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(pauseMs)))
				{
					return;
				}
			}
			const CrashChanges changes = this->record.takeChanges();
			const bool written = (changes.put.empty() && changes.remove.empty()) || this->write(client, changes);
			pauseMs = written ? 0 : kWriteRetryMs;
		}
	}
} // namespace archdyke
