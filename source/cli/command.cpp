#include "cli/command.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

#include "settings/scalar.hpp"

namespace lovagetack::cli {
namespace {

constexpr auto commands = std::to_array<command>({
    {"serve", "run an entry instance", run_serve},
    {"gateway", "run an entry instance on the operators' platform", run_gateway},
    {"config", "check or push the configuration (config check, config push)", run_config},
    {"status", "show what an instance knows: versions, owners, members, lags", run_status},
    {"drain", "take a data centre, an instance or a backend server out of service", run_drain},
    {"undrain", "bring a data centre, an instance or a backend server back into service", run_undrain},
    {"explain", "show who owns a key, or where a request would go, and why", run_explain},
    {"timeline", "merge the events of several instances into one time line", run_timeline},
    {"load", "generate load and measure latencies", run_load},
    {"replay", "run a recorded trace again and check its stated outcomes", run_replay},
});

void print_usage(std::ostream& out) {
    out << "usage: lovagetack COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto& command : commands) {
        out << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary << '\n';
    }
    out << "\nlovagetack COMMAND --help shows the options of a command.\n";
}

} // namespace

parsed_options::parsed_options(cxxopts::Options& options, const arguments& words) {
    options.add_options()("h,help", "print this text");
    std::vector<const char*> raw = {"lovagetack"};
    for (const auto& word : words) {
        raw.push_back(word.c_str());
    }
    try {
        values_ = options.parse(static_cast<int>(raw.size()), raw.data());
    } catch (const cxxopts::exceptions::exception& exception) {
        exit_ = usage_error(exception.what());
        return;
    }
    if (values_.count("help") > 0) {
        std::cout << options.help() << '\n';
        exit_ = exit_code::done;
        return;
    }
    if (!values_.unmatched().empty()) {
        exit_ = usage_error("unexpected argument '" + values_.unmatched().front() + "'");
    }
}

exit_code usage_error(const std::string& message) {
    return report({base::result_code::usage, message});
}

base::result<std::string> read_file(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return base::failure(base::result_code::settings_unreadable, name + " cannot be read");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

base::result<model::address> address_argument(const std::string& text) {
    const auto address = settings::read_address(text);
    if (!address) {
        return base::failure(base::result_code::usage, "'" + text + "' is not an IP address and port");
    }
    return *address;
}

int run(int argument_count, char** argument_values) {
    const arguments words(argument_values + 1, argument_values + argument_count);
    if (words.empty()) {
        print_usage(std::cerr);
        return static_cast<int>(exit_code::usage);
    }
    if (words.front() == "--help" || words.front() == "-h" || words.front() == "help") {
        print_usage(std::cout);
        return static_cast<int>(exit_code::done);
    }
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command& command) { return command.name == words.front(); });
    if (found == commands.end()) {
        print_usage(std::cerr);
        return static_cast<int>(usage_error("unknown command '" + words.front() + "'"));
    }
    return static_cast<int>(found->run({words.begin() + 1, words.end()}));
}

} // namespace lovagetack::cli
