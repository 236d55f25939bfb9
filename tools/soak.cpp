#include "soak.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <sstream>

#include "soak_callers.h"
#include "soak_deployment.h"
#include "soak_faults.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kTickMs = 25;       ///< Between two looks at the schedule.
		constexpr Millis kLookMs = 250;      ///< Between two looks at what gateways say of themselves.
		constexpr Millis kReadyMs = 15'000;  ///< Until all is ready, at the start and once healed.
		constexpr Millis kInForceMs = 2'000; ///< A configuration, at a gateway in touch.

		class Soak
		{
		public:
			explicit Soak(const ChaosOptions& _options);
			SoakResult run();

		private:
			void lookAround();
			void checkVersion(SoakPart& _gateway);
			bool isCalm(const std::string& _gateway, Millis _from, Millis _until) const;
			/// Waits until all gateways are ready and on the newest configuration.
			bool settle();
			void readRuns();
			void checkMaps();
			void judge();

			const ChaosOptions options;
			SoakDeployment deployment;
			Millis lookedAt = 0;
			SoakResult result;
		};

		Soak::Soak(const ChaosOptions& _options)
		    : options(_options)
		    , deployment(_options.seed, _options.large)
		{
		}

		SoakResult Soak::run()
		{
			this->deployment.start();
			if (!this->settle())
			{
				throw std::runtime_error("the deployment did not get ready; logs in " + this->deployment.directory);
			}
			SoakCallers callers(this->deployment, this->options.seed, 0 < this->options.series);
			SoakFaults faults(this->options, this->deployment);
			while (!faults.areOver())
			{
				faults.step();
				this->lookAround();
				pauseMs(kTickMs);
			}
			this->result.faults = faults.begun();
			this->deployment.heal();
			const bool settled = this->settle();
			this->deployment.record.calls = callers.stop();
			this->readRuns();
			this->judge();
			this->checkMaps();
			if (!settled)
			{
				this->result.violations.add("not_settled", "a gateway isn't ready or not on the newest configuration after all was healed");
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

		void Soak::lookAround()
		{
			this->deployment.actAsPlatform();
			const Millis now = nowMs();
			if (now - this->lookedAt < kLookMs)
			{
				return;
			}
			this->lookedAt = now;
			for (SoakPart& gateway : this->deployment.gateways)
			{
				this->checkVersion(gateway);
			}
		}

		void Soak::checkVersion(SoakPart& _gateway)
		{
			const Millis askedAt = nowMs();
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
			const bool due = askedAt > configuredAt + kInForceMs && version < newest;
			if (due && this->isCalm(_gateway.name, configuredAt - this->deployment.bounds.contactMs, askedAt))
			{
				this->result.violations.add("configuration_late", fmt::format("{} has version {} of {}, {} ms after it was confirmed", _gateway.name, version, newest, askedAt - configuredAt));
			}
		}

		/// Whether nothing happened to a gateway or to the store. Trouble of the upstreams' links
		/// excuses no late configuration.
		bool Soak::isCalm(const std::string& _gateway, Millis _from, Millis _until) const
		{
			const std::vector<SoakSpan>& spans = this->deployment.record.spans;
			return std::none_of(spans.begin(), spans.end(), [&](const SoakSpan& _span) {
				const bool its = _span.part == _gateway || "store" == _span.part;
				return its && overlaps(_span, _from, _until);
			});
		}

		bool Soak::settle()
		{
			return waitUntil(kReadyMs, [&] {
				this->lookAround();
				const std::vector<SoakPart>& gateways = this->deployment.gateways;
				return std::all_of(gateways.begin(), gateways.end(), [&](const SoakPart& _gateway) {
					const Json dump = dumpOf(_gateway);
					return dump.is_object() && dump.value("ready", false) && this->deployment.version == dump.value("catalog", std::uint64_t(0));
				});
			});
		}

		/// Reads from the upstreams' output which requests they began and which they turned away.
		void Soak::readRuns()
		{
			for (const SoakWorker& worker : this->deployment.workers)
			{
				std::istringstream lines(worker.process->output());
				for (std::string line; std::getline(lines, line);)
				{
					if (line.starts_with("run "))
					{
						this->deployment.record.runs.push_back({fieldOf(line, "request"), worker.id, std::stoll(fieldOf(line, "at")), "1" == fieldOf(line, "leaving")});
					}
					if (line.starts_with("turned_away "))
					{
						const std::string rest = fieldOf(line, "rest");
						this->deployment.record.refusals.push_back({fieldOf(line, "request"), worker.id, std::stoll(fieldOf(line, "at")), rest.empty() ? 0 : Millis(1'000.0 * std::stod(rest))});
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
			const SoakViolations judged = judgeSoak(this->deployment.record, this->deployment.bounds);
			SoakViolations& all = this->result.violations;
			all.lines.insert(all.lines.end(), judged.lines.begin(), judged.lines.end());
			for (const auto& [kind, count] : judged.byKind)
			{
				all.byKind[kind] += count;
			}
		}

		/// Asks each group of ranks whether any pass ran on different maps.
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
