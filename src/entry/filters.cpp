#include "entry/filters.h"

#include <nlohmann/json.hpp>

#include "archdyke/crash_blame.h"
#include "archdyke/route.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr int kBadRequest = 400;
		constexpr int kUnauthorized = 401;
		constexpr int kNotFound = 404;
		constexpr int kTooManyRequests = 429;
		/// Bytes of the prompt that are hashed as its prefix.
		constexpr std::size_t kPrefixBytes = 512;
		/// Maximum number of messages of a conversation that crashes are attributed to, from its first one on.
		constexpr std::size_t kMaxParts = 64;
		constexpr std::string_view kModelPathPrefix = "/v1/";

		RejectedError rejected(int _status, const std::string& _reason, const std::string& _message, Millis _retryAfterMs = 0)
		{
			return RejectedError({_status, Outcome::NotRun, _retryAfterMs, _reason, _message});
		}

		Json parseModelBody(const std::string& _body)
		{
			Json body = Json::parse(_body, nullptr, false);
			if (body.is_discarded() || !body.is_object())
			{
				throw rejected(kBadRequest, "bad_json", "the body is not a JSON object; send one with \"model\" and \"messages\"");
			}
			if (!body.contains("model") || !body["model"].is_string())
			{
				throw rejected(kBadRequest, "bad_json", "the field \"model\" is missing or not a string; set it to the name of a service");
			}
			return body;
		}

		std::uint64_t prefixOf(const Json& _body, const std::string& _organisation)
		{
			const Json& messages = _body.contains("messages") ? _body["messages"] : _body.value("prompt", Json());
			return stableHash(messages.dump(-1, ' ', false, Json::error_handler_t::replace).substr(0, kPrefixBytes), stableHash(_organisation));
		}

		/// @returns Names of a conversation's messages, but for the last one, which other calls may share.
		std::vector<std::string> partsOf(const Json& _body)
		{
			std::vector<std::string> parts;
			if (!_body.contains("messages") || !_body["messages"].is_array())
			{
				return parts;
			}
			const Json& messages = _body["messages"];
			for (std::size_t index = 0; index + 1 < messages.size() && index < kMaxParts; ++index)
			{
				parts.push_back(partSuspect(stableHash(messages[index].dump(-1, ' ', false, Json::error_handler_t::replace))));
			}
			return parts;
		}

		const Service& findServiceOfKind(const ActiveConfig& _config, const std::string& _name, ServiceKind _kind)
		{
			const Service* service = findService(_config.document, _name);
			if (nullptr == service || _kind != service->kind)
			{
				throw rejected(kNotFound, "unknown_service", "there is no " + std::string(toString(_kind)) + " service \"" + _name + "\"; check its name with the office's operators");
			}
			return *service;
		}

		void resolveModel(const ActiveConfig& _config, const CallerRequest& _request, ResolvedRequest& _resolved)
		{
			const Json body = parseModelBody(_request.body);
			_resolved.service = findServiceOfKind(_config, body["model"].get<std::string>(), ServiceKind::Model);
			_resolved.upstreamPath = _request.path;
			_resolved.streamed = body.contains("stream") && body["stream"].is_boolean() && body["stream"].get<bool>();
			_resolved.prefix = prefixOf(body, _resolved.organisation.name);
			_resolved.parts = partsOf(body);
		}

		/// Rejects paths that an upstream may normalise to a path other than the one that the rules matched.
		void checkPath(const std::string& _path)
		{
			const std::string probe = _path + "/";
			if (std::string::npos != probe.find("//") || std::string::npos != probe.find("/./") || std::string::npos != probe.find("/../"))
			{
				throw rejected(kBadRequest, "bad_path", "the path has empty or dot segments; send it without them");
			}
		}

		void resolvePlain(const ActiveConfig& _config, const CallerRequest& _request, ResolvedRequest& _resolved)
		{
			const std::size_t slash = _request.path.find('/', 1);
			const std::string name = _request.path.substr(1, std::string::npos == slash ? std::string::npos : slash - 1);
			_resolved.service = findServiceOfKind(_config, name, ServiceKind::Plain);
			const std::string path = std::string::npos == slash ? "/" : _request.path.substr(slash);
			if ("/" != path)
			{
				checkPath(path.ends_with('/') ? path.substr(0, path.size() - 1) : path);
			}
			const std::size_t targetSlash = _request.target.find('/', 1);
			_resolved.upstreamPath = std::string::npos == targetSlash ? "/" : _request.target.substr(targetSlash);
			_resolved.repeatable = isRepeatableCall(_resolved.service, _request.method, path);
		}
	} // namespace

	std::vector<std::string> suspectsOf(const ResolvedRequest& _request)
	{
		std::vector<std::string> suspects{_request.fingerprint};
		suspects.insert(suspects.end(), _request.parts.begin(), _request.parts.end());
		return suspects;
	}

	std::optional<Millis> OrganisationLimits::take(const std::string& _organisation, const RateLimit& _share, Millis _now)
	{
		Shard& shard = this->shards[stableHash(_organisation) % kShards];
		absl::MutexLock lock(&shard.mutex);
		return takeToken(shard.buckets[_organisation], _share, _now);
	}

	const Organisation& authenticate(const ActiveConfig& _config, const CallerRequest& _request)
	{
		const Organisation* organisation = _request.apiKey.empty() ? nullptr : _config.findOrganisation(sha256Hex(_request.apiKey));
		if (nullptr == organisation)
		{
			throw rejected(kUnauthorized, "unknown_key", "the key is missing or unknown; send \"Authorization: Bearer KEY\" with your organisation's key");
		}
		return *organisation;
	}

	void limitRate(OrganisationLimits& _limits, const Organisation& _organisation, std::uint32_t _entries, Millis _now)
	{
		const RateLimit share = rateLimitPerEntry({_organisation.requestsPerSecond, _organisation.burst}, _entries);
		const std::optional<Millis> wait = _limits.take(_organisation.name, share, _now);
		if (wait)
		{
			throw rejected(kTooManyRequests, "over_limit", "organisation \"" + _organisation.name + "\" is over its limit; retry after the time in Retry-After", *wait);
		}
	}

	ResolvedRequest resolve(const ActiveConfig& _config, const Organisation& _organisation, const CallerRequest& _request, std::string _id)
	{
		ResolvedRequest resolved;
		resolved.id = std::move(_id);
		resolved.fingerprint = requestFingerprint(_request.target, _organisation.name, _request.body);
		resolved.organisation = _organisation;
		if (_request.path.starts_with(kModelPathPrefix))
		{
			resolveModel(_config, _request, resolved);
		}
		else
		{
			resolvePlain(_config, _request, resolved);
		}
		resolved.repeatable = resolved.repeatable && !_request.markedNotRepeatable;
		resolved.deadline = _request.receivedAt + resolved.service.deadlineMs;
		return resolved;
	}
} // namespace archdyke
