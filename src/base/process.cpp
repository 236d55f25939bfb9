#include "base/process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <initializer_list>
#include <iterator>
#include <malloc.h>
#include <memory>
#include <openssl/evp.h>
#include <random>
#include <sys/resource.h>

#include "archdyke/errors.h"

namespace archdyke
{
	Millis nowMs()
	{
		timespec time{};
		clock_gettime(CLOCK_BOOTTIME, &time);
		return Millis(time.tv_sec) * 1000 + Millis(time.tv_nsec) / 1'000'000;
	}

	std::uint64_t randomId()
	{
		std::random_device device;
		std::uint64_t id = 0;
		while (0 == id)
		{
			id = (std::uint64_t(device()) << 32) | device();
		}
		return id;
	}

	std::string toHex(std::uint64_t _value)
	{
		return fmt::format("{:016x}", _value);
	}

	namespace
	{
		/// @returns Digest of several texts in a row, without a copy of them.
		std::string sha256Hex(std::initializer_list<std::string_view> _parts)
		{
			unsigned char digest[EVP_MAX_MD_SIZE];
			unsigned int size = 0;
			const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
			EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
			for (const std::string_view part : _parts)
			{
				EVP_DigestUpdate(context.get(), part.data(), part.size());
			}
			EVP_DigestFinal_ex(context.get(), digest, &size);
			std::string hex;
			for (unsigned int index = 0; index < size; ++index)
			{
				hex += fmt::format("{:02x}", digest[index]);
			}
			return hex;
		}
	} // namespace

	std::string sha256Hex(std::string_view _bytes)
	{
		return sha256Hex({_bytes});
	}

	std::string requestFingerprint(std::string_view _target, std::string_view _organisation, std::string_view _body)
	{
		constexpr std::size_t kDigits = 32; // 128 bits
		return sha256Hex({_target, "\n", _organisation, "\n", _body}).substr(0, kDigits);
	}

	void returnFreedMemory()
	{
		constexpr int kLargeBlockBytes = 131'072;
		constexpr int kMaxArenas = 2;
		// The default threshold rises with the blocks that are freed; later ones then stay in the heap, which shrinks only at its end.
		mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
		mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
		mallopt(M_ARENA_MAX, kMaxArenas);
	}

	void trimMemory()
	{
		malloc_trim(0);
	}

	namespace
	{
		sigset_t stopSignals()
		{
			sigset_t signals;
			sigemptyset(&signals);
			sigaddset(&signals, SIGTERM);
			sigaddset(&signals, SIGINT);
			return signals;
		}
	} // namespace

	void blockStopSignals()
	{
		const sigset_t signals = stopSignals();
		pthread_sigmask(SIG_BLOCK, &signals, nullptr);
		std::signal(SIGPIPE, SIG_IGN);
	}

	int waitForStopSignal()
	{
		const sigset_t signals = stopSignals();
		int signal = 0;
		while (0 != sigwait(&signals, &signal))
		{
		}
		return signal;
	}

	std::size_t descriptorLimit()
	{
		rlimit limit{};
		getrlimit(RLIMIT_NOFILE, &limit); // can't fail with these arguments
		return std::size_t(limit.rlim_cur);
	}

	std::string readFile(const std::string& _path)
	{
		std::ifstream file(_path, std::ios::binary);
		if (!file)
		{
			throw InvalidInputError(_path, {{"the file", std::string(std::strerror(errno)), "check the path and its permissions"}});
		}
		return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
	}
} // namespace archdyke
