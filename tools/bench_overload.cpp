/// Overload: a burst of three times capacity, one organisation flooding nine others. The
/// agent's queue against a plain first-come queue that refuses only when it is full.
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
		constexpr Millis kLengthMs = 300'000; ///< With the quiet time after the burst.
		constexpr std::size_t kCapacity = 256;
		constexpr int kSmall = 9;
		constexpr double kPerMs = double(kSlots) / double(kRunMs); ///< Capacity.
		constexpr int kMostTries = 8;

		struct Caller
		{
			std::string organisation;
			Millis firstAt = 0;
			int tries = 0;
		};

		struct Figures
		{
			double goodput = 0.0;      ///< Served in time, by capacity.
			double smallShare = 0.0;   ///< Least of the small ones' served, by its fair share.
			double servedAtAll = 0.0;  ///< Of all callers, after coming back.
			double retries = 0.0;      ///< Sendings for each caller.
			double rightRetry = 0.0;   ///< Retries at the time told that got in.
			double lateRefusals = 0.0; ///< Refused only after waiting.
		};

		/// The plain queue behind the same face.
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
				this->fair.slots = kSlots;
				this->fair.capacity = kCapacity;
				this->fair.meanRunMs = kRunMs;
			}

			Figures run()
			{
				std::poisson_distribution<int> flood(kPerMs * 2.55);
				std::poisson_distribution<int> quiet(kPerMs * 0.05);
				std::poisson_distribution<int> small(kPerMs * 0.05);
				for (this->now = 0; this->now < kLengthMs; ++this->now)
				{
					const bool burst = this->now < kBurstMs;
					this->arrive("large", burst ? flood(this->random) : quiet(this->random));
					for (int index = 0; index < kSmall; ++index)
					{
						this->arrive("small" + std::to_string(index), small(this->random));
					}
					this->comeBack();
					this->finishRuns();
					this->startRuns();
				}
				return this->figures();
			}

		private:
			void arrive(const std::string& _organisation, int _count)
			{
				for (int index = 0; index < _count; ++index)
				{
					const std::string id = std::to_string(this->nextId++);
					this->callers[id] = {_organisation, this->now, 0};
					this->asked[_organisation] += 1;
					this->send(id, false);
				}
			}

			void send(const std::string& _id, bool _isRetry)
			{
				Caller& caller = this->callers[_id];
				caller.tries += 1;
				this->sendings += 1;
				const QueuedRun run{{_id, 0}, caller.organisation, 1, this->now + kDeadlineMs, this->now};
				bool taken = true;
				Millis retryAfter = 1'000;
				if (this->plain)
				{
					taken = this->queue.waiting.size() < kCapacity;
					if (taken)
					{
						this->queue.waiting.push_back(run);
					}
				}
				else
				{
					const AdmissionResult result = admitRun(this->fair, run, this->now);
					taken = RefusalReason::None == result.refusal;
					retryAfter = result.retryAfterMs;
					if (result.evicted)
					{
						this->refuse(result.evicted->requestId, result.retryAfterMs, true);
					}
				}
				this->retrySent += _isRetry ? 1 : 0;
				this->retryTaken += _isRetry && taken ? 1 : 0;
				if (!taken)
				{
					this->refuse(_id, retryAfter, false);
				}
			}

			void refuse(const std::string& _id, Millis _retryAfterMs, bool _late)
			{
				this->refusals += 1;
				this->late += _late ? 1 : 0;
				if (this->callers[_id].tries < kMostTries)
				{
					this->back.emplace(this->now + std::max<Millis>(1, _retryAfterMs), _id);
				}
			}

			void comeBack()
			{
				while (!this->back.empty() && this->back.begin()->first <= this->now)
				{
					const std::string id = this->back.begin()->second;
					this->back.erase(this->back.begin());
					this->send(id, true);
				}
			}

			void finishRuns()
			{
				while (!this->ends.empty() && this->ends.begin()->first <= this->now)
				{
					const QueuedRun run = this->ends.begin()->second;
					this->ends.erase(this->ends.begin());
					const bool inTime = this->now <= run.deadline;
					this->served[run.organisation] += inTime ? 1 : 0;
					this->servedInBurst += inTime && this->now < kBurstMs ? 1 : 0;
					if (this->plain)
					{
						this->queue.running -= 1;
					}
					else
					{
						endRun(this->fair, kRunMs);
					}
				}
			}

			void startRuns()
			{
				if (this->plain)
				{
					while (!this->queue.waiting.empty() && this->queue.running < kSlots)
					{
						this->ends.emplace(this->now + kRunMs, this->queue.waiting.front());
						this->queue.waiting.pop_front();
						this->queue.running += 1;
					}
					return;
				}
				while (true)
				{
					const TakeResult result = takeRun(this->fair, this->now);
					for (const RunKey& expired : result.expired)
					{
						this->refuse(expired.requestId, 100, true);
					}
					if (!result.next)
					{
						return;
					}
					this->ends.emplace(this->now + kRunMs, *result.next);
				}
			}

			Figures figures()
			{
				Figures result;
				result.smallShare = 1e9;
				int all = 0;
				for (const auto& [organisation, count] : this->served)
				{
					all += count;
				}
				result.servedAtAll = double(all) / double(this->callers.size());
				for (int index = 0; index < kSmall; ++index)
				{
					// A small one asks for less than a tenth, so its fair share is what it asks.
					const std::string name = "small" + std::to_string(index);
					result.smallShare = std::min(result.smallShare, double(this->served[name]) / double(this->asked[name]));
				}
				result.goodput = double(this->servedInBurst) / (kPerMs * double(kBurstMs));
				result.retries = double(this->sendings) / double(this->callers.size());
				result.rightRetry = 0 == this->retrySent ? 1.0 : double(this->retryTaken) / double(this->retrySent);
				result.lateRefusals = this->refusals == 0 ? 0.0 : double(this->late) / double(this->refusals);
				return result;
			}

			const bool plain;
			Random random;
			AdmissionQueue fair;
			PlainQueue queue;
			Millis now = 0;
			std::uint64_t nextId = 0;
			std::map<std::string, Caller> callers;
			std::multimap<Millis, std::string> back;
			std::multimap<Millis, QueuedRun> ends;
			std::map<std::string, int> served;
			std::map<std::string, int> asked;
			int servedInBurst = 0;
			int sendings = 0;
			int refusals = 0;
			int late = 0;
			int retrySent = 0;
			int retryTaken = 0;
		};
	} // namespace

	std::vector<Table> benchOverload()
	{
		Table table;
		table.title = fmt::format("overload, three times capacity for {} s, then half of it; one organisation sends 85% of the burst, nine others 5% of capacity each; callers come back when told, {} times at most; {} seeds", kBurstMs / 1000, kMostTries - 1, kSeeds);
		table.columns = {"version", "goodput in the burst %", "callers served in the end %", "worst small one's share %", "sendings a caller", "retries that got in %", "refused after waiting %"};
		for (const bool plain : {true, false})
		{
			std::vector<double> goodput;
			std::vector<double> atAll;
			std::vector<double> share;
			std::vector<double> retries;
			std::vector<double> right;
			std::vector<double> late;
			for (int seed = 1; seed <= kSeeds; ++seed)
			{
				const Figures figures = Simulation(plain, std::uint64_t(seed)).run();
				goodput.push_back(100.0 * figures.goodput);
				atAll.push_back(100.0 * figures.servedAtAll);
				share.push_back(100.0 * figures.smallShare);
				retries.push_back(figures.retries);
				right.push_back(100.0 * figures.rightRetry);
				late.push_back(100.0 * figures.lateRefusals);
			}
			table.rows.push_back({plain ? "first come, refuse when full" : "archdyke", show(spreadOf(goodput), 1), show(spreadOf(atAll), 1), show(spreadOf(share), 1), show(spreadOf(retries), 2), show(spreadOf(right), 1), show(spreadOf(late), 1)});
		}
		return {table};
	}
} // namespace archdyke::bench
