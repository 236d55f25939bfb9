#include "operator/apply.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <algorithm>
#include <httplib.h>
#include <map>
#include <nlohmann/json.hpp>

#include "base/config_rows.h"
#include "base/http_server.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kPollMs = 40;
		constexpr Millis kCallTimeoutMs = 2'000;
		/// A stage that stands still for this long belongs to a dead apply, ms.
		constexpr Millis kStageStandsMs = 8'000;
		/// How long the outcome of a lost move is asked for, ms.
		constexpr Millis kSettleMs = 30'000;
		constexpr Millis kInForceWaitMs = 4'000;

		void pause(Millis _ms)
		{
			absl::Notification never;
			never.WaitForNotificationWithTimeout(absl::Milliseconds(_ms));
		}

		/// The rows as read, with their versions for the next write.
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
			return ConflictError("document \"" + _options.fileName + "\" was not applied: another apply made version " + std::to_string(_version) + "; run \"archdyke diff\" to see what changed and apply again");
		}

		/// Waits until no other apply is staging, or the one that does stands still.
		Rows waitForStage(PlatformClient& _client, const ApplyOptions& _options, std::uint64_t _from)
		{
			Rows rows = readRows(_client);
			std::uint64_t stageVersion = rows.stageRow.version;
			Millis since = nowMs();
			while (true)
			{
				if (rows.headVersion() != _from)
				{
					throw conflict(_options, rows.headVersion());
				}
				const bool open = rows.stage && rows.stage->mark.version > _from;
				if (!open || kStageStandsMs < nowMs() - since)
				{
					return rows;
				}
				pause(kPollMs);
				rows = readRows(_client);
				if (rows.stageRow.version != stageVersion)
				{
					stageVersion = rows.stageRow.version;
					since = nowMs();
				}
			}
		}

		/// @returns The rows with the stage as written.
		Rows writeStage(PlatformClient& _client, const ApplyOptions& _options, Rows _rows, const StageRow& _stage)
		{
			const std::uint64_t before = _rows.stageRow.version;
			try
			{
				_client.transact({{}, {{kHeadKey, _rows.headRow.version}, {kStageKey, before}}, {{kStageKey, encodeStage(_stage), 0}}});
			}
			catch (const PlatformError&)
			{
				// The read that follows tells whether it took effect.
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
				// The next apply takes it over after kStageStandsMs.
			}
		}

		std::vector<std::string> waitForZones(PlatformClient& _client, const ApplyOptions& _options, const StageRow& _stage)
		{
			const Millis until = nowMs() + _options.waitMs;
			std::vector<std::string> missing;
			do
			{
				missing = checkAcceptance(_stage, zonesWithEntries(_client.vmsSince(0).vms), readConfirmations(_client)).missing;
				if (missing.empty())
				{
					return missing;
				}
				pause(kPollMs);
			} while (nowMs() < until);
			return missing;
		}

		/// Moves the head; settles a lost answer by reading back.
		void moveHead(PlatformClient& _client, const ApplyOptions& _options, const Rows& _rows, const StageRow& _stage)
		{
			const TableTransaction move{{}, {{kHeadKey, _rows.headRow.version}, {kStageKey, _rows.stageRow.version}}, {{kHeadKey, encodeHead({_stage.mark, _stage.nonce}), 0}, {acceptedKey(_stage.mark.version), _stage.nonce, kAcceptedKeepSeconds}}};
			const Millis until = nowMs() + kSettleMs;
			do
			{
				try
				{
					if (_client.transact(move).committed)
					{
						return;
					}
					const TableRow accepted = rowOf(_client.transact({{acceptedKey(_stage.mark.version)}, {}, {}}), acceptedKey(_stage.mark.version));
					if (ApplyEnd::Accepted == resolveHeadUpdate(_stage, 0 == accepted.version ? std::nullopt : std::optional(accepted.value)))
					{
						return;
					}
					// The conditions failed for good: another apply holds the stage.
					const Rows now = readRows(_client);
					throw conflict(_options, std::max(now.headVersion(), now.stage ? now.stage->mark.version : 0));
				}
				catch (const PlatformError&)
				{
					pause(kPollMs);
				}
			} while (nowMs() < until);
			throw InDoubtError("whether version " + std::to_string(_stage.mark.version) + " was accepted isn't known: the platform doesn't answer; run \"archdyke status\" once it does");
		}

		std::unique_ptr<httplib::Client> makeClient(const Vm& _vm)
		{
			const Address address = parseAddress(_vm.admin);
			auto client = std::make_unique<httplib::Client>(address.host, address.port);
			client->set_connection_timeout(0, 300'000);
			client->set_read_timeout(0, 300'000);
			return client;
		}

		bool hasInForce(const Vm& _vm, std::uint64_t _version)
		{
			const httplib::Result result = makeClient(_vm)->Get("/dump");
			const nlohmann::json dump = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
			return dump.is_object() && dump["config"].value("version", std::uint64_t(0)) >= _version;
		}

		/// Tells the entries and watches until every one has the version in force.
		std::vector<ZoneInForce> watchZones(const std::vector<Vm>& _vms, const ConfigMark& _mark)
		{
			const Millis begunAt = nowMs();
			std::vector<Vm> open;
			std::map<std::string, Millis> zones;
			for (const Vm& vm : _vms)
			{
				if (VmRole::Entry == vm.role && ListState::Live == vm.state && !vm.admin.empty())
				{
					open.push_back(vm);
					makeClient(vm)->Post("/accepted", nlohmann::json{{"version", _mark.version}, {"digest", _mark.digest}}.dump(), "application/json");
				}
			}
			while (!open.empty() && nowMs() < begunAt + kInForceWaitMs)
			{
				std::erase_if(open, [&](const Vm& _vm) {
					const bool there = hasInForce(_vm, _mark.version);
					zones[_vm.zone] = there ? std::max(zones[_vm.zone], nowMs() - begunAt) : zones[_vm.zone];
					return there;
				});
				pause(open.empty() ? 0 : kPollMs);
			}
			for (const Vm& vm : open)
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
		const Millis begunAt = nowMs();
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
			throw NotAcceptedError("document \"" + _options.fileName + "\" was not accepted and nothing was changed: no confirmation from " + zones + "; look at its entries with \"archdyke status\" and apply again");
		}
		moveHead(client, _options, rows, stage);
		const Millis acceptedAfterMs = nowMs() - begunAt;
		std::vector<Vm> vms;
		try
		{
			vms = client.vmsSince(0).vms;
		}
		catch (const PlatformError&)
		{
			return {stage.mark, true, acceptedAfterMs, {}};
		}
		return {stage.mark, true, acceptedAfterMs, watchZones(vms, stage.mark)};
	}
} // namespace archdyke
