#include <fstream>
#include <iostream>
#include <sstream>

#include "base/json.hpp"
#include "cli/command.hpp"
#include "cli/http_call.hpp"
#include "cli/timeline_page.hpp"

namespace lovagetack::cli {
namespace {

using entries = std::vector<telemetry::stamped_entry>;

base::result<entries> read_entries(const std::string& instance, const std::string& after) {
    BOOST_OUTCOME_TRY(address, address_argument(instance));
    BOOST_OUTCOME_TRY(answer, http_get(address, "/timeline?after=" + encode_query(after)));
    entries list;
    std::istringstream lines(answer.body.toStdString());
    for (std::string line; std::getline(lines, line);) {
        telemetry::stamped_entry entry;
        if (base::from_json_text(line, entry)) {
            list.push_back(std::move(entry));
        }
    }
    return list;
}

/// Events of all reachable instances. Unreachable ones are reported on standard error and skipped, since a time line is
/// needed most while some instances are down.
entries read_all(const std::vector<std::string>& instances, const std::string& after) {
    entries all;
    for (const auto& instance : instances) {
        auto list = read_entries(instance, after);
        if (!list) {
            report(list.error());
            continue;
        }
        all.insert(all.end(), list.value().begin(), list.value().end());
    }
    sort_causally(all);
    return all;
}

} // namespace

exit_code run_timeline(const arguments& words) {
    cxxopts::Options options("lovagetack timeline", "Merges the events of instances into one causally ordered view.");
    options.add_options()("at", "operators' address of an instance; may be repeated",
                          cxxopts::value<std::vector<std::string>>(),
                          "IP:PORT")("after", "only events after this stamp (microseconds since 1970)",
                                     cxxopts::value<std::string>()->default_value("0"), "STAMP")(
        "key", "only events of this key, its ranges included", cxxopts::value<std::string>()->default_value(""),
        "KEY")("request", "only events of this request id", cxxopts::value<std::string>()->default_value(""),
               "ID")("html", "write a page instead of text", cxxopts::value<std::string>()->default_value(""), "FILE");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto& values = parsed.values();
    if (values.count("at") == 0) {
        return usage_error("--at is missing");
    }
    auto list = read_all(values["at"].as<std::vector<std::string>>(), values["after"].as<std::string>());
    std::erase_if(list, [&](const telemetry::stamped_entry& entry) {
        return !matches_filter(entry, values["key"].as<std::string>(), values["request"].as<std::string>());
    });
    const auto html = values["html"].as<std::string>();
    if (html.empty()) {
        std::cout << timeline_text(list);
        return exit_code::done;
    }
    std::ofstream file(html, std::ios::trunc);
    file << timeline_html(list);
    if (!file) {
        return report({base::result_code::settings_unreadable, html + " cannot be written"});
    }
    std::cout << "written file=" << html << " events=" << list.size() << '\n';
    return exit_code::done;
}

} // namespace lovagetack::cli
