#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lovagetack::measure {

/// Figures of several runs of one thing, in the order of the runs.
using samples = std::vector<double>;

/// 0 without samples.
[[nodiscard]] double median(samples values);
[[nodiscard]] double lowest(const samples& values);
[[nodiscard]] double highest(const samples& values);

/// "MEDIAN (LOWEST to HIGHEST)", each with that many decimals.
[[nodiscard]] std::string spread_text(const samples& values, int decimals);
[[nodiscard]] std::string number_text(double value, int decimals);

/// y = intercept + slope * x, fitted by least squares.
struct line {
    double slope = 0;
    double intercept = 0;
};

/// Needs two different x; else a flat line.
[[nodiscard]] line fit_line(const std::vector<std::pair<double, double>>& points);

} // namespace lovagetack::measure
