/// Memory that an agent's runs hold: bodies that wait or run, and responses until they are no longer kept for a resume.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include "base/metrics.h"

namespace archdyke
{
	/// Memory of all runs. Used on any thread.
	class RunMemory
	{
	public:
		/// @param[in] _memoryMb Memory of the VM that the process may use, MiB.
		RunMemory(double _memoryMb, Metrics& _metrics);

		/// Charges bytes, unless there is no room for them. Runs that hold much leave a part to the others.
		/// @param[in] _runBytes What the run holds already.
		/// @returns Whether there is room.
		bool take(std::size_t _bytes, std::size_t _runBytes);

		/// Charges bytes that are held in any case.
		void add(std::size_t _bytes);

		void giveBack(std::size_t _bytes);

	private:
		const std::size_t limit;
		std::atomic<std::size_t> held{0};
		prometheus::Gauge& heldBytes;
	};

	/// Memory of one run; given back by the destructor. Used on one thread at a time.
	class RunCharge
	{
	public:
		explicit RunCharge(std::shared_ptr<RunMemory> _memory);
		~RunCharge();
		RunCharge(const RunCharge&) = delete;
		RunCharge& operator=(const RunCharge&) = delete;

		/// @returns Whether there is room for further bytes.
		bool take(std::size_t _bytes);
		void add(std::size_t _bytes);

	private:
		const std::shared_ptr<RunMemory> memory;
		std::size_t bytes = 0;
	};
} // namespace archdyke
