#include <memory>
#include <utility>

#include <QCoreApplication>

#include "cli/command.hpp"
#include "service/instance.hpp"
#include "service/signal_watcher.hpp"

namespace lovagetack::cli {
namespace {

base::result<std::unique_ptr<service::instance>> create_instance(const std::string& file) {
    BOOST_OUTCOME_TRY(text, read_file(file));
    BOOST_OUTCOME_TRY(settings, settings::parse_instance_settings(file, text));
    return service::instance::create(settings);
}

} // namespace

exit_code run_serve(const arguments& words) {
    cxxopts::Options options("lovagetack serve", "Runs an entry instance until SIGTERM.");
    options.add_options()("settings", "instance file", cxxopts::value<std::string>(), "FILE");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("settings") == 0) {
        return usage_error("--settings is missing");
    }
    // The watcher must exist before the instance: it blocks the signals, and threads that libraries start with the
    // instance inherit the mask. A signal delivered to a thread without it ends the process at once.
    std::unique_ptr<service::instance> instance;
    const service::signal_watcher watcher([&instance] {
        if (instance) {
            instance->shut_down([] { QCoreApplication::exit(static_cast<int>(exit_code::done)); });
        }
    });
    auto created = create_instance(parsed.values()["settings"].as<std::string>());
    if (!created) {
        return report(created.error());
    }
    instance = std::move(created.value());
    return static_cast<exit_code>(QCoreApplication::exec());
}

} // namespace lovagetack::cli
