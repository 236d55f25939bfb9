/// Limit of file descriptors for programs that a test starts.
#pragma once

#include <sys/resource.h>

namespace archdyke::tests
{
	/// Lowers this process's limit of file descriptors, which programs that are started meanwhile inherit.
	class LoweredDescriptorLimit
	{
	public:
		explicit LoweredDescriptorLimit(rlim_t _limit)
		{
			getrlimit(RLIMIT_NOFILE, &this->before);
			const rlimit lowered{_limit, this->before.rlim_max};
			setrlimit(RLIMIT_NOFILE, &lowered);
		}

		~LoweredDescriptorLimit()
		{
			setrlimit(RLIMIT_NOFILE, &this->before);
		}

		LoweredDescriptorLimit(const LoweredDescriptorLimit&) = delete;
		LoweredDescriptorLimit& operator=(const LoweredDescriptorLimit&) = delete;

	private:
		rlimit before{};
	};
} // namespace archdyke::tests
