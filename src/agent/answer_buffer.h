/// The answer of one run: filled by the thread that talks to the upstream, read by the
/// loop that sends it on, kept for a resume.
#pragma once

#include <absl/synchronization/mutex.h>
#include <atomic>
#include <cstdint>
#include <string>

#include "rpc/run.h"

namespace archdyke
{
	class AnswerBuffer
	{
	public:
		explicit AnswerBuffer(RunKey _key);

		const RunKey& key() const;

		/// Notes the upstream's status line.
		void begin(int _status, const std::string& _contentType);

		/// @returns false when the answer would pass kMaxAnswerBytes.
		bool append(std::string_view _bytes);

		/// No more bytes follow; the answer is whole.
		void complete();

		/// No more bytes follow; the answer is not whole.
		/// @param[in] _notRun Nothing reached the upstream.
		void fail(bool _notRun);

		bool ended() const;
		std::size_t size() const;

		/// @returns The frame that starts at _offset: all bytes there are.
		AnswerFrame frameAt(std::uint64_t _offset) const;

		/// For how long the upstream asked to be sent nothing, ms; 0: it didn't.
		std::atomic<Millis> backOffMs{0};

		/// Set once nobody wants the answer any more.
		std::atomic<bool> cancelled{false};

	private:
		const RunKey run;
		mutable absl::Mutex mutex;
		std::string bytes ABSL_GUARDED_BY(mutex);
		std::string contentType ABSL_GUARDED_BY(mutex);
		int status ABSL_GUARDED_BY(mutex) = 0;
		bool whole ABSL_GUARDED_BY(mutex) = false;
		bool failed ABSL_GUARDED_BY(mutex) = false;
		bool notRun ABSL_GUARDED_BY(mutex) = false;
	};
} // namespace archdyke
