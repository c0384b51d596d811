#include "measure/statistics.hpp"

#include <algorithm>
#include <cstdio>

namespace lovagetack::measure {

double median(samples values) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

double lowest(const samples& values) {
    return values.empty() ? 0 : *std::min_element(values.begin(), values.end());
}

double highest(const samples& values) {
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string number_text(double value, int decimals) {
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", decimals, value);
    return text;
}

std::string spread_text(const samples& values, int decimals) {
    return number_text(median(values), decimals) + " (" + number_text(lowest(values), decimals) + " to " +
           number_text(highest(values), decimals) + ")";
}

line fit_line(const std::vector<std::pair<double, double>>& points) {
    const auto count = static_cast<double>(points.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& [x, y] : points) {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    const double divisor = count * sum_xx - sum_x * sum_x;
    line fitted;
    if (divisor != 0) {
        fitted.slope = (count * sum_xy - sum_x * sum_y) / divisor;
    }
    fitted.intercept = count > 0 ? (sum_y - fitted.slope * sum_x) / count : 0;
    return fitted;
}

} // namespace lovagetack::measure
