#include "agent/run_memory.h"

#include <utility>

namespace archdyke
{
	namespace
	{
		constexpr double kMiB = 1'048'576.0;
		/// Part of the VM's memory for runs.
		constexpr double kMemoryDivisor = 4.0;
		/// Part of it that only runs which hold little may take.
		constexpr std::size_t kReservedDivisor = 4;
		/// A run of at most this much holds little, bytes.
		constexpr std::size_t kSmallBytes = 65'536;
	} // namespace

	RunMemory::RunMemory(double _memoryMb, Metrics& _metrics)
	    : limit(std::size_t(_memoryMb * kMiB / kMemoryDivisor))
	    , heldBytes(_metrics.gauge("archdyke_agent_run_memory_bytes", "Memory held by bodies of runs and their responses."))
	{
	}

	bool RunMemory::take(std::size_t _bytes, std::size_t _runBytes)
	{
		const std::size_t most = this->limit - (_runBytes + _bytes <= kSmallBytes ? 0 : this->limit / kReservedDivisor);
		std::size_t before = this->held.load();
		do
		{
			if (most < before + _bytes)
			{
				return false;
			}
		} while (!this->held.compare_exchange_weak(before, before + _bytes));
		this->heldBytes.Set(double(before + _bytes));
		return true;
	}

	void RunMemory::add(std::size_t _bytes)
	{
		this->heldBytes.Set(double(this->held.fetch_add(_bytes) + _bytes));
	}

	void RunMemory::giveBack(std::size_t _bytes)
	{
		this->heldBytes.Set(double(this->held.fetch_sub(_bytes) - _bytes));
	}

	RunCharge::RunCharge(std::shared_ptr<RunMemory> _memory)
	    : memory(std::move(_memory))
	{
	}

	RunCharge::~RunCharge()
	{
		this->memory->giveBack(this->bytes);
	}

	bool RunCharge::take(std::size_t _bytes)
	{
		const bool taken = this->memory->take(_bytes, this->bytes);
		this->bytes += taken ? _bytes : 0;
		return taken;
	}

	void RunCharge::add(std::size_t _bytes)
	{
		this->memory->add(_bytes);
		this->bytes += _bytes;
	}
} // namespace archdyke
