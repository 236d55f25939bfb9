#include "base/metrics.h"

#include <prometheus/text_serializer.h>

namespace archdyke
{
	Metrics::Metrics()
	    : registry(std::make_shared<prometheus::Registry>())
	{
	}

	prometheus::Counter& Metrics::counter(const std::string& _name, const std::string& _help, const MetricLabels& _labels)
	{
		return prometheus::BuildCounter().Name(_name).Help(_help).Register(*this->registry).Add(_labels);
	}

	prometheus::Gauge& Metrics::gauge(const std::string& _name, const std::string& _help, const MetricLabels& _labels)
	{
		return prometheus::BuildGauge().Name(_name).Help(_help).Register(*this->registry).Add(_labels);
	}

	prometheus::Histogram& Metrics::seconds(const std::string& _name, const std::string& _help, const MetricLabels& _labels)
	{
		static const prometheus::Histogram::BucketBoundaries kBounds{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
		return prometheus::BuildHistogram().Name(_name).Help(_help).Register(*this->registry).Add(_labels, kBounds);
	}

	std::string Metrics::serialize() const
	{
		return prometheus::TextSerializer().Serialize(this->registry->Collect());
	}
} // namespace archdyke
