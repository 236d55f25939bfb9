#include "base/process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
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

	std::string sha256Hex(std::string_view _bytes)
	{
		unsigned char digest[EVP_MAX_MD_SIZE];
		unsigned int size = 0;
		EVP_Digest(_bytes.data(), _bytes.size(), digest, &size, EVP_sha256(), nullptr);
		std::string hex;
		for (unsigned int index = 0; index < size; ++index)
		{
			hex += fmt::format("{:02x}", digest[index]);
		}
		return hex;
	}

	std::string requestFingerprint(std::string_view _target, std::string_view _organisation, std::string_view _body)
	{
		constexpr std::size_t kDigits = 32; // 128 bits
		return sha256Hex(fmt::format("{}\n{}\n{}", _target, _organisation, _body)).substr(0, kDigits);
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
