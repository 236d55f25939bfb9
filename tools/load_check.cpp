#include <algorithm>
#include <cmath>

#include "load.h"

namespace archdyke::lab
{
	LoadOptions loadOptionsFor(const Document& _document)
	{
		LoadOptions options;
		for (const Organisation& organisation : _document.organisations)
		{
			options.organisations.push_back(organisation.name);
		}
		for (const Service& service : _document.services)
		{
			const bool model = ServiceKind::Model == service.kind;
			(model ? options.model : options.plain) = service.name;
			const bool hasRule = !service.notRepeatable.empty();
			options.notRepeatablePath = hasRule ? service.notRepeatable.front().pathPrefix : options.notRepeatablePath;
		}
		return options;
	}

	int Violations::total() const
	{
		return this->foreign + this->cleanlyTruncated + this->ranDespiteNotRun + this->doubled + this->silent;
	}

	Violations judge(const LoadResult& _result, const std::map<std::string, int>& _runs)
	{
		Violations violations;
		for (const CallRecord& call : _result.calls)
		{
			const auto it = _runs.find(call.token);
			const int runs = _runs.end() == it ? 0 : it->second;
			const bool allNotRun = !call.told.empty() && 0 == call.lost && std::all_of(call.told.begin(), call.told.end(), [](Outcome _outcome) {
				return Outcome::NotRun == _outcome;
			});
			violations.foreign += call.foreign ? 1 : 0;
			violations.cleanlyTruncated += call.cleanlyTruncated ? 1 : 0;
			violations.ranDespiteNotRun += allNotRun && 0 < runs ? 1 : 0;
			violations.doubled += CallKind::NotRepeatable == call.kind && 1 < runs ? 1 : 0;
			violations.silent += call.told.empty() ? 1 : 0;
		}
		return violations;
	}

	double quantile(std::vector<double> _values, double _share)
	{
		if (_values.empty())
		{
			return 0.0;
		}
		std::sort(_values.begin(), _values.end());
		const std::size_t rank = std::size_t(std::ceil(_share * double(_values.size())));
		return _values[std::min(_values.size() - 1, 0 == rank ? 0 : rank - 1)];
	}

	LoadSummary summarizeLoad(const LoadResult& _result)
	{
		LoadSummary figures;
		std::vector<double> first;
		std::vector<double> total;
		for (const CallRecord& call : _result.calls)
		{
			figures.calls += 1;
			figures.whole += call.whole ? 1 : 0;
			figures.broken += call.visiblyBroken ? 1 : 0;
			const bool answered = !call.told.empty();
			figures.notRun += answered && Outcome::NotRun == call.told.back() ? 1 : 0;
			figures.unknown += answered && Outcome::Unknown == call.told.back() ? 1 : 0;
			if (!call.reason.empty())
			{
				figures.reasons[call.reason] += 1;
			}
			if (call.whole)
			{
				total.push_back(call.totalMs);
			}
			if (call.whole && CallKind::Streamed == call.kind)
			{
				first.push_back(call.firstByteMs);
			}
		}
		figures.firstP50 = quantile(first, 0.5);
		figures.firstP95 = quantile(first, 0.95);
		figures.firstP99 = quantile(first, 0.99);
		figures.totalP50 = quantile(total, 0.5);
		figures.totalP99 = quantile(total, 0.99);
		return figures;
	}
} // namespace archdyke::lab
