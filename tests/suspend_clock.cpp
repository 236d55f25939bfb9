/// Preloaded into a process of a test: its steady clock doesn't count the time for which the test suspended it, as on a
/// suspended machine. CLOCK_BOOTTIME and the time of day are unchanged. The time to subtract, in ms, is read from the
/// file whose name is ARCHDYKE_TEST_SUSPENDED followed by the process ID; the file may be created later.
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <string>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{
	constexpr long kNsPerMs = 1'000'000;
	constexpr long kNsPerS = 1'000'000'000;

	long suspendedMs()
	{
		static const std::string path = std::string(std::getenv("ARCHDYKE_TEST_SUSPENDED")) + std::to_string(getpid()); // NOLINT(concurrency-mt-unsafe)
		static int file = -1;
		file = 0 <= file ? file : open(path.c_str(), O_RDONLY | O_CLOEXEC);
		char text[32] = {};
		return 0 <= file && 0 < pread(file, text, sizeof(text) - 1, 0) ? std::atol(text) : 0;
	}
} // namespace

extern "C" int clock_gettime(clockid_t _clock, timespec* _time) noexcept
{
	const int result = int(syscall(SYS_clock_gettime, _clock, _time));
	const bool steady = CLOCK_MONOTONIC == _clock || CLOCK_MONOTONIC_RAW == _clock || CLOCK_MONOTONIC_COARSE == _clock;
	if (0 == result && steady)
	{
		const long ms = suspendedMs();
		_time->tv_sec -= ms / 1'000;
		_time->tv_nsec -= ms % 1'000 * kNsPerMs;
		if (_time->tv_nsec < 0)
		{
			_time->tv_nsec += kNsPerS;
			_time->tv_sec -= 1;
		}
	}
	return result;
}
