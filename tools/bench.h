/// Benches. Each returns tables, which archdyke-bench prints as text or JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace archdyke::bench
{
	/// One table. The first cell of a row is its name.
	struct Table
	{
		std::string title;
		std::vector<std::string> columns;
		std::vector<std::vector<std::string>> rows;

		bool operator==(const Table&) const = default;
	};

	/// Median and range of a figure over several seeds.
	struct Spread
	{
		double median = 0.0;
		double min = 0.0;
		double max = 0.0;
	};

	Spread spreadOf(std::vector<double> _values);

	/// @returns "median (min..max)".
	std::string formatSpread(const Spread& _spread, int _digits);

	/// Least-squares line through measured points.
	struct Fit
	{
		double slope = 0.0;
		double intercept = 0.0;
		double relativeError = 0.0; ///< Root mean square of the residuals, divided by the mean value.
	};

	Fit fitLine(const std::vector<double>& _x, const std::vector<double>& _y);

	constexpr int kSeeds = 5; ///< Seeds per figure.

	std::vector<Table> benchPlacement();
	std::vector<Table> benchRouting();
	std::vector<Table> benchOverload();
	std::vector<Table> benchCost();
	std::vector<Table> benchGroups();
	std::vector<Table> benchMaps();
	std::vector<Table> benchShifts();
	std::vector<Table> benchOverhead();
} // namespace archdyke::bench
