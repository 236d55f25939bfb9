#include <algorithm>
#include <numeric>

#include "archdyke/placement.h"

namespace archdyke
{
	namespace
	{
		/// Weight of the newest window in the moving mean of the load.
		constexpr double kNewestWindowWeight = 0.6;
		/// Maximum allowance, in minutes of expertsPerMinute.
		constexpr double kMaxAllowanceMinutes = 1.0;
		/// Consecutive windows above the tolerance before experts are moved, so that a shorter burst causes no
		/// moves.
		constexpr std::uint32_t kWindowsBeforeMove = 2;
		/// A window whose skew exceeds this multiple of the tolerance triggers moves immediately, based on that window
		/// alone.
		constexpr double kUrgentTolerances = 3.0;
		constexpr double kMsPerMinute = 60'000.0;

		void smooth(PlacementState& _state, const ExpertLoad& _window, double _newestWeight)
		{
			if (_state.smoothed.size() != _window.size())
			{
				_state.smoothed = _window;
				return;
			}
			for (std::size_t layer = 0; layer < _window.size(); ++layer)
			{
				for (std::size_t expert = 0; expert < _window[layer].size(); ++expert)
				{
					double& mean = _state.smoothed[layer][expert];
					mean += _newestWeight * (_window[layer][expert] - mean);
				}
			}
		}

		void growAllowance(PlacementState& _state, const PlacementPolicy& _policy, Millis _now)
		{
			const double maxAllowance = _policy.expertsPerMinute * kMaxAllowanceMinutes;
			const double earned = _state.started ? _policy.expertsPerMinute * double(_now - _state.allowanceUpdatedAt) / kMsPerMinute : maxAllowance;
			_state.allowance = std::min(maxAllowance, _state.allowance + earned);
			_state.allowanceUpdatedAt = _now;
			_state.started = true;
		}
	} // namespace

	PlacementPlan decidePlacement(PlacementState& _state, PlacementInput _input, const PlacementPolicy& _policy, Millis _now)
	{
		const double windowSkew = skewOf(_input.hosts, _input.load, _input.ranks);
		const bool urgent = windowSkew > kUrgentTolerances * _policy.skewTolerance && _state.started;
		smooth(_state, _input.load, urgent ? 1.0 : kNewestWindowWeight);
		growAllowance(_state, _policy, _now);
		_input.load = _state.smoothed;
		_input.budget = _state.allowance;
		PlacementPlan keep{_input.hosts, 0, 0.0, 0.0};
		keep.skewBefore = keep.skewAfter = skewOf(_input.hosts, _input.load, _input.ranks);
		_state.windowsAboveTolerance = keep.skewBefore > _policy.skewTolerance ? _state.windowsAboveTolerance + 1 : 0;
		if (!urgent && _state.windowsAboveTolerance < kWindowsBeforeMove)
		{
			return keep;
		}
		const PlacementPlan plan = planMoves(_input, _policy.skewTolerance);
		if (0 == plan.staged)
		{
			return keep;
		}
		_state.allowance -= double(plan.staged);
		return plan;
	}

	std::optional<ExpertLoad> countsSince(const ExpertLoad& _before, const ExpertLoad& _now)
	{
		if (_before.size() != _now.size())
		{
			return std::nullopt;
		}
		ExpertLoad result = _now;
		for (std::size_t layer = 0; layer < _now.size(); ++layer)
		{
			for (std::size_t expert = 0; expert < _now[layer].size(); ++expert)
			{
				result[layer][expert] -= _before[layer][expert];
				if (result[layer][expert] < 0.0)
				{
					return std::nullopt;
				}
			}
		}
		return result;
	}

	double meanTokensPerLayer(const ExpertLoad& _window)
	{
		double total = 0.0;
		for (const std::vector<double>& layer : _window)
		{
			total = std::accumulate(layer.begin(), layer.end(), total);
		}
		return _window.empty() ? 0.0 : total / double(_window.size());
	}
} // namespace archdyke
