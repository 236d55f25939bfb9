/// Counters and gauges of a process, served as Prometheus text.
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

		/// @returns The counter of that name and labels; made when new. Keep the reference
		/// where it is used often.
		prometheus::Counter& counter(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		prometheus::Gauge& gauge(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		/// Histogram of seconds from 0.5 ms to 60 s.
		prometheus::Histogram& seconds(const std::string& _name, const std::string& _help, const MetricLabels& _labels = {});

		/// @returns All of them in Prometheus text format.
		std::string serialize() const;

	private:
		std::shared_ptr<prometheus::Registry> registry;
	};
} // namespace archdyke
