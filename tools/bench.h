/// Benches: each prints tables of figures, and gives the same ones as JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace archdyke::bench
{
	/// One table. The first column of a row names it.
	struct Table
	{
		std::string title;
		std::vector<std::string> columns;
		std::vector<std::vector<std::string>> rows;

		bool operator==(const Table&) const = default;
	};

	/// Figures of several seeds: their median and how far they lie apart.
	struct Spread
	{
		double median = 0.0;
		double least = 0.0;
		double greatest = 0.0;
	};

	Spread spreadOf(std::vector<double> _values);

	/// @returns "median (least..greatest)".
	std::string show(const Spread& _spread, int _digits);

	/// A line through measured points, by least squares.
	struct Fit
	{
		double slope = 0.0;
		double base = 0.0;
		double error = 0.0; ///< Root mean square of the residuals, by the mean value.
	};

	Fit fitLine(const std::vector<double>& _x, const std::vector<double>& _y);

	constexpr int kSeeds = 5;

	std::vector<Table> benchPlacement();
	std::vector<Table> benchRouting();
	std::vector<Table> benchOverload();
	std::vector<Table> benchCost();
	std::vector<Table> benchGroups();
	std::vector<Table> benchMaps();
	std::vector<Table> benchShifts();
	std::vector<Table> benchOverhead();
} // namespace archdyke::bench
