/// Holds the configuration of an entry: the version in force, and a staged one.
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
	/// A configuration version, indexed for lookups by requests. Immutable.
	struct ActiveConfig
	{
		ConfigMark mark;
		Document document;
		absl::flat_hash_map<std::string, std::size_t> organisationsByDigest;

		/// @returns The organisation with this key digest; null when there is none.
		const Organisation* findOrganisation(const std::string& _digest) const;
	};

	/// Parses and indexes a configuration version.
	/// @throws InvalidInputError When the bytes aren't a document or don't match the digest.
	std::shared_ptr<const ActiveConfig> activate(const ConfigMark& _mark, const std::string& _bytes);

	class ConfigKeeper
	{
	public:
		/// @returns The version in force; null before there is one.
		std::shared_ptr<const ActiveConfig> active() const;

		HeldConfig held() const;

		/// @returns Wall-clock time at which the version in force was put in force here, ms
		/// since 1970.
		std::int64_t inForceSinceMs() const;

		/// @returns The document with this digest, if it is held.
		std::optional<std::string> bytes(const std::string& _digest) const;

		/// Puts an accepted version in force, if it is newer.
		/// @throws InvalidInputError When the bytes don't match the mark.
		void accept(const ConfigMark& _mark, const std::string& _bytes);

		/// Stores a staged version.
		/// @throws InvalidInputError When the bytes don't match the mark.
		void stage(const ConfigMark& _mark, const std::string& _bytes);

	private:
		std::shared_ptr<const ActiveConfig> findStaged(const ConfigMark& _mark) const;

		mutable absl::Mutex mutex;
		HeldConfig marks ABSL_GUARDED_BY(mutex);
		std::shared_ptr<const ActiveConfig> activeConfig ABSL_GUARDED_BY(mutex);
		std::shared_ptr<const ActiveConfig> stagedConfig ABSL_GUARDED_BY(mutex); ///< The staged version, parsed.
		absl::flat_hash_map<std::string, std::string> bytesByDigest ABSL_GUARDED_BY(mutex);
		std::int64_t inForceAtMs ABSL_GUARDED_BY(mutex) = 0;
	};
} // namespace archdyke
