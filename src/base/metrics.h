/// Metrics of a process, served in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace archdyke
{
	using MetricLabels = std::map<std::string, std::string>;

	class Metrics
	{
	public:
		Metrics();

		/// @returns The counter with this name and these labels, created on first use. Callers on hot paths keep the
		/// reference.
		prometheus::Counter& counter(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		prometheus::Gauge& gauge(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		/// @returns A histogram of durations in seconds, with buckets from 0.5 ms to 60 s.
		prometheus::Histogram& seconds(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		/// @returns All metrics in the Prometheus text format.
		std::string serialize() const;

	private:
		std::shared_ptr<prometheus::Registry> registry;
	};
} // namespace archdyke
