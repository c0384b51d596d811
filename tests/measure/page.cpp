#include "measure/page.hpp"

#include <array>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string_view>

#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

constexpr std::string_view mark_start = "<!-- experiment: ";
constexpr std::string_view mark_end = " -->";

/// The order of the sections on the page.
constexpr std::array<std::string_view, 7> section_order{
    "control-cost", "request-path", "loss", "stragglers", "data-centre-drain", "moving-hot-keys", "cold-restart"};

constexpr std::string_view introduction = R"(# Measurements

All figures come from `meta/measure` (one experiment: `meta/measure NAME`), which starts real processes on one machine:
`lovagetack serve` instances, and stand-ins for the platform's table service and the backend servers. The machine has 10
shared cores: other work ran at the same time, hence the load average with each experiment. Tables show the median of the
runs and in brackets the lowest and the highest. Nothing on this page is extrapolated.

)";

std::filesystem::path page_path() {
    return std::filesystem::path(DOCUMENTATION_FOLDER) / "measurements.md";
}

std::map<std::string, std::string> read_sections() {
    std::map<std::string, std::string> sections;
    std::ifstream file(page_path());
    std::string line;
    std::string name;
    while (std::getline(file, line)) {
        if (line.starts_with(mark_start)) {
            name = line.substr(mark_start.size(), line.size() - mark_start.size() - mark_end.size());
        } else if (!name.empty()) {
            sections[name] += line + '\n';
        }
    }
    return sections;
}

std::string date_text() {
    const std::time_t now = std::time(nullptr);
    std::array<char, 64> text{};
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", &parts);
    return text.data();
}

} // namespace

void table::add(const std::vector<std::string>& cells) {
    for (const auto& cell : cells) {
        text_ += "| " + cell + ' ';
    }
    text_ += "|\n";
    if (has_heads_) {
        return;
    }
    has_heads_ = true;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        text_ += column == 0 ? "| --- " : "| ---: ";
    }
    text_ += "|\n";
}

std::string load_average_text() {
    std::array<double, 3> loads{};
    if (getloadavg(loads.data(), 3) < 2) {
        return "unknown";
    }
    return number_text(loads[0], 1) + " (1 min), " + number_text(loads[1], 1) + " (5 min)";
}

void write_section(const std::string& experiment, const std::string& title, const std::string& text) {
    auto sections = read_sections();
    std::ostringstream section;
    section << "## " << title << "\n\nCommand: `meta/measure " << experiment << "`, " << date_text()
            << ", 10 shared cores, load average at the end: " << load_average_text() << ".\n\n"
            << text << '\n';
    sections[experiment] = section.str();
    std::ofstream file(page_path());
    file << introduction;
    for (const auto name : section_order) {
        const auto found = sections.find(std::string(name));
        if (found != sections.end()) {
            file << mark_start << name << mark_end << '\n' << found->second;
        }
    }
}

void write_plot(const std::string& name, const std::string& text) {
    const auto folder = std::filesystem::path(DOCUMENTATION_FOLDER) / "plots";
    std::filesystem::create_directories(folder);
    std::ofstream file(folder / name);
    file << text;
}

} // namespace lovagetack::measure
