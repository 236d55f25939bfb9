#include "archdyke/admission.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Weight of a new run time in the moving average.
		constexpr double kMeanRunGain = 0.1;
		constexpr Millis kMinRetryAfterMs = 100;
		constexpr Millis kMaxRetryAfterMs = 300'000;
		/// Organisations with a stored retry time from which past ones are erased.
		constexpr std::size_t kMaxRetryTimes = 1'024;

		double queuedPerWeight(const OrganisationQueue& _queue)
		{
			return _queue.runs.empty() ? 0.0 : double(_queue.runs.size()) / double(_queue.runs.back().weight);
		}

		double totalWeight(const AdmissionQueue& _admission)
		{
			double weight = 0.0;
			for (const auto& [name, queue] : _admission.organisations)
			{
				weight += queue.runs.empty() ? 0.0 : double(queue.runs.back().weight);
			}
			return weight;
		}

		double runsPerMs(const AdmissionQueue& _admission)
		{
			return double(_admission.slots) / std::max(1.0, _admission.meanRunMs);
		}

		/// @returns Time until the queue has drained to half, when it surely accepts a new run, ms.
		Millis halfDrainMs(const AdmissionQueue& _admission)
		{
			const double runs = double(_admission.queued) / 2.0 + 1.0;
			return std::max(kMinRetryAfterMs, Millis(std::ceil(runs / runsPerMs(_admission))));
		}

		/// Reserves the next retry time of an organisation for a refused caller.
		/// @returns Its retry delay, ms.
		Millis reserveRetryAfterMs(AdmissionQueue& _admission, const std::string& _organisation, std::uint32_t _weight, Millis _now)
		{
			const bool hasQueuedRuns = _admission.organisations.contains(_organisation) && !_admission.organisations[_organisation].runs.empty();
			const double share = double(_weight) / (totalWeight(_admission) + (hasQueuedRuns ? 0.0 : double(_weight)));
			double& last = _admission.returns[_organisation];
			last = std::max(double(_now + halfDrainMs(_admission)), last + 1.0 / (runsPerMs(_admission) * share));
			last = std::min(last, double(_now + kMaxRetryAfterMs));
			const Millis result = Millis(last) - _now;
			if (kMaxRetryTimes < _admission.returns.size())
			{
				absl::erase_if(_admission.returns, [&](const auto& _retryTime) {
					return _retryTime.second < double(_now);
				});
			}
			return result;
		}

		AdmissionResult refuse(AdmissionQueue& _admission, const QueuedRun& _run, RefusalReason _reason, Millis _now)
		{
			return {_reason, reserveRetryAfterMs(_admission, _run.organisation, _run.weight, _now), std::nullopt};
		}

		void removeIfIdle(AdmissionQueue& _admission, const std::string& _organisation)
		{
			const auto it = _admission.organisations.find(_organisation);
			if (_admission.organisations.end() != it && it->second.runs.empty() && it->second.finishTag <= _admission.virtualTime)
			{
				_admission.organisations.erase(it);
			}
		}

		std::string largestOrganisation(const AdmissionQueue& _admission)
		{
			const auto it = std::max_element(_admission.organisations.begin(), _admission.organisations.end(), [](const auto& _a, const auto& _b) {
				return queuedPerWeight(_a.second) < queuedPerWeight(_b.second);
			});
			return it->first;
		}

		/// Removes the runs that can't finish by their deadline.
		std::vector<RunKey> removeExpired(AdmissionQueue& _admission, Millis _now)
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

	Millis estimateWaitMs(const AdmissionQueue& _admission, const std::string& _organisation, std::uint32_t _weight)
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

	AdmissionResult admitRun(AdmissionQueue& _admission, const QueuedRun& _run, Millis _now)
	{
		if (_now + estimateWaitMs(_admission, _run.organisation, _run.weight) + Millis(_admission.meanRunMs) > _run.deadline)
		{
			return refuse(_admission, _run, RefusalReason::Deadline, _now);
		}
		AdmissionResult result;
		if (_admission.capacity <= _admission.queued)
		{
			const std::string largestName = largestOrganisation(_admission);
			OrganisationQueue& largest = _admission.organisations[largestName];
			const auto own = _admission.organisations.find(_run.organisation);
			const double ownRuns = _admission.organisations.end() == own ? 0.0 : double(own->second.runs.size());
			if ((ownRuns + 1.0) / double(_run.weight) >= queuedPerWeight(largest))
			{
				return refuse(_admission, _run, RefusalReason::Overloaded, _now);
			}
			const QueuedRun& last = largest.runs.back();
			result.evicted = last.key;
			result.retryAfterMs = reserveRetryAfterMs(_admission, last.organisation, last.weight, _now);
			largest.runs.pop_back();
			_admission.queued -= 1;
		}
		_admission.organisations[_run.organisation].runs.push_back(_run);
		_admission.queued += 1;
		return result;
	}

	TakeResult takeRun(AdmissionQueue& _admission, Millis _now)
	{
		TakeResult result;
		result.expired = removeExpired(_admission, _now);
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
		removeIfIdle(_admission, result.next->organisation);
		return result;
	}

	void removeRun(AdmissionQueue& _admission, const RunKey& _key)
	{
		for (auto& [name, queue] : _admission.organisations)
		{
			_admission.queued -= std::erase_if(queue.runs, [&](const QueuedRun& _run) {
				return _key == _run.key;
			});
		}
	}

	void endRun(AdmissionQueue& _admission, Millis _runMs)
	{
		_admission.running -= 1;
		_admission.meanRunMs += kMeanRunGain * (double(_runMs) - _admission.meanRunMs);
	}
} // namespace archdyke
