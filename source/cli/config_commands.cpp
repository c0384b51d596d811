#include <iostream>
#include <map>

#include <QDateTime>
#include <QUuid>

#include "cli/command.hpp"
#include "cli/configuration_store.hpp"
#include "settings/deployment_parser.hpp"

namespace lovagetack::cli {
namespace {

/// Files named on the command line, read but not yet checked.
struct configuration_files {
    std::optional<settings::source_file> base;
    std::map<std::string, settings::source_file> overlays;
};

base::result<configuration_files> read_files(const cxxopts::ParseResult& values) {
    configuration_files files;
    if (values.count("base") > 0) {
        const auto name = values["base"].as<std::string>();
        BOOST_OUTCOME_TRY(text, read_file(name));
        files.base = {name, text};
    }
    if (values.count("overlay") == 0) {
        return files;
    }
    for (const auto& argument : values["overlay"].as<std::vector<std::string>>()) {
        const auto equals = argument.find('=');
        if (equals == std::string::npos) {
            return base::failure(base::result_code::usage, "--overlay takes DATA_CENTRE=FILE");
        }
        const auto name = argument.substr(equals + 1);
        BOOST_OUTCOME_TRY(text, read_file(name));
        files.overlays[argument.substr(0, equals)] = {name, text};
    }
    return files;
}

/// Checks the base alone and with each overlay, so that an error in only one data centre is found too.
base::result<void> check(const settings::source_file& base,
                         const std::map<std::string, settings::source_file>& overlays) {
    auto checked = settings::check_deployment(base, {});
    auto problems = checked.problems;
    for (const auto& [data_centre, overlay] : overlays) {
        if (!problems.empty()) {
            break;
        }
        if (overlay.text.empty()) {
            continue;
        }
        for (auto& problem : settings::check_deployment(base, overlay).problems) {
            problems.push_back(std::move(problem));
        }
        if (overlay.text.find("data_centre: " + data_centre) == std::string::npos) {
            problems.push_back({overlay.name, 1, "data_centre", "", data_centre + ", as on the command line"});
        }
    }
    if (!problems.empty()) {
        return base::failure(base::result_code::settings_invalid, settings::describe(problems));
    }
    return base::success();
}

void add_file_options(cxxopts::Options& options) {
    options.add_options()("base", "base file", cxxopts::value<std::string>(),
                          "FILE")("overlay", "overlay of a data centre; may be repeated",
                                  cxxopts::value<std::vector<std::string>>(), "DATA_CENTRE=FILE");
}

exit_code run_check(const arguments& words) {
    cxxopts::Options options("lovagetack config check", "Checks a base file with its overlays, as config push does.");
    add_file_options(options);
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto files = read_files(parsed.values());
    if (!files) {
        return report(files.error());
    }
    if (!files.value().base) {
        return usage_error("--base is missing");
    }
    const auto checked = check(*files.value().base, files.value().overlays);
    if (!checked) {
        return report(checked.error());
    }
    std::cout << "valid files=" << files.value().overlays.size() + 1 << '\n';
    return exit_code::done;
}

/// The given files replace those in force; the others stay unchanged.
stored_configuration merged(const stored_configuration& current, const configuration_files& files) {
    stored_configuration next = current;
    if (files.base) {
        next.base = files.base->text;
    }
    for (const auto& [data_centre, overlay] : files.overlays) {
        next.overlays[data_centre] = overlay.text;
    }
    return next;
}

base::result<void> check_stored(const stored_configuration& configuration, const configuration_files& files) {
    std::map<std::string, settings::source_file> overlays;
    for (const auto& [data_centre, text] : configuration.overlays) {
        const auto given = files.overlays.find(data_centre);
        overlays[data_centre] = {given == files.overlays.end() ? "overlay." + data_centre : given->second.name, text};
    }
    return check({files.base ? files.base->name : "base", configuration.base}, overlays);
}

base::result<std::uint64_t> push(const model::address& platform, const configuration_files& files,
                                 std::optional<std::uint64_t> edited_from) {
    BOOST_OUTCOME_TRY(current, read_configuration(platform));
    if (edited_from && *edited_from != current.version) {
        return base::failure(base::result_code::configuration_conflict,
                             describe_conflict(*edited_from, current, merged(current, files)));
    }
    const auto next = merged(current, files);
    BOOST_OUTCOME_TRYV(check_stored(next, files));
    return write_configuration(platform, current, next);
}

exit_code run_push(const arguments& words) {
    cxxopts::Options options("lovagetack config push",
                             "Checks the whole result and puts it in force, unless another push came first.");
    add_file_options(options);
    options.add_options()("platform", "address of the table service", cxxopts::value<std::string>(), "IP:PORT")(
        "from", "version that the files were edited from; without it, the one in force now",
        cxxopts::value<std::uint64_t>(), "VERSION");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("platform") == 0) {
        return usage_error("--platform is missing");
    }
    const auto platform = address_argument(parsed.values()["platform"].as<std::string>());
    const auto files = read_files(parsed.values());
    if (!platform || !files) {
        return report(platform ? files.error() : platform.error());
    }
    if (!files.value().base && files.value().overlays.empty()) {
        return usage_error("give --base, --overlay or both");
    }
    std::optional<std::uint64_t> from;
    if (parsed.values().count("from") > 0) {
        from = parsed.values()["from"].as<std::uint64_t>();
    }
    const auto version = push(platform.value(), files.value(), from);
    if (!version) {
        return report(version.error());
    }
    std::cout << "accepted version=" << version.value() << '\n';
    return exit_code::done;
}

exit_code run_show(const arguments& words) {
    cxxopts::Options options("lovagetack config show", "Prints a file that is in force, to be edited and pushed.");
    options.add_options()("platform", "address of the table service", cxxopts::value<std::string>(),
                          "IP:PORT")("overlay", "the overlay of this data centre instead of the base file",
                                     cxxopts::value<std::string>(), "DATA_CENTRE");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("platform") == 0) {
        return usage_error("--platform is missing");
    }
    const auto platform = address_argument(parsed.values()["platform"].as<std::string>());
    if (!platform) {
        return report(platform.error());
    }
    const auto current = read_configuration(platform.value());
    if (!current) {
        return report(current.error());
    }
    std::cerr << "version=" << current.value().version << '\n';
    if (parsed.values().count("overlay") == 0) {
        std::cout << current.value().base;
        return exit_code::done;
    }
    const auto overlay = current.value().overlays.find(parsed.values()["overlay"].as<std::string>());
    if (overlay == current.value().overlays.end()) {
        return report({base::result_code::unknown_name, "there is no such overlay"});
    }
    std::cout << overlay->second;
    return exit_code::done;
}

} // namespace

exit_code run_config(const arguments& words) {
    const std::string action = words.empty() ? "--help" : words.front();
    const arguments rest(words.empty() ? words.begin() : words.begin() + 1, words.end());
    if (action == "check") {
        return run_check(rest);
    }
    if (action == "push") {
        return run_push(rest);
    }
    if (action == "show") {
        return run_show(rest);
    }
    std::cout << "usage: lovagetack config check|push|show [OPTIONS]\n";
    return action == "--help" || action == "-h" ? exit_code::done : usage_error("unknown action '" + action + "'");
}

} // namespace lovagetack::cli
