#include "measure/plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>

#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

// All lengths in pixels.
constexpr double width = 760;
constexpr double height = 420;
constexpr double left = 76;
constexpr double right = 24;
constexpr double top = 84;
constexpr double bottom = 60;

/// Colours that people with colour blindness can tell apart (Okabe and Ito).
constexpr std::array<std::string_view, 6> colours{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00"};

/// 1, 2 or 5 times a power of ten, so that an axis of this extent has about five steps.
double step_of(double extent) {
    if (extent <= 0) {
        return 1;
    }
    const double raw = extent / 5;
    const double power = std::pow(10, std::floor(std::log10(raw)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (raw <= factor * power) {
            return factor * power;
        }
    }
    return 10 * power;
}

std::string tick_text(double value, double step) {
    const int decimals = step >= 1 ? 0 : static_cast<int>(std::ceil(-std::log10(step)));
    return number_text(value, decimals);
}

class drawing {
public:
    explicit drawing(const plot& plotted) : plot_(plotted) {
        double highest_x = 0;
        double highest_y = plot_.target_label.empty() ? 0 : plot_.target;
        for (const auto& line : plot_.lines) {
            for (const auto& [x, y] : line.points) {
                highest_x = std::max(highest_x, x);
                highest_y = std::max(highest_y, y);
            }
        }
        y_step_ = step_of(highest_y);
        y_end_ = std::max(y_step_, std::ceil(highest_y / y_step_ * 1.04) * y_step_);
        x_step_ = step_of(highest_x);
        x_start_ = plot_.categories.empty() ? 0 : -0.5;
        x_end_ = plot_.categories.empty() ? std::max(highest_x * 1.04, x_step_)
                                          : static_cast<double>(plot_.categories.size()) - 0.5;
    }

    std::string text() {
        out_ << R"(<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 )" << width << ' ' << height << R"(" width=")"
             << width << R"(" height=")" << height
             << R"(" font-family="Helvetica, Arial, sans-serif" font-size="13" fill="#333">)" << '\n'
             << R"(<rect width="100%" height="100%" fill="#ffffff"/>)" << '\n';
        words(left, 26, "start", plot_.title, R"(font-size="17" font-weight="bold" fill="#111")");
        legend();
        axes();
        target();
        for (std::size_t index = 0; index < plot_.lines.size(); ++index) {
            draw(plot_.lines[index], colours[index % colours.size()]);
        }
        out_ << "</svg>\n";
        return out_.str();
    }

private:
    [[nodiscard]] double to_x(double x) const {
        return left + (x - x_start_) / (x_end_ - x_start_) * (width - left - right);
    }
    [[nodiscard]] double to_y(double y) const { return height - bottom - y / y_end_ * (height - top - bottom); }

    void words(double x, double y, std::string_view anchor, const std::string& text, std::string_view style = "") {
        out_ << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\" " << style << '>' << text
             << "</text>\n";
    }

    void stroke(double x1, double y1, double x2, double y2, std::string_view style) {
        out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" " << style
             << "/>\n";
    }

    void legend() {
        if (plot_.lines.size() < 2) {
            return;
        }
        double x = left;
        for (std::size_t index = 0; index < plot_.lines.size(); ++index) {
            out_ << "<circle cx=\"" << x + 5 << "\" cy=\"48\" r=\"5\" fill=\"" << colours[index % colours.size()]
                 << "\"/>\n";
            words(x + 16, 52.5, "start", plot_.lines[index].label);
            x += 34 + 7.0 * static_cast<double>(plot_.lines[index].label.size());
        }
    }

    void axes() {
        for (double y = 0; y <= y_end_ + y_step_ / 2; y += y_step_) {
            stroke(left, to_y(y), width - right, to_y(y), y == 0 ? R"(stroke="#888")" : R"(stroke="#e4e4e4")");
            words(left - 8, to_y(y) + 4.5, "end", tick_text(y, y_step_));
        }
        if (plot_.categories.empty()) {
            for (double x = 0; x <= x_end_ + x_step_ / 1000; x += x_step_) {
                stroke(to_x(x), height - bottom, to_x(x), height - bottom + 5, R"(stroke="#888")");
                words(to_x(x), height - bottom + 20, "middle", tick_text(x, x_step_));
            }
        }
        for (std::size_t index = 0; index < plot_.categories.size(); ++index) {
            words(to_x(static_cast<double>(index)), height - bottom + 20, "middle", plot_.categories[index]);
        }
        words((left + width - right) / 2, height - 14, "middle", plot_.x_label, R"(fill="#555")");
        words(left - 52, 74, "start", plot_.y_label, R"(fill="#555")");
    }

    void target() {
        if (plot_.target_label.empty()) {
            return;
        }
        const double y = to_y(plot_.target);
        stroke(left, y, width - right, y, R"(stroke="#b00020" stroke-width="1.5" stroke-dasharray="6 4")");
        words(width - right, y - 6, "end", plot_.target_label, R"(fill="#b00020")");
    }

    void draw(const series& line, std::string_view colour) {
        if (line.has_line && line.points.size() > 1) {
            out_ << "<polyline fill=\"none\" stroke-linejoin=\"round\" stroke-width=\"2\" stroke=\"" << colour
                 << "\" points=\"";
            for (const auto& [x, y] : line.points) {
                out_ << number_text(to_x(x), 1) << ',' << number_text(to_y(y), 1) << ' ';
            }
            out_ << "\"/>\n";
        }
        if (!line.has_dots) {
            return;
        }
        for (const auto& [x, y] : line.points) {
            out_ << "<circle r=\"4\" fill=\"" << colour << "\" fill-opacity=\"0.8\" cx=\"" << number_text(to_x(x), 1)
                 << "\" cy=\"" << number_text(to_y(y), 1) << "\"/>\n";
        }
    }

    const plot& plot_;
    double x_start_ = 0;
    double x_end_ = 1;
    double x_step_ = 1;
    double y_end_ = 1;
    double y_step_ = 1;
    std::ostringstream out_;
};

} // namespace

std::string plot::svg() const {
    return drawing(*this).text();
}

} // namespace lovagetack::measure
