#include "gateway/admit.h"

#include "archdyke/batch_admission.h"
#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Between two looks for room, ms: a fraction of a pass.
		constexpr Millis kLookMs = 10;
		/// What is known of a group counts for this long, ms; older, requests are just sent.
		constexpr Millis kViewMaxAgeMs = 1'000;
		/// After an upstream has said that its group failed, ms; by then the coordinator says
		/// how it is.
		constexpr Millis kFaultMs = 400;
		/// A caller that has less of its patience left than this share was here before.
		constexpr double kFirstTimeShare = 0.97;

		const EngineModel* engineOf(const RequestContext& _context)
		{
			const CatalogService* service = findService(*_context.catalog, _context.service);
			return nullptr != service && service->engine ? &*service->engine : nullptr;
		}

		bool isDown(const GroupView& _view, Millis _now)
		{
			const bool told = _now - _view.at <= kViewMaxAgeMs && !_view.open;
			return told || _now < _view.faultUntil;
		}

		BatchRequest batchRequest(const RequestContext& _context)
		{
			const Millis patience = _context.caller.patienceMs.value_or(_context.route->timeoutMs);
			const bool cameBack = double(patience) < kFirstTimeShare * double(_context.route->timeoutMs);
			return {_context.route->gapObjectiveMs, cameBack};
		}

		BatchView batchView(const RequestContext& _context, const GroupView& _view, Millis _now)
		{
			const double passMs = _now - _view.at <= kViewMaxAgeMs ? _view.passMs : 0.0;
			return {passMs, _context.state.board.meanLoad(_context.service, _now)};
		}
	} // namespace

	void noteGroupFault(GatewayState& _state, const std::string& _service, Millis _now)
	{
		_state.groups[_service].faultUntil = _now + kFaultMs;
	}

	aio::Task<std::optional<Refusal>> admit(RequestContext& _context)
	{
		const EngineModel* engine = engineOf(_context);
		if (nullptr == engine || !_context.route->stream)
		{
			co_return std::nullopt;
		}
		GatewayState& state = _context.state;
		const BatchRequest request = batchRequest(_context);
		const Millis until = nowMs() + longestWait(_context.route->objectiveMs);
		while (true)
		{
			const Millis now = nowMs();
			const GroupView view = state.groups[_context.service];
			if (isDown(view, now))
			{
				co_return refuseNotRun(_context, RefusalCause::GroupDown);
			}
			const BatchView batch = batchView(_context, view, now);
			if (mayEnter(*engine, batch, request))
			{
				co_return std::nullopt;
			}
			if (until <= now)
			{
				logInfo("no_room", {{"request", _context.caller.id}, {"service", _context.service}, {"mean_load", batch.meanLoad}, {"limit", batchLimit(*engine, batch, request.gapObjectiveMs)}, {"pass_ms", batch.passMs}, {"view_age_ms", now - view.at}, {"came_back", request.cameBack}});
				co_return refuseNotRun(_context, RefusalCause::Overloaded);
			}
			co_await state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
		}
	}
} // namespace archdyke::gateway
