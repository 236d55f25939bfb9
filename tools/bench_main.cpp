/// archdyke-bench: measures decisions on small models, and processes by running them.
#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>

#include "bench.h"

namespace archdyke::bench
{
	Spread spreadOf(std::vector<double> _values)
	{
		std::sort(_values.begin(), _values.end());
		return {_values[_values.size() / 2], _values.front(), _values.back()};
	}

	std::string formatSpread(const Spread& _spread, int _digits)
	{
		return fmt::format("{:.{}f} ({:.{}f}..{:.{}f})", _spread.median, _digits, _spread.min, _digits, _spread.max, _digits);
	}

	Fit fitLine(const std::vector<double>& _x, const std::vector<double>& _y)
	{
		const double n = double(_x.size());
		double sx = 0.0;
		double sy = 0.0;
		double sxx = 0.0;
		double sxy = 0.0;
		for (std::size_t index = 0; index < _x.size(); ++index)
		{
			sx += _x[index];
			sy += _y[index];
			sxx += _x[index] * _x[index];
			sxy += _x[index] * _y[index];
		}
		Fit fit;
		fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
		fit.intercept = (sy - fit.slope * sx) / n;
		double squares = 0.0;
		for (std::size_t index = 0; index < _x.size(); ++index)
		{
			squares += std::pow(_y[index] - fit.intercept - fit.slope * _x[index], 2.0);
		}
		fit.relativeError = std::sqrt(squares / n) / (sy / n);
		return fit;
	}

	namespace
	{
		void printTable(const Table& _table)
		{
			std::vector<std::size_t> widths;
			for (std::size_t column = 0; column < _table.columns.size(); ++column)
			{
				std::size_t width = _table.columns[column].size();
				for (const std::vector<std::string>& row : _table.rows)
				{
					width = std::max(width, row[column].size());
				}
				widths.push_back(width);
			}
			const auto line = [&](const std::vector<std::string>& _cells) {
				std::string text;
				for (std::size_t column = 0; column < _cells.size(); ++column)
				{
					text += fmt::format("{:<{}}  ", _cells[column], widths[column]);
				}
				std::cout << text.substr(0, text.find_last_not_of(' ') + 1) << "\n";
			};
			std::cout << _table.title << "\n";
			line(_table.columns);
			for (const std::vector<std::string>& row : _table.rows)
			{
				line(row);
			}
			std::cout << "\n";
		}

		nlohmann::json toJson(const std::vector<Table>& _tables)
		{
			nlohmann::json json = nlohmann::json::array();
			for (const Table& table : _tables)
			{
				json.push_back({{"title", table.title}, {"columns", table.columns}, {"rows", table.rows}});
			}
			return json;
		}

		/// Writes one tab-separated file per table for gnuplot, with only the median of each spread.
		void writePlotData(const std::string& _name, const std::vector<Table>& _tables, const std::string& _directory)
		{
			for (std::size_t index = 0; index < _tables.size(); ++index)
			{
				std::ofstream file(_directory + "/" + _name + "-" + std::to_string(index) + ".tsv");
				for (const std::vector<std::string>& row : _tables[index].rows)
				{
					for (const std::string& cell : row)
					{
						file << cell.substr(0, cell.find(" (")) << "\t";
					}
					file << "\n";
				}
			}
		}

		int run(int _argc, char** _argv)
		{
			static const std::map<std::string, std::vector<Table> (*)()> kBenches{{"placement", benchPlacement}, {"routing", benchRouting}, {"overload", benchOverload}, {"cost", benchCost}, {"groups", benchGroups}, {"maps", benchMaps}, {"shifts", benchShifts}, {"overhead", benchOverhead}};
			cxxopts::Options options("archdyke-bench", "Measures: placement, routing, overload, cost, groups or overhead.");
			options.add_options()("name", "Name of the bench", cxxopts::value<std::string>()->default_value(""))("output", "text or json", cxxopts::value<std::string>()->default_value("text"))("plot", "Directory for plot data", cxxopts::value<std::string>()->default_value(""))("h,help", "Print this help");
			options.parse_positional({"name"});
			const cxxopts::ParseResult parsed = options.parse(_argc, _argv);
			const std::string name = parsed["name"].as<std::string>();
			const auto bench = kBenches.find(name);
			if (0 < parsed.count("help") || kBenches.end() == bench)
			{
				std::cout << options.help();
				return 0 < parsed.count("help") ? 0 : 2;
			}
			const std::vector<Table> tables = bench->second();
			if (!parsed["plot"].as<std::string>().empty())
			{
				writePlotData(name, tables, parsed["plot"].as<std::string>());
			}
			if ("json" == parsed["output"].as<std::string>())
			{
				std::cout << toJson(tables).dump(1, '\t') << "\n";
				return 0;
			}
			for (const Table& table : tables)
			{
				printTable(table);
			}
			return 0;
		}
	} // namespace
} // namespace archdyke::bench

int main(int _argc, char** _argv)
{
	try
	{
		return archdyke::bench::run(_argc, _argv);
	}
	catch (const std::exception& error)
	{
		std::cerr << "archdyke-bench: " << error.what() << "\n";
		return 2;
	}
}
