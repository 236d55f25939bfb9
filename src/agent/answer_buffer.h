/// Response of one run: written by the thread that calls the upstream, read by the loop that forwards it,
/// and kept for a resume.
#pragma once

#include <absl/synchronization/mutex.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "rpc/run.h"

namespace archdyke
{
	class ResponseBuffer
	{
	public:
		/// @param[in] _takeRoom Asks for room for further bytes; null: there is room. Called by append, without a lock held.
		explicit ResponseBuffer(RunKey _key, std::function<bool(std::size_t)> _takeRoom = nullptr);

		const RunKey& key() const;

		/// Records status and content type of the upstream's response.
		void begin(int _status, const std::string& _contentType);

		/// @returns false if the response would exceed kMaxBufferedResponseBytes or there is no room for it; the bytes are not
		/// appended then.
		bool append(std::string_view _bytes);

		/// Marks the response as complete; no more bytes follow.
		void complete();

		/// Marks the response as incomplete; no more bytes follow.
		/// @param[in] _notRun Whether it is proved that nothing reached the upstream.
		/// @param[in] _crashed Incarnation of the upstream if its process ended during the run; else empty.
		void fail(bool _notRun, std::string _crashed);

		bool ended() const;
		std::size_t size() const;

		/// @returns The frame that starts at _offset, with the bytes received so far; at most kMaxFrameBytes.
		ResponseFrame frameAt(std::uint64_t _offset) const;

		/// How long the upstream asked to be sent no requests, ms; 0 if it didn't ask.
		std::atomic<Millis> backOffMs{0};

		/// Set once the response is no longer needed.
		std::atomic<bool> cancelled{false};

	private:
		const RunKey run;
		const std::function<bool(std::size_t)> takeRoom;
		mutable absl::Mutex mutex;
		std::string bytes ABSL_GUARDED_BY(mutex);
		std::string contentType ABSL_GUARDED_BY(mutex);
		int status ABSL_GUARDED_BY(mutex) = 0;
		bool completed ABSL_GUARDED_BY(mutex) = false;
		bool failed ABSL_GUARDED_BY(mutex) = false;
		bool notRun ABSL_GUARDED_BY(mutex) = false;
		std::string crashed ABSL_GUARDED_BY(mutex);
	};
} // namespace archdyke
