#include <fstream>
#include <iostream>

#include <QJsonDocument>

#include "cli/command.hpp"
#include "core/trace.hpp"

namespace lovagetack::cli {
namespace {

base::result<core::replay_report> replay_files(const std::string& trace, const std::string& outcomes) {
    QJsonObject stated;
    if (!outcomes.empty()) {
        BOOST_OUTCOME_TRY(text, read_file(outcomes));
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
        if (!document.isObject()) {
            return base::failure(base::result_code::trace_malformed, outcomes + " is not a JSON object");
        }
        stated = document.object();
    }
    std::ifstream file(trace);
    if (!file) {
        return base::failure(base::result_code::settings_unreadable, trace + " cannot be read");
    }
    return core::replay(file, stated);
}

} // namespace

exit_code run_replay(const arguments& words) {
    cxxopts::Options options("lovagetack replay", "Runs a recorded trace again and checks its stated outcomes.");
    options.add_options()("trace", "trace file", cxxopts::value<std::string>(), "TRACE")(
        "outcomes", "file of stated outcomes", cxxopts::value<std::string>()->default_value(""),
        "FILE")("exact", "also require the recorded digest of all effects");
    options.parse_positional({"trace"});
    options.positional_help("TRACE");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("trace") == 0) {
        return usage_error("the trace is missing");
    }
    auto replayed =
        replay_files(parsed.values()["trace"].as<std::string>(), parsed.values()["outcomes"].as<std::string>());
    if (!replayed) {
        return report(replayed.error());
    }
    auto& result = replayed.value();
    if (parsed.values().count("exact") > 0 && result.recorded_digest != result.digest.value()) {
        result.differences.emplace_back(
            "the digest of the effects differs from the recorded one, or none was recorded");
    }
    std::cout << "replayed events=" << result.events << " effects=" << result.effects
              << " digest=" << result.digest.value() << " differences=" << result.differences.size() << '\n';
    for (const auto& difference : result.differences) {
        std::cout << difference << '\n';
    }
    return result.differences.empty() ? exit_code::done : exit_code::outcome_differs;
}

} // namespace lovagetack::cli
