#include "operator/apply.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "base/config_rows.h"
#include "base/http_call.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kPollIntervalMs = 40;
		constexpr Millis kCallTimeoutMs = 2'000;
		/// Time without a change after which a stage is taken to belong to an apply that ended, ms.
		constexpr Millis kStageTimeoutMs = 8'000;
		/// How long the update of the head is retried while the platform doesn't respond, ms.
		constexpr Millis kHeadUpdateTimeoutMs = 30'000;
		constexpr Millis kInForceTimeoutMs = 4'000;
		/// Time limit for a call to a daemon, ms, and maximum sizes of its response, bytes.
		constexpr Millis kDaemonTimeoutMs = 300;
		constexpr std::size_t kMaxHeadBytes = 16'384;
		constexpr std::size_t kMaxDumpBytes = std::size_t(16) << 20;

		void sleepMs(Millis _ms)
		{
			absl::Notification never;
			never.WaitForNotificationWithTimeout(absl::Milliseconds(_ms));
		}

		/// Head and stage rows as read, with their versions for conditional writes.
		struct Rows
		{
			TableRow headRow;
			TableRow stageRow;
			std::optional<HeadRow> head;
			std::optional<StageRow> stage;

			std::uint64_t headVersion() const
			{
				return this->head ? this->head->mark.version : 0;
			}
		};

		Rows readRows(PlatformClient& _client)
		{
			const TableResult result = _client.transact({{kHeadKey, kStageKey}, {}, {}});
			Rows rows{rowOf(result, kHeadKey), rowOf(result, kStageKey), {}, {}};
			rows.head = decodeHead(rows.headRow);
			rows.stage = decodeStage(rows.stageRow);
			return rows;
		}

		ConflictError conflict(const ApplyOptions& _options, std::uint64_t _version)
		{
			return ConflictError("document \"" + _options.fileName + "\" was not applied: another apply created version " + std::to_string(_version) + "; run \"archdyke diff\" to see what changed and apply again");
		}

		/// Waits until no other apply is staging a version, or the staging apply has made no progress for
		/// kStageTimeoutMs.
		/// @throws ConflictError If another apply was accepted meanwhile.
		Rows waitForStage(PlatformClient& _client, const ApplyOptions& _options, std::uint64_t _from)
		{
			Rows rows = readRows(_client);
			std::uint64_t stageVersion = rows.stageRow.version;
			Millis changedAt = nowMs();
			while (true)
			{
				if (rows.headVersion() != _from)
				{
					throw conflict(_options, rows.headVersion());
				}
				const bool isStaging = rows.stage && rows.stage->mark.version > _from;
				if (!isStaging || kStageTimeoutMs < nowMs() - changedAt)
				{
					return rows;
				}
				sleepMs(kPollIntervalMs);
				rows = readRows(_client);
				if (rows.stageRow.version != stageVersion)
				{
					stageVersion = rows.stageRow.version;
					changedAt = nowMs();
				}
			}
		}

		/// Writes the stage row.
		/// @returns The rows read afterwards.
		/// @throws ConflictError If another apply wrote its stage first.
		Rows writeStage(PlatformClient& _client, const ApplyOptions& _options, Rows _rows, const StageRow& _stage)
		{
			const std::uint64_t before = _rows.stageRow.version;
			try
			{
				_client.transact({{}, {{kHeadKey, _rows.headRow.version}, {kStageKey, before}}, {{kStageKey, encodeStage(_stage), 0}}});
			}
			catch (const PlatformError&)
			{
				// The following read shows whether the write took effect.
			}
			Rows now = readRows(_client);
			if (now.stage != _stage)
			{
				throw conflict(_options, std::max(now.headVersion(), now.stage ? now.stage->mark.version : 0));
			}
			return now;
		}

		std::vector<std::string> zonesWithEntries(const std::vector<Vm>& _vms)
		{
			std::vector<std::string> zones;
			for (const Vm& vm : _vms)
			{
				const bool counted = zones.end() != std::find(zones.begin(), zones.end(), vm.zone);
				if (VmRole::Entry == vm.role && ListState::Live == vm.state && !counted)
				{
					zones.push_back(vm.zone);
				}
			}
			return zones;
		}

		std::vector<ZoneConfirmation> readConfirmations(PlatformClient& _client)
		{
			std::vector<ZoneConfirmation> confirmations;
			for (const TableRow& row : _client.scan(kConfirmPrefix))
			{
				const std::optional<ZoneConfirmation> confirmation = decodeConfirmation(row);
				if (confirmation)
				{
					confirmations.push_back(*confirmation);
				}
			}
			return confirmations;
		}

		void withdrawStage(PlatformClient& _client, const Rows& _rows)
		{
			try
			{
				_client.transact({{}, {{kStageKey, _rows.stageRow.version}}, {{kStageKey, std::nullopt, 0}}});
			}
			catch (const PlatformError&)
			{
				// The next apply replaces the stage after kStageTimeoutMs.
			}
		}

		std::vector<std::string> waitForZones(PlatformClient& _client, const ApplyOptions& _options, const StageRow& _stage)
		{
			const Millis deadline = nowMs() + _options.waitMs;
			std::vector<std::string> missing;
			do
			{
				missing = checkAcceptance(_stage, zonesWithEntries(_client.vmsSince(0).vms), readConfirmations(_client)).missing;
				if (missing.empty())
				{
					return missing;
				}
				sleepMs(kPollIntervalMs);
			} while (nowMs() < deadline);
			return missing;
		}

		/// Updates the head. If the response is lost, determines the outcome by reading the rows back.
		/// @throws ConflictError, InDoubtError.
		void updateHead(PlatformClient& _client, const ApplyOptions& _options, const Rows& _rows, const StageRow& _stage)
		{
			const TableTransaction update{{}, {{kHeadKey, _rows.headRow.version}, {kStageKey, _rows.stageRow.version}}, {{kHeadKey, encodeHead({_stage.mark, _stage.nonce}), 0}, {acceptedKey(_stage.mark.version), _stage.nonce, kAcceptedRetentionSeconds}}};
			const Millis deadline = nowMs() + kHeadUpdateTimeoutMs;
			do
			{
				try
				{
					if (_client.transact(update).committed)
					{
						return;
					}
					const TableRow accepted = rowOf(_client.transact({{acceptedKey(_stage.mark.version)}, {}, {}}), acceptedKey(_stage.mark.version));
					if (ApplyEnd::Accepted == resolveHeadUpdate(_stage, 0 == accepted.version ? std::nullopt : std::optional(accepted.value)))
					{
						return;
					}
					// The conditions can no longer be met: another apply replaced the stage.
					const Rows now = readRows(_client);
					throw conflict(_options, std::max(now.headVersion(), now.stage ? now.stage->mark.version : 0));
				}
				catch (const PlatformError&)
				{
					sleepMs(kPollIntervalMs);
				}
			} while (nowMs() < deadline);
			throw InDoubtError("it is unknown whether version " + std::to_string(_stage.mark.version) + " was accepted, because the platform doesn't respond; run \"archdyke status\" once it does");
		}

		/// Sends a request to a daemon's admin address.
		std::optional<HttpResponse> callDaemon(const Vm& _vm, const HttpRequest& _request)
		{
			return fetchHttp(parseAddress(_vm.admin), _request, {kDaemonTimeoutMs, kDaemonTimeoutMs, {kMaxHeadBytes, kMaxDumpBytes}});
		}

		bool isVersionInForce(const Vm& _vm, std::uint64_t _version)
		{
			const std::optional<HttpResponse> response = callDaemon(_vm, {"GET", "/dump", {}, ""});
			const nlohmann::json dump = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
			return dump.is_object() && dump["config"].value("version", std::uint64_t(0)) >= _version;
		}

		/// Notifies the entries of the accepted version and waits until each has put it in force.
		std::vector<ZoneInForce> waitForEntries(const std::vector<Vm>& _vms, const ConfigMark& _mark)
		{
			const Millis startedAt = nowMs();
			std::vector<Vm> pending;
			std::map<std::string, Millis> zones;
			for (const Vm& vm : _vms)
			{
				if (VmRole::Entry == vm.role && ListState::Live == vm.state && !vm.admin.empty())
				{
					pending.push_back(vm);
					callDaemon(vm, {"POST", "/accepted", {{"Content-Type", "application/json"}}, nlohmann::json{{"version", _mark.version}, {"digest", _mark.digest}}.dump()});
				}
			}
			while (!pending.empty() && nowMs() < startedAt + kInForceTimeoutMs)
			{
				std::erase_if(pending, [&](const Vm& _vm) {
					const bool inForce = isVersionInForce(_vm, _mark.version);
					zones[_vm.zone] = inForce ? std::max(zones[_vm.zone], nowMs() - startedAt) : zones[_vm.zone];
					return inForce;
				});
				sleepMs(pending.empty() ? 0 : kPollIntervalMs);
			}
			for (const Vm& vm : pending)
			{
				zones[vm.zone] = -1;
			}
			std::vector<ZoneInForce> result;
			for (const auto& [zone, afterMs] : zones)
			{
				result.push_back({zone, afterMs});
			}
			return result;
		}
	} // namespace

	PublishedConfig readPublished(PlatformClient& _client)
	{
		const Rows rows = readRows(_client);
		PublishedConfig published{rows.head, rows.stage, ""};
		if (rows.head)
		{
			published.bytes = _client.getObject(objectName(rows.head->mark)).value_or("");
		}
		return published;
	}

	ApplyResult applyDocument(const ApplyOptions& _options, const std::string& _bytes)
	{
		const Millis startedAt = nowMs();
		PlatformClient client(_options.platform, "", kCallTimeoutMs);
		Rows rows = readRows(client);
		const std::uint64_t from = 0 == _options.fromVersion ? rows.headVersion() : _options.fromVersion;
		const std::string digest = sha256Hex(_bytes);
		if (rows.head && rows.headVersion() == from && rows.head->mark.digest == digest)
		{
			return {rows.head->mark, false, 0, {}};
		}
		rows = waitForStage(client, _options, from);
		const StageRow stage{{from + 1, digest}, toHex(randomId())};
		client.putObject(objectName(stage.mark), _bytes);
		rows = writeStage(client, _options, rows, stage);
		const std::vector<std::string> missing = waitForZones(client, _options, stage);
		if (!missing.empty())
		{
			withdrawStage(client, rows);
			std::string zones;
			for (const std::string& zone : missing)
			{
				zones += (zones.empty() ? "" : ", ") + zone;
			}
			throw NotAcceptedError("document \"" + _options.fileName + "\" was not accepted and nothing was changed: no confirmation from " + zones + "; check its entries with \"archdyke status\" and apply again");
		}
		updateHead(client, _options, rows, stage);
		const Millis acceptedAfterMs = nowMs() - startedAt;
		std::vector<Vm> vms;
		try
		{
			vms = client.vmsSince(0).vms;
		}
		catch (const PlatformError&)
		{
			return {stage.mark, true, acceptedAfterMs, {}};
		}
		return {stage.mark, true, acceptedAfterMs, waitForEntries(vms, stage.mark)};
	}
} // namespace archdyke
