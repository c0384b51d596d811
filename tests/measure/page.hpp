#pragma once

#include <string>
#include <vector>

namespace lovagetack::measure {

/// A Markdown table.
class table {
public:
    explicit table(const std::vector<std::string>& heads) { add(heads); }
    void add(const std::vector<std::string>& cells);
    [[nodiscard]] std::string text() const { return text_; }

private:
    std::string text_;
    bool has_heads_ = false;
};

/// Puts a section into docs/measurements.md, in place of the earlier one of that experiment; adds date, command and
/// load average. `experiment` is the name given to --only.
void write_section(const std::string& experiment, const std::string& title, const std::string& text);

/// Writes a file into docs/plots.
void write_plot(const std::string& name, const std::string& text);

/// The load averages of the machine over 1 and 5 minutes.
[[nodiscard]] std::string load_average_text();

} // namespace lovagetack::measure
