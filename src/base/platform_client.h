/// Client of the platform's services: transactional table, object store, VM list.
#pragma once

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
	/// A row of the table. Version 0 is a row that isn't there.
	struct TableRow
	{
		std::string key;
		std::uint64_t version = 0;
		std::string value;

		bool operator==(const TableRow&) const = default;
	};

	/// A row must have this version when the transaction commits.
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
		std::int64_t ttlSeconds = 0;      ///< 0 keeps it for good.

		bool operator==(const TableWrite&) const = default;
	};

	/// Reads, checks and writes in one step.
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
		std::vector<TableRow> rows; ///< Those read; when not committed, those of failed conditions too.

		bool operator==(const TableResult&) const = default;
	};

	/// @returns The row with this key; version 0 when the result hasn't got it.
	TableRow rowOf(const TableResult& _result, const std::string& _key);

	/// Role of a VM.
	enum class VmRole
	{
		Entry,
		Agent,
		Count
	};

	/// A VM as the list shows it.
	struct Vm
	{
		std::string name;
		VmRole role = VmRole::Entry;
		std::string zone;
		ListState state = ListState::Live;
		std::string rpc;   ///< Address for the processes of the system.
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

	/// Not thread-safe: one for each thread. Every call ends within the time limit and
	/// throws PlatformError when the platform can't be reached or says that it can't.
	/// After such an error a write may or may not have taken effect.
	class PlatformClient
	{
	public:
		/// @param[in] _zone Zone of the caller, from which addresses are seen.
		PlatformClient(const std::string& _address, const std::string& _zone, Millis _timeoutMs);
		~PlatformClient();
		PlatformClient(PlatformClient&&) noexcept;

		TableResult transact(const TableTransaction& _transaction);

		/// @returns The rows whose keys start with the prefix.
		std::vector<TableRow> scan(const std::string& _prefix);

		void putObject(const std::string& _name, const std::string& _bytes);

		/// @returns The object; none when there is none.
		std::optional<std::string> getObject(const std::string& _name);

		VmChanges vmsSince(std::uint64_t _revision);

	private:
		struct State;
		std::unique_ptr<State> state;
	};
} // namespace archdyke
