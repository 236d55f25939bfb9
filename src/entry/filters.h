/// The filters that look at a request before it is dispatched.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <array>
#include <string>

#include "archdyke/limits.h"
#include "entry/config_keeper.h"
#include "entry/request.h"

namespace archdyke
{
	/// Buckets of all organisations, in shards.
	class OrganisationLimits
	{
	public:
		/// Takes a token of an organisation.
		/// @returns Nothing, or the time until there is one, ms.
		std::optional<Millis> take(const std::string& _organisation, const RateLimit& _share, Millis _now);

	private:
		static constexpr std::size_t kShards = 16;

		struct Shard
		{
			absl::Mutex mutex;
			absl::flat_hash_map<std::string, TokenBucket> buckets ABSL_GUARDED_BY(mutex);
		};

		std::array<Shard, kShards> shards;
	};

	/// @returns The organisation whose key the request bears.
	/// @throws RejectedError 401.
	const Organisation& authenticate(const ActiveConfig& _config, const CallerRequest& _request);

	/// @throws RejectedError 429, with the time to come back.
	void limitRate(OrganisationLimits& _limits, const Organisation& _organisation, std::uint32_t _entries, Millis _now);

	/// Finds the service and what the request asks of it.
	/// @throws RejectedError 400 or 404.
	ResolvedRequest resolve(const ActiveConfig& _config, const Organisation& _organisation, const CallerRequest& _request, std::string _id);
} // namespace archdyke
