/// Publishes the crashes that an entry knows in the platform's table, where all entries read them.
#pragma once

#include <absl/synchronization/mutex.h>
#include <string>
#include <thread>

#include "base/platform_client.h"
#include "base/settings.h"
#include "entry/crash_record.h"

namespace archdyke
{
	/// @returns The crashes of rows. Logs rows that can't be read.
	std::vector<Crash> readCrashRows(const std::vector<TableRow>& _rows);

	class CrashPublisher
	{
	public:
		CrashPublisher(const EntrySettings& _settings, CrashRecord& _record);
		~CrashPublisher();
		CrashPublisher(const CrashPublisher&) = delete;
		CrashPublisher& operator=(const CrashPublisher&) = delete;

	private:
		void threadMain();
		/// @returns Whether the changes were written.
		bool write(PlatformClient& _client, const CrashChanges& _changes);

		const EntrySettings settings;
		CrashRecord& record;

		absl::Mutex mutex;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
