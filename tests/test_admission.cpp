/// Admission queue of an agent: bounds, fairness and early refusal.
#include <map>

#include "archdyke/admission.h"
#include "check.h"

using namespace archdyke;

namespace
{
	AdmissionQueue queue(std::uint32_t _slots, std::size_t _capacity)
	{
		AdmissionQueue admission;
		admission.slots = _slots;
		admission.capacity = _capacity;
		admission.meanRunMs = 10.0;
		return admission;
	}

	QueuedRun run(const std::string& _id, const std::string& _organisation, std::uint32_t _weight = 1, Millis _deadline = 1'000'000)
	{
		return {{_id, 0}, _organisation, _weight, _deadline, 0};
	}
} // namespace

Test(admission, refuses_at_once_what_would_wait_past_its_deadline)
{
	AdmissionQueue admission = queue(1, 100);
	admitRun(admission, run("a", "x"), 0);
	takeRun(admission, 0);
	const AdmissionResult result = admitRun(admission, run("b", "x", 1, 5), 0);
	cr_assert(RefusalReason::Deadline == result.refusal);
	cr_assert(0 < result.retryAfterMs);
}

Test(admission, a_full_queue_evicts_runs_of_the_largest_organisation)
{
	AdmissionQueue admission = queue(1, 10);
	for (int index = 0; index < 10; ++index)
	{
		admitRun(admission, run("flood" + std::to_string(index), "large"), 0);
	}
	cr_assert(RefusalReason::Overloaded == admitRun(admission, run("more", "large"), 0).refusal);
	const AdmissionResult result = admitRun(admission, run("small", "small"), 0);
	cr_assert(RefusalReason::None == result.refusal);
	cr_assert(result.evicted.has_value() && "flood9" == result.evicted->requestId);
	cr_assert(10 == admission.queued);
}

Test(admission, shares_slots_by_weight)
{
	AdmissionQueue admission = queue(1, 200);
	for (int index = 0; index < 90; ++index)
	{
		admitRun(admission, run("a" + std::to_string(index), "heavy", 3), 0);
		admitRun(admission, run("b" + std::to_string(index), "light", 1), 0);
	}
	std::map<std::string, int> served;
	for (int index = 0; index < 80; ++index)
	{
		served[takeRun(admission, 0).next->organisation] += 1;
		endRun(admission, 10);
	}
	cr_assert(59 <= served["heavy"] && served["heavy"] <= 61, "heavy got %d of 80", served["heavy"]);
}

Test(admission, expired_runs_are_returned)
{
	AdmissionQueue admission = queue(1, 10);
	admission.meanRunMs = 1.0;
	admitRun(admission, run("a", "x"), 0);
	admitRun(admission, run("b", "x", 1, 50), 0);
	takeRun(admission, 0);
	const TakeResult result = takeRun(admission, 60);
	cr_assert(1 == result.expired.size() && "b" == result.expired.front().requestId);
	cr_assert(0 == admission.queued);
}

/// Reference model: a list that is searched for the organisation whose next run has the smallest
/// virtual start time.
namespace
{
	struct ReferenceQueue
	{
		std::vector<QueuedRun> waiting;
		std::map<std::string, double> finish;
		double now = 0.0;

		std::string take()
		{
			std::map<std::string, double> tags;
			for (const QueuedRun& item : this->waiting)
			{
				tags[item.organisation] = std::max(this->now, this->finish[item.organisation]);
			}
			auto best = tags.begin();
			for (auto it = tags.begin(); it != tags.end(); ++it)
			{
				best = it->second < best->second ? it : best;
			}
			for (std::size_t index = 0; index < this->waiting.size(); ++index)
			{
				if (best->first == this->waiting[index].organisation)
				{
					const QueuedRun taken = this->waiting[index];
					this->now = best->second;
					this->finish[taken.organisation] = best->second + 1.0 / double(taken.weight);
					this->waiting.erase(this->waiting.begin() + std::ptrdiff_t(index));
					return taken.key.requestId;
				}
			}
			return "";
		}
	};
} // namespace

Test(admission, matches_the_reference_fair_queue)
{
	tests::checkProperty("fair queue against a list", [] {
		AdmissionQueue admission = queue(1, 1000);
		ReferenceQueue reference;
		const int steps = *rc::gen::inRange(1, 80);
		for (int index = 0; index < steps; ++index)
		{
			if (*rc::gen::arbitrary<bool>())
			{
				const std::string organisation = *rc::gen::element<std::string>("a", "b", "c");
				const std::uint32_t weight = "a" == organisation ? 3 : 1;
				const QueuedRun item = run(std::to_string(index), organisation, weight);
				RC_ASSERT(RefusalReason::None == admitRun(admission, item, 0).refusal);
				reference.waiting.push_back(item);
			}
			else if (!reference.waiting.empty())
			{
				const TakeResult result = takeRun(admission, 0);
				RC_ASSERT(result.next.has_value());
				RC_ASSERT(result.next->key.requestId == reference.take());
				endRun(admission, 10);
			}
			RC_ASSERT(admission.queued == reference.waiting.size());
		}
	});
}
