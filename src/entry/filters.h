/// The filters that a request passes before it is dispatched.
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
	/// Token buckets of all organisations, in shards.
	class OrganisationLimits
	{
	public:
		/// Takes a token from an organisation's bucket.
		/// @returns Nothing on success; else the time until a token is available, ms.
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

	/// @returns The organisation whose key the request has.
	/// @throws RejectedError 401 when the key is missing or unknown.
	const Organisation& authenticate(const ActiveConfig& _config, const CallerRequest& _request);

	/// Applies this entry's share of the organisation's rate limit.
	/// @throws RejectedError 429, with the retry delay.
	void limitRate(OrganisationLimits& _limits, const Organisation& _organisation, std::uint32_t _entries, Millis _now);

	/// Finds the service and resolves the upstream path, the deadline and whether the request is repeatable.
	/// @throws RejectedError 400 or 404.
	ResolvedRequest resolve(const ActiveConfig& _config, const Organisation& _organisation, const CallerRequest& _request, std::string _id);
} // namespace archdyke
