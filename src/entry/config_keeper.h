/// The configuration that an entry holds: the version in force, and a staged one.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <memory>
#include <optional>
#include <string>

#include "archdyke/acceptance.h"
#include "archdyke/document.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// A version in force with what requests look up. Never changes.
	struct ActiveConfig
	{
		ConfigMark mark;
		Document document;
		absl::flat_hash_map<std::string, std::size_t> organisationsByDigest;

		/// @returns The organisation with this key digest; null when there is none.
		const Organisation* findOrganisation(const std::string& _digest) const;
	};

	/// @throws InvalidInputError When the bytes aren't a document or have another digest.
	std::shared_ptr<const ActiveConfig> activate(const ConfigMark& _mark, const std::string& _bytes);

	class ConfigKeeper
	{
	public:
		/// @returns The version in force; null before there is one.
		std::shared_ptr<const ActiveConfig> active() const;

		HeldConfig held() const;

		/// @returns When the version in force came into force here, on the wall clock in
		/// ms since 1970.
		std::int64_t inForceSinceMs() const;

		/// @returns Bytes of a version that is held.
		std::optional<std::string> bytes(const std::string& _digest) const;

		/// Puts an accepted version in force, if it is newer.
		/// @throws InvalidInputError When the bytes don't fit the mark.
		void accept(const ConfigMark& _mark, const std::string& _bytes);

		/// Holds a staged version.
		/// @throws InvalidInputError When the bytes don't fit the mark.
		void stage(const ConfigMark& _mark, const std::string& _bytes);

	private:
		std::shared_ptr<const ActiveConfig> readyMade(const ConfigMark& _mark) const;

		mutable absl::Mutex mutex;
		HeldConfig marks ABSL_GUARDED_BY(mutex);
		std::shared_ptr<const ActiveConfig> current ABSL_GUARDED_BY(mutex);
		std::shared_ptr<const ActiveConfig> next ABSL_GUARDED_BY(mutex); ///< The staged version, read already.
		absl::flat_hash_map<std::string, std::string> bytesByDigest ABSL_GUARDED_BY(mutex);
		std::int64_t sinceMs ABSL_GUARDED_BY(mutex) = 0;
	};
} // namespace archdyke
