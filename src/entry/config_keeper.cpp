#include "entry/config_keeper.h"

#include <chrono>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		std::int64_t wallClockMs()
		{
			return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
		}
	} // namespace

	const Organisation* ActiveConfig::findOrganisation(const std::string& _digest) const
	{
		const auto it = this->organisationsByDigest.find(_digest);
		return this->organisationsByDigest.end() == it ? nullptr : &this->document.organisations[it->second];
	}

	std::shared_ptr<const ActiveConfig> activate(const ConfigMark& _mark, const std::string& _bytes)
	{
		const std::string source = "configuration version " + std::to_string(_mark.version);
		if (sha256Hex(_bytes) != _mark.digest)
		{
			throw InvalidInputError(source, {{"the document", "bytes whose digest differs from the announced one", "apply the file again"}});
		}
		auto config = std::make_shared<ActiveConfig>();
		config->mark = _mark;
		config->document = parseDocument(source, _bytes);
		for (std::size_t index = 0; index < config->document.organisations.size(); ++index)
		{
			config->organisationsByDigest[config->document.organisations[index].keyDigest] = index;
		}
		return config;
	}

	std::shared_ptr<const ActiveConfig> ConfigKeeper::active() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->activeConfig;
	}

	HeldConfig ConfigKeeper::held() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->marks;
	}

	std::int64_t ConfigKeeper::inForceSinceMs() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->inForceAtMs;
	}

	std::optional<std::string> ConfigKeeper::bytes(const std::string& _digest) const
	{
		absl::MutexLock lock(&this->mutex);
		const auto it = this->bytesByDigest.find(_digest);
		return this->bytesByDigest.end() == it ? std::nullopt : std::optional<std::string>(it->second);
	}

	std::shared_ptr<const ActiveConfig> ConfigKeeper::findStaged(const ConfigMark& _mark) const
	{
		absl::MutexLock lock(&this->mutex);
		return nullptr != this->stagedConfig && _mark == this->stagedConfig->mark ? this->stagedConfig : nullptr;
	}

	void ConfigKeeper::accept(const ConfigMark& _mark, const std::string& _bytes)
	{
		std::shared_ptr<const ActiveConfig> config = this->findStaged(_mark);
		if (nullptr == config)
		{
			config = activate(_mark, _bytes);
		}
		absl::MutexLock lock(&this->mutex);
		if (!adoptHead(this->marks, _mark))
		{
			return;
		}
		this->activeConfig = std::move(config);
		this->stagedConfig = nullptr;
		this->inForceAtMs = wallClockMs();
		this->bytesByDigest[_mark.digest] = _bytes;
		const HeldConfig heldMarks = this->marks;
		absl::erase_if(this->bytesByDigest, [&](const auto& _item) {
			return _item.first != heldMarks.head.digest && _item.first != heldMarks.staged.digest;
		});
		logInfo("config_in_force", {{"version", _mark.version}, {"digest", _mark.digest.substr(0, 12)}});
	}

	void ConfigKeeper::stage(const ConfigMark& _mark, const std::string& _bytes)
	{
		std::shared_ptr<const ActiveConfig> config = activate(_mark, _bytes);
		absl::MutexLock lock(&this->mutex);
		if (recordStaged(this->marks, _mark))
		{
			this->stagedConfig = std::move(config);
			this->bytesByDigest[_mark.digest] = _bytes;
			logInfo("config_staged", {{"version", _mark.version}, {"digest", _mark.digest.substr(0, 12)}});
		}
	}
} // namespace archdyke
