#include "archdyke/admission.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Weight of a new run time in the moving mean.
		constexpr double kMeanShare = 0.1;
		/// Smallest time to come back that a caller is told, ms.
		constexpr Millis kLeastRetryAfterMs = 100;
		constexpr Millis kLongestRetryAfterMs = 300'000;
		/// Organisations whose last promise is remembered before old ones are forgotten.
		constexpr std::size_t kReturnsKept = 1'024;

		double runsPerMs(const Admission& _admission)
		{
			return double(_admission.slots) / std::max(1.0, _admission.meanRunMs);
		}

		/// Time until the queue has drained to half, where a new run surely finds a place.
		Millis drainMs(const Admission& _admission)
		{
			const double runs = double(_admission.queued) / 2.0 + 1.0;
			return std::max(kLeastRetryAfterMs, Millis(std::ceil(runs / runsPerMs(_admission))));
		}

		/// @returns When a refused caller should come back, ms from now.
		Millis promiseReturn(Admission& _admission, const std::string& _organisation, std::uint32_t _weight, Millis _now)
		{
			const auto flow = _admission.flows.find(_organisation);
			const bool waits = _admission.flows.end() != flow && !flow->second.items.empty();
			const double share = double(_weight) / (waitingWeight(_admission) + (waits ? 0.0 : double(_weight)));
			double& last = _admission.returns[_organisation];
			last = std::max(double(_now + drainMs(_admission)), last + 1.0 / (runsPerMs(_admission) * share));
			last = std::min(last, double(_now + kLongestRetryAfterMs));
			const Millis result = Millis(last) - _now;
			if (kReturnsKept < _admission.returns.size())
			{
				absl::erase_if(_admission.returns, [&](const auto& _return) {
					return _return.second < double(_now);
				});
			}
			return result;
		}

		AdmitResult refuse(Admission& _admission, const QueuedRun& _run, RefusalReason _reason, Millis _now)
		{
			return {_reason, promiseReturn(_admission, _run.organisation, _run.weight, _now), std::nullopt};
		}

		/// @returns Runs that leave the queue because they can't end by their deadline.
		std::vector<RunKey> takeExpired(Admission& _admission, Millis _now)
		{
			std::vector<RunKey> expired;
			eraseItems(_admission, [&](const QueuedRun& _run) {
				const bool late = _run.deadline < _now + Millis(_admission.meanRunMs);
				if (late)
				{
					expired.push_back(_run.key);
				}
				return late;
			});
			return expired;
		}
	} // namespace

	Millis estimateWaitMs(const Admission& _admission, const std::string& _organisation, std::uint32_t _weight)
	{
		if (_admission.running < _admission.slots && 0 == _admission.queued)
		{
			return 0;
		}
		const auto it = _admission.flows.find(_organisation);
		const double own = _admission.flows.end() == it ? 0.0 : double(it->second.items.size());
		const double others = waitingWeight(_admission) - (own > 0.0 ? double(_weight) : 0.0);
		const double fair = (own + 1.0) * (others + double(_weight)) / double(_weight);
		const double ahead = std::min(double(_admission.queued) + 1.0, fair);
		return Millis(ahead / runsPerMs(_admission));
	}

	AdmitResult admitRun(Admission& _admission, const QueuedRun& _run, Millis _now)
	{
		if (_now + estimateWaitMs(_admission, _run.organisation, _run.weight) + Millis(_admission.meanRunMs) > _run.deadline)
		{
			return refuse(_admission, _run, RefusalReason::Deadline, _now);
		}
		AdmitResult result;
		if (_admission.capacity <= _admission.queued)
		{
			FairFlow<QueuedRun>& largest = _admission.flows[largestFlow(_admission)];
			const auto own = _admission.flows.find(_run.organisation);
			const double ownRuns = _admission.flows.end() == own ? 0.0 : double(own->second.items.size());
			if ((ownRuns + 1.0) / double(_run.weight) >= sharePerWeight(largest))
			{
				return refuse(_admission, _run, RefusalReason::Overloaded, _now);
			}
			const QueuedRun& last = largest.items.back();
			result.evicted = last.key;
			result.retryAfterMs = promiseReturn(_admission, last.organisation, last.weight, _now);
			largest.items.pop_back();
			_admission.queued -= 1;
		}
		pushItem(_admission, _run.organisation, _run.weight, _run);
		return result;
	}

	TakeResult takeRun(Admission& _admission, Millis _now)
	{
		TakeResult result;
		result.expired = takeExpired(_admission, _now);
		if (_admission.slots <= _admission.running || 0 == _admission.queued)
		{
			return result;
		}
		result.next = takeFirst(_admission, nextFlow(_admission));
		_admission.running += 1;
		return result;
	}

	void removeRun(Admission& _admission, const RunKey& _key)
	{
		eraseItems(_admission, [&](const QueuedRun& _run) {
			return _key == _run.key;
		});
	}

	void endRun(Admission& _admission, Millis _runMs)
	{
		_admission.running -= 1;
		_admission.meanRunMs += kMeanShare * (double(_runMs) - _admission.meanRunMs);
	}
} // namespace archdyke
