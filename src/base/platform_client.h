/// Client of the platform's services: transactional table, object store, VM list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/errors.h"
#include "archdyke/membership.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Row of the table. Version 0 stands for a row that doesn't exist.
	struct TableRow
	{
		std::string key;
		std::uint64_t version = 0;
		std::string value;

		bool operator==(const TableRow&) const = default;
	};

	/// Condition of a transaction: the row must have this version at commit.
	struct TableCondition
	{
		std::string key;
		std::uint64_t version = 0;

		bool operator==(const TableCondition&) const = default;
	};

	struct TableWrite
	{
		std::string key;
		std::optional<std::string> value; ///< None deletes the row.
		std::int64_t ttlSeconds = 0;      ///< 0: the row never expires.

		bool operator==(const TableWrite&) const = default;
	};

	/// Reads, condition checks and writes in one atomic step.
	struct TableTransaction
	{
		std::vector<std::string> reads;
		std::vector<TableCondition> conditions;
		std::vector<TableWrite> writes;

		bool operator==(const TableTransaction&) const = default;
	};

	struct TableResult
	{
		bool committed = false;
		std::vector<TableRow> rows; ///< The rows read; if not committed, the rows of failed conditions too.

		bool operator==(const TableResult&) const = default;
	};

	/// @returns The row with this key; a row with version 0 if the result doesn't contain it.
	TableRow rowOf(const TableResult& _result, const std::string& _key);

	/// Role of a VM.
	enum class VmRole
	{
		Entry,
		Agent,
		Count
	};

	/// VM as reported by the VM list.
	struct Vm
	{
		std::string name;
		VmRole role = VmRole::Entry;
		std::string zone;
		ListState state = ListState::Live;
		std::string rpc;   ///< Address for archdyke's other processes.
		std::string admin; ///< Address for operators.

		bool operator==(const Vm&) const = default;
	};

	/// Changes of the VM list since a revision.
	struct VmChanges
	{
		std::uint64_t revision = 0;
		std::vector<Vm> vms;

		bool operator==(const VmChanges&) const = default;
	};

	/// Maximum size of a response's body in general, bytes.
	constexpr std::size_t kMaxPlatformBodyBytes = std::size_t(64) << 20;

	/// @param[in] _memoryMb Memory of the VM that the process may use, MiB.
	/// @returns Maximum size of a response's body for a process whose threads call the platform at the same time.
	std::size_t platformBodyLimit(double _memoryMb);

	/// Client of the platform. Each call has a connection of its own, ends within the timeout and throws
	/// PlatformError if the platform is unreachable or reports a failure. After such an error a write may or may not
	/// have taken effect.
	class PlatformClient
	{
	public:
		/// @param[in] _zone Zone of the caller; the VM list contains addresses as reachable from there.
		/// @param[in] _maxBodyBytes Maximum size of a response's body.
		PlatformClient(const std::string& _address, const std::string& _zone, Millis _timeoutMs, std::size_t _maxBodyBytes = kMaxPlatformBodyBytes);
		~PlatformClient();
		PlatformClient(PlatformClient&&) noexcept;

		TableResult transact(const TableTransaction& _transaction);

		/// @returns All rows whose keys start with the prefix. Rows that can't be read are logged and left out.
		std::vector<TableRow> scan(const std::string& _prefix);

		void putObject(const std::string& _name, const std::string& _bytes);

		/// @returns The object; none if it doesn't exist.
		std::optional<std::string> getObject(const std::string& _name);

		/// @returns The VMs that changed. Those that can't be read are logged and left out.
		VmChanges vmsSince(std::uint64_t _revision);

	private:
		struct State;
		std::unique_ptr<State> state;
	};
} // namespace archdyke
