#include "gateway/cold_limits.h"

namespace archdyke::gateway
{
	namespace
	{
		/// The number of gateways must have been told for this long without growth, ms: after a mass restart
		/// coordinators hear of gateways one by one, and one that goes by half their number sends twice its share.
		constexpr Millis kSteadyMs = 1'500;

		std::optional<ColdTerms> termsOf(const GatewayState& _state, const CatalogService& _service, Millis _now)
		{
			if (!_service.cold)
			{
				return std::nullopt;
			}
			const Bounds& bounds = _state.settings.bounds;
			const double borne = _service.cold->requestsPerS;
			const std::optional<std::uint32_t> gateways = gatewaysTold(_state.resendShare, bounds.retryWindowMs, kSteadyMs, _now);
			return ColdTerms{borne, borne * bounds.coldOvershoot + bounds.coldAllowance, gateways.value_or(kMostGateways)};
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
			_state.board.limitCold(service.name, termsOf(_state, service, _now));
		}
	}

	Millis coldAfterStartMs(const GatewayState& _state, const std::string& _service)
	{
		const CatalogService* service = nullptr == _state.catalog ? nullptr : findService(*_state.catalog, _service);
		return nullptr != service && service->cold ? service->cold->coldMs : 0;
	}
} // namespace archdyke::gateway
