#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lovagetack::measure {

/// One set of points of a plot.
struct series {
    std::string label;
    std::vector<std::pair<double, double>> points;
    bool has_line = true;
    bool has_dots = true;
};

/// A plot with axes, drawn as a self-contained SVG.
struct plot {
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<series> lines;
    /// Names of x = 0, 1, 2, ... instead of numbers.
    std::vector<std::string> categories;
    /// A dashed line at this height, with a label; none when the label is empty.
    double target = 0;
    std::string target_label;

    [[nodiscard]] std::string svg() const;
};

} // namespace lovagetack::measure
