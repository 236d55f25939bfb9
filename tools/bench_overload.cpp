/// Bench of overload: a burst of three times capacity in which one organisation floods nine others.
/// Compares the agent's queue with a first-come-first-served queue that refuses only when it is full.
#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>

#include "archdyke/admission.h"
#include "archdyke/random.h"
#include "bench.h"
#include "load.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr std::uint32_t kSlots = 16;
		constexpr Millis kRunMs = 100;
		constexpr Millis kDeadlineMs = 1'500;
		constexpr Millis kBurstMs = 60'000;
		constexpr Millis kDurationMs = 300'000; ///< Includes the quiet time after the burst.
		constexpr std::size_t kCapacity = 256;
		constexpr int kSmallOrganisations = 9;
		constexpr double kCapacityPerMs = double(kSlots) / double(kRunMs); ///< Runs that the slots complete per ms.
		constexpr int kMaxAttempts = 8;

		struct Caller
		{
			std::string organisation;
			Millis firstAt = 0;
			int attempts = 0;
		};

		struct Metrics
		{
			double goodput = 0.0;            ///< Runs served in time during the burst, relative to capacity.
			double minSmallShare = 0.0;      ///< Minimum over small organisations of runs served relative to the fair share.
			double servedShare = 0.0;        ///< Share of callers served, retries included.
			double attemptsPerCaller = 0.0;  ///< Attempts per caller.
			double admittedRetryShare = 0.0; ///< Share of retries, sent after the given delay, that were admitted.
			double lateRefusalShare = 0.0;   ///< Share of refusals after waiting in the queue.
		};

		/// First-come-first-served queue to compare with.
		struct PlainQueue
		{
			std::deque<QueuedRun> waiting;
			std::uint32_t running = 0;
		};

		class Simulation
		{
		public:
			Simulation(bool _plain, std::uint64_t _seed)
			    : plain(_plain)
			    , random(_seed)
			{
				this->admission.slots = kSlots;
				this->admission.capacity = kCapacity;
				this->admission.meanRunMs = kRunMs;
			}

			Metrics run()
			{
				std::poisson_distribution<int> flood(kCapacityPerMs * 2.55);
				std::poisson_distribution<int> quiet(kCapacityPerMs * 0.05);
				std::poisson_distribution<int> small(kCapacityPerMs * 0.05);
				for (this->now = 0; this->now < kDurationMs; ++this->now)
				{
					const bool burst = this->now < kBurstMs;
					this->arrive("large", burst ? flood(this->random) : quiet(this->random));
					for (int index = 0; index < kSmallOrganisations; ++index)
					{
						this->arrive("small" + std::to_string(index), small(this->random));
					}
					this->sendDueRetries();
					this->finishRuns();
					this->startRuns();
				}
				return this->metrics();
			}

		private:
			void arrive(const std::string& _organisation, int _count)
			{
				for (int index = 0; index < _count; ++index)
				{
					const std::string id = std::to_string(this->nextId++);
					this->callers[id] = {_organisation, this->now, 0};
					this->requested[_organisation] += 1;
					this->send(id, false);
				}
			}

			void send(const std::string& _id, bool _isRetry)
			{
				Caller& caller = this->callers[_id];
				caller.attempts += 1;
				this->requestsSent += 1;
				const QueuedRun run{{_id, 0}, caller.organisation, 1, this->now + kDeadlineMs, this->now};
				bool admitted = true;
				Millis retryAfter = 1'000;
				if (this->plain)
				{
					admitted = this->plainQueue.waiting.size() < kCapacity;
					if (admitted)
					{
						this->plainQueue.waiting.push_back(run);
					}
				}
				else
				{
					const AdmissionResult result = admitRun(this->admission, run, this->now);
					admitted = RefusalReason::None == result.refusal;
					retryAfter = result.retryAfterMs;
					if (result.evicted)
					{
						this->refuse(result.evicted->requestId, result.retryAfterMs, true);
					}
				}
				this->retriesSent += _isRetry ? 1 : 0;
				this->retriesAdmitted += _isRetry && admitted ? 1 : 0;
				if (!admitted)
				{
					this->refuse(_id, retryAfter, false);
				}
			}

			void refuse(const std::string& _id, Millis _retryAfterMs, bool _late)
			{
				this->refusals += 1;
				this->refusalsAfterWaiting += _late ? 1 : 0;
				if (this->callers[_id].attempts < kMaxAttempts)
				{
					this->pendingRetries.emplace(this->now + std::max<Millis>(1, _retryAfterMs), _id);
				}
			}

			void sendDueRetries()
			{
				while (!this->pendingRetries.empty() && this->pendingRetries.begin()->first <= this->now)
				{
					const std::string id = this->pendingRetries.begin()->second;
					this->pendingRetries.erase(this->pendingRetries.begin());
					this->send(id, true);
				}
			}

			void finishRuns()
			{
				while (!this->runEnds.empty() && this->runEnds.begin()->first <= this->now)
				{
					const QueuedRun run = this->runEnds.begin()->second;
					this->runEnds.erase(this->runEnds.begin());
					const bool inTime = this->now <= run.deadline;
					this->served[run.organisation] += inTime ? 1 : 0;
					this->servedInBurst += inTime && this->now < kBurstMs ? 1 : 0;
					if (this->plain)
					{
						this->plainQueue.running -= 1;
					}
					else
					{
						endRun(this->admission, kRunMs);
					}
				}
			}

			void startRuns()
			{
				if (this->plain)
				{
					while (!this->plainQueue.waiting.empty() && this->plainQueue.running < kSlots)
					{
						this->runEnds.emplace(this->now + kRunMs, this->plainQueue.waiting.front());
						this->plainQueue.waiting.pop_front();
						this->plainQueue.running += 1;
					}
					return;
				}
				while (true)
				{
					const TakeResult result = takeRun(this->admission, this->now);
					for (const RunKey& expired : result.expired)
					{
						this->refuse(expired.requestId, 100, true);
					}
					if (!result.next)
					{
						return;
					}
					this->runEnds.emplace(this->now + kRunMs, *result.next);
				}
			}

			Metrics metrics()
			{
				Metrics result;
				result.minSmallShare = 1e9;
				int all = 0;
				for (const auto& [organisation, count] : this->served)
				{
					all += count;
				}
				result.servedShare = double(all) / double(this->callers.size());
				for (int index = 0; index < kSmallOrganisations; ++index)
				{
					// A small organisation requests less than a tenth of capacity, so its fair share is all it requests.
					const std::string name = "small" + std::to_string(index);
					result.minSmallShare = std::min(result.minSmallShare, double(this->served[name]) / double(this->requested[name]));
				}
				result.goodput = double(this->servedInBurst) / (kCapacityPerMs * double(kBurstMs));
				result.attemptsPerCaller = double(this->requestsSent) / double(this->callers.size());
				result.admittedRetryShare = 0 == this->retriesSent ? 1.0 : double(this->retriesAdmitted) / double(this->retriesSent);
				result.lateRefusalShare = this->refusals == 0 ? 0.0 : double(this->refusalsAfterWaiting) / double(this->refusals);
				return result;
			}

			const bool plain;
			Random random;
			AdmissionQueue admission;
			PlainQueue plainQueue;
			Millis now = 0;
			std::uint64_t nextId = 0;
			std::map<std::string, Caller> callers;
			std::multimap<Millis, std::string> pendingRetries;
			std::multimap<Millis, QueuedRun> runEnds;
			std::map<std::string, int> served;
			std::map<std::string, int> requested;
			int servedInBurst = 0;
			int requestsSent = 0;
			int refusals = 0;
			int refusalsAfterWaiting = 0;
			int retriesSent = 0;
			int retriesAdmitted = 0;
		};
	} // namespace

	std::vector<Table> benchOverload()
	{
		Table table;
		table.title = fmt::format("overload, three times capacity for {} s, then half of it; one organisation sends 85% of the burst, nine others 5% of capacity each; callers retry after the given delay, {} times at most; {} seeds", kBurstMs / 1000, kMaxAttempts - 1, kSeeds);
		table.columns = {"version", "goodput in the burst %", "callers served eventually %", "min share of a small organisation %", "attempts per caller", "retries admitted %", "refused after waiting %"};
		for (const bool plain : {true, false})
		{
			std::vector<double> goodput;
			std::vector<double> servedShares;
			std::vector<double> share;
			std::vector<double> attemptsPerCaller;
			std::vector<double> admittedRetries;
			std::vector<double> lateRefusals;
			for (int seed = 1; seed <= kSeeds; ++seed)
			{
				const Metrics metrics = Simulation(plain, std::uint64_t(seed)).run();
				goodput.push_back(100.0 * metrics.goodput);
				servedShares.push_back(100.0 * metrics.servedShare);
				share.push_back(100.0 * metrics.minSmallShare);
				attemptsPerCaller.push_back(metrics.attemptsPerCaller);
				admittedRetries.push_back(100.0 * metrics.admittedRetryShare);
				lateRefusals.push_back(100.0 * metrics.lateRefusalShare);
			}
			table.rows.push_back({plain ? "first come first served, refuse when full" : "archdyke", formatSpread(spreadOf(goodput), 1), formatSpread(spreadOf(servedShares), 1), formatSpread(spreadOf(share), 1), formatSpread(spreadOf(attemptsPerCaller), 2), formatSpread(spreadOf(admittedRetries), 1), formatSpread(spreadOf(lateRefusals), 1)});
		}
		return {table};
	}
} // namespace archdyke::bench
