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

		double sharePerWeight(const OrganisationQueue& _queue)
		{
			return _queue.runs.empty() ? 0.0 : double(_queue.runs.size()) / double(_queue.runs.back().weight);
		}

		double totalWeight(const Admission& _admission)
		{
			double weight = 0.0;
			for (const auto& [name, queue] : _admission.organisations)
			{
				weight += queue.runs.empty() ? 0.0 : double(queue.runs.back().weight);
			}
			return weight;
		}

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
			const bool waits = _admission.organisations.contains(_organisation) && !_admission.organisations[_organisation].runs.empty();
			const double share = double(_weight) / (totalWeight(_admission) + (waits ? 0.0 : double(_weight)));
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

		void dropIfIdle(Admission& _admission, const std::string& _organisation)
		{
			const auto it = _admission.organisations.find(_organisation);
			if (_admission.organisations.end() != it && it->second.runs.empty() && it->second.finishTag <= _admission.virtualTime)
			{
				_admission.organisations.erase(it);
			}
		}

		std::string largestHolder(const Admission& _admission)
		{
			const auto it = std::max_element(_admission.organisations.begin(), _admission.organisations.end(), [](const auto& _a, const auto& _b) {
				return sharePerWeight(_a.second) < sharePerWeight(_b.second);
			});
			return it->first;
		}

		/// @returns Runs that leave the queue because they can't end by their deadline.
		std::vector<RunKey> takeExpired(Admission& _admission, Millis _now)
		{
			std::vector<RunKey> expired;
			for (auto& [name, queue] : _admission.organisations)
			{
				_admission.queued -= std::erase_if(queue.runs, [&](const QueuedRun& _run) {
					const bool late = _run.deadline < _now + Millis(_admission.meanRunMs);
					if (late)
					{
						expired.push_back(_run.key);
					}
					return late;
				});
			}
			return expired;
		}
	} // namespace

	Millis estimateWaitMs(const Admission& _admission, const std::string& _organisation, std::uint32_t _weight)
	{
		if (_admission.running < _admission.slots && 0 == _admission.queued)
		{
			return 0;
		}
		const auto it = _admission.organisations.find(_organisation);
		const double own = _admission.organisations.end() == it ? 0.0 : double(it->second.runs.size());
		const double others = totalWeight(_admission) - (own > 0.0 ? double(_weight) : 0.0);
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
			const std::string holder = largestHolder(_admission);
			OrganisationQueue& largest = _admission.organisations[holder];
			const auto own = _admission.organisations.find(_run.organisation);
			const double ownRuns = _admission.organisations.end() == own ? 0.0 : double(own->second.runs.size());
			if ((ownRuns + 1.0) / double(_run.weight) >= sharePerWeight(largest))
			{
				return refuse(_admission, _run, RefusalReason::Overloaded, _now);
			}
			const QueuedRun& last = largest.runs.back();
			result.evicted = last.key;
			result.retryAfterMs = promiseReturn(_admission, last.organisation, last.weight, _now);
			largest.runs.pop_back();
			_admission.queued -= 1;
		}
		_admission.organisations[_run.organisation].runs.push_back(_run);
		_admission.queued += 1;
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
		OrganisationQueue* best = nullptr;
		double bestTag = 0.0;
		for (auto& [name, queue] : _admission.organisations)
		{
			const double tag = std::max(_admission.virtualTime, queue.finishTag);
			if (!queue.runs.empty() && (nullptr == best || tag < bestTag))
			{
				best = &queue;
				bestTag = tag;
			}
		}
		result.next = best->runs.front();
		best->runs.pop_front();
		best->finishTag = bestTag + 1.0 / double(result.next->weight);
		_admission.virtualTime = bestTag;
		_admission.queued -= 1;
		_admission.running += 1;
		dropIfIdle(_admission, result.next->organisation);
		return result;
	}

	void removeRun(Admission& _admission, const RunKey& _key)
	{
		for (auto& [name, queue] : _admission.organisations)
		{
			_admission.queued -= std::erase_if(queue.runs, [&](const QueuedRun& _run) {
				return _key == _run.key;
			});
		}
	}

	void endRun(Admission& _admission, Millis _runMs)
	{
		_admission.running -= 1;
		_admission.meanRunMs += kMeanShare * (double(_runMs) - _admission.meanRunMs);
	}
} // namespace archdyke
