#include "soak.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <memory>
#include <sstream>

#include "soak_callers.h"
#include "soak_crowd.h"
#include "soak_deployment.h"
#include "soak_faults.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kTickMs = 25;             ///< Interval between checks of the schedule.
		constexpr Millis kPollIntervalMs = 250;    ///< Interval between reads of the gateways' state.
		constexpr Millis kReadyTimeoutMs = 15'000; ///< Until all parts are ready, at the start and after the faults.
		constexpr Millis kCalmMarginMs = 200;      ///< Added to time limits in the calm time at the end.
		constexpr Millis kLastCallsMs = 2'200;     ///< Until the last requests have ended: their deadline and a margin.
		constexpr Millis kLastDrainMs = 1'500;     ///< For how long requests are checked after the last drain's limit.
		constexpr Millis kInForceMs = 2'000;       ///< Until a gateway without faults must have a new configuration.

		class Soak
		{
		public:
			explicit Soak(const ChaosOptions& _options);
			SoakResult run();

		private:
			void pollGateways();
			void checkVersion(SoakPart& _gateway);
			bool isFaultFree(const std::string& _gateway, Millis _from, Millis _until) const;
			/// Drains an upstream at the end, when no fault excuses a request that still goes there.
			void drainInCalm();
			void keepRunning(Millis _forMs);
			/// Waits until all gateways are ready and have the newest configuration.
			bool waitUntilSettled();
			void readRuns();
			void checkMaps();
			void judge();

			const ChaosOptions options;
			SoakDeployment deployment;
			Millis lastPollAt = 0;
			SoakResult result;
		};

		Soak::Soak(const ChaosOptions& _options)
		    : options(_options)
		    , deployment(_options.seed, _options.large)
		{
		}

		SoakResult Soak::run()
		{
			this->deployment.maxBodyBytes = 0 < this->options.uploads ? kMaxUploadBytes : this->deployment.maxBodyBytes;
			this->deployment.start();
			if (!this->waitUntilSettled())
			{
				throw std::runtime_error("the deployment did not get ready; logs in " + this->deployment.directory);
			}
			SoakCallers callers(this->deployment, this->options.seed, {0 < this->options.series, 0 < this->options.stutters, this->options.lateBodies, this->options.uploads});
			SoakFaults faults(this->options, this->deployment);
			auto crowd = std::make_unique<SoakCrowd>(this->deployment, this->options.seed, this->options.crowd);
			while (!faults.isFinished())
			{
				faults.step();
				this->pollGateways();
				pauseMs(kTickMs);
			}
			crowd.reset();
			callers.endPlain();
			this->result.faults = faults.startedCounts();
			this->deployment.recover();
			const bool settled = this->waitUntilSettled();
			this->drainInCalm();
			callers.beginStop();
			this->keepRunning(kLastCallsMs); // upstreams that crash under the last requests are recorded
			this->deployment.record.calls = callers.stop();
			this->readRuns();
			this->judge();
			this->checkMaps();
			if (!settled)
			{
				this->result.violations.add("not_settled", "a gateway is not ready or does not have the newest configuration after all faults ended");
			}
			if (0 == this->result.violations.total())
			{
				std::filesystem::remove_all(this->deployment.directory);
			}
			else
			{
				this->result.violations.lines.push_back("logs: " + this->deployment.directory);
			}
			return std::move(this->result);
		}

		void Soak::keepRunning(Millis _forMs)
		{
			for (const Millis until = nowMs() + _forMs; nowMs() < until;)
			{
				this->pollGateways();
				pauseMs(kTickMs);
			}
		}

		void Soak::drainInCalm()
		{
			this->keepRunning(this->deployment.bounds.contactMs + kCalmMarginMs);
			this->deployment.drainWorker(this->deployment.newestActiveWorker());
			this->keepRunning(this->deployment.bounds.drainMs + kLastDrainMs);
		}

		void Soak::pollGateways()
		{
			this->deployment.emulatePlatform();
			const Millis now = nowMs();
			if (now - this->lastPollAt < kPollIntervalMs)
			{
				return;
			}
			this->lastPollAt = now;
			for (SoakPart& gateway : this->deployment.gateways)
			{
				this->checkVersion(gateway);
			}
		}

		void Soak::checkVersion(SoakPart& _gateway)
		{
			const Millis polledAt = nowMs();
			const Json dump = dumpOf(_gateway);
			if (!dump.is_object())
			{
				return;
			}
			const std::uint64_t version = dump.value("catalog", std::uint64_t(0));
			if (version < _gateway.version)
			{
				this->result.violations.add("configuration_went_back", fmt::format("{} from {} to {}", _gateway.name, _gateway.version, version));
			}
			_gateway.version = version;
			const std::uint64_t newest = this->deployment.version;
			const Millis configuredAt = this->deployment.configuredAt;
			const bool isLate = polledAt > configuredAt + kInForceMs && version < newest;
			if (isLate && this->isFaultFree(_gateway.name, configuredAt - this->deployment.bounds.contactMs, polledAt))
			{
				this->result.violations.add("configuration_late", fmt::format("{} has version {} of {}, {} ms after it was confirmed", _gateway.name, version, newest, polledAt - configuredAt));
			}
		}

		/// Whether no fault affected the gateway or the store. Faults of the upstreams' links do not excuse a
		/// late configuration.
		bool Soak::isFaultFree(const std::string& _gateway, Millis _from, Millis _until) const
		{
			const std::vector<FaultSpan>& spans = this->deployment.record.spans;
			return std::none_of(spans.begin(), spans.end(), [&](const FaultSpan& _span) {
				const bool isRelevant = _span.part == _gateway || "store" == _span.part;
				return isRelevant && overlaps(_span, _from, _until);
			});
		}

		bool Soak::waitUntilSettled()
		{
			return waitUntil(kReadyTimeoutMs, [&] {
				this->pollGateways();
				const std::vector<SoakPart>& gateways = this->deployment.gateways;
				return std::all_of(gateways.begin(), gateways.end(), [&](const SoakPart& _gateway) {
					const Json dump = dumpOf(_gateway);
					return dump.is_object() && dump.value("ready", false) && this->deployment.version == dump.value("catalog", std::uint64_t(0));
				});
			});
		}

		/// Reads from the output of the upstreams which requests they ran and which they rejected.
		void Soak::readRuns()
		{
			for (const SoakWorker& worker : this->deployment.workers)
			{
				std::istringstream lines(worker.process->output());
				for (std::string line; std::getline(lines, line);)
				{
					if (line.starts_with("run "))
					{
						this->deployment.record.runs.push_back({fieldOf(line, "request"), worker.id, std::stoll(fieldOf(line, "at")), "1" == fieldOf(line, "leaving"), std::stod(fieldOf(line, "limit"))});
					}
					if (line.starts_with("turned_away "))
					{
						const std::string rest = fieldOf(line, "rest");
						this->deployment.record.rejections.push_back({fieldOf(line, "request"), worker.id, std::stoll(fieldOf(line, "at")), rest.empty() ? 0 : Millis(1'000.0 * std::stod(rest))});
					}
				}
			}
		}

		void Soak::judge()
		{
			for (const SoakCall& call : this->deployment.record.calls)
			{
				this->result.statuses[call.status] += 1;
			}
			const SoakViolations judged = findSoakViolations(this->deployment.record, this->deployment.bounds);
			SoakViolations& all = this->result.violations;
			all.lines.insert(all.lines.end(), judged.lines.begin(), judged.lines.end());
			for (const auto& [kind, count] : judged.byKind)
			{
				all.byKind[kind] += count;
			}
		}

		/// Checks for each group of ranks that no pass ran with different maps.
		void Soak::checkMaps()
		{
			for (const SoakGroup& group : this->deployment.groups)
			{
				const httplib::Result ranks = clientOf(group.engines.front()).Get("/record");
				const int splits = ranks ? Json::parse(ranks->body).value("splits", 0) : -1;
				if (0 != splits)
				{
					this->result.violations.add("maps_differ", fmt::format("{} passes of {}", splits, group.name));
				}
			}
		}
	} // namespace

	SoakResult runSoak(const ChaosOptions& _options)
	{
		return Soak(_options).run();
	}
} // namespace archdyke::lab
