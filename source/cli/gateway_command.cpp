#include "cli/command.hpp"
#include "run.hpp"

namespace lovagetack::cli {

exit_code run_gateway(const arguments& words) {
    cxxopts::Options options("lovagetack gateway", "Runs an entry instance on the operators' platform until SIGTERM.");
    options.add_options()("settings", "settings file of the platform; else the environment names it",
                          cxxopts::value<std::string>()->default_value(""),
                          "FILE")("check", "check the settings file and exit");
    options.add_options()("metrics-port", "port for metrics; 0 for none",
                          cxxopts::value<std::uint16_t>()->default_value("0"), "PORT");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto file = parsed.values()["settings"].as<std::string>();
    if (parsed.values().count("check") > 0) {
        const auto checked = operators_platform::check_settings(file);
        return checked ? exit_code::done : report(checked.error());
    }
    const auto status = operators_platform::run_gateway(file, parsed.values()["metrics-port"].as<std::uint16_t>());
    return status ? static_cast<exit_code>(status.value()) : report(status.error());
}

} // namespace lovagetack::cli
