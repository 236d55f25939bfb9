#include "gateway/upstream_limits.h"

namespace archdyke::gateway
{
	namespace
	{
		std::optional<ColdCapacity> coldTermsOf(const GatewayState& _state, const CatalogService& _service, Millis _now)
		{
			if (!_service.cold)
			{
				return std::nullopt;
			}
			const Bounds& bounds = _state.settings.bounds;
			const double declaredRate = _service.cold->requestsPerS;
			const std::uint32_t gateways = estimateGatewayCount(_state.resendShare, _state.registry.addresses(), bounds.retryWindowMs, _now);
			return ColdCapacity{declaredRate, declaredRate * bounds.coldOvershoot + bounds.coldAllowance, gateways, _service.cold->coldMs};
		}
	} // namespace

	void refreshColdLimits(GatewayState& _state, Millis _now)
	{
		if (nullptr == _state.catalog)
		{
			return;
		}
		for (const CatalogService& service : _state.catalog->catalog.services)
		{
			_state.registry.setColdTerms(service.name, coldTermsOf(_state, service, _now));
		}
		// A service that was removed from the configuration has no limits any more.
		for (const std::string& service : _state.registry.servicesWithColdTerms())
		{
			if (nullptr == findService(*_state.catalog, service))
			{
				_state.registry.setColdTerms(service, std::nullopt);
			}
		}
	}

	void refreshNamedLimits(GatewayState& _state, Millis _now)
	{
		/// Windows of which the maximum reported gateway count is used: gateways that are partitioned or restart go on
		/// sending, but aren't counted.
		constexpr Millis kCountWindows = 6;
		const Bounds& bounds = _state.settings.bounds;
		const std::uint32_t gateways = estimateGatewayCount(_state.resendShare, _state.registry.addresses(), kCountWindows * bounds.retryWindowMs, _now);
		_state.registry.setLimitTerms({bounds.limitWindowMs, bounds.limitOvershoot, bounds.limitAllowance, gateways}, _now);
	}

	Millis coldAfterStartMs(const GatewayState& _state, const std::string& _service)
	{
		const CatalogService* service = nullptr == _state.catalog ? nullptr : findService(*_state.catalog, _service);
		return nullptr != service && service->cold ? service->cold->coldMs : 0;
	}
} // namespace archdyke::gateway
