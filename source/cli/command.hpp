#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

#include "base/result.hpp"
#include "cli/exit_code.hpp"
#include "model/address.hpp"

namespace lovagetack::cli {

/// The command line arguments after the command's name.
using arguments = std::vector<std::string>;

/// One subcommand.
struct command {
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(const arguments& words);
};

/// Parses the arguments; --help prints the options and sets exit() to exit_code::done, an error sets it to
/// exit_code::usage. exit() is empty when the command should continue.
class parsed_options {
public:
    parsed_options(cxxopts::Options& options, const arguments& words);

    /// The exit status when the command should end now.
    [[nodiscard]] const std::optional<exit_code>& exit() const { return exit_; }
    [[nodiscard]] const cxxopts::ParseResult& values() const { return values_; }

private:
    std::optional<exit_code> exit_;
    cxxopts::ParseResult values_;
};

/// Prints the error and returns exit_code::usage.
exit_code usage_error(const std::string& message);

/// Whole text of a file; settings_unreadable when it cannot be read.
[[nodiscard]] base::result<std::string> read_file(const std::string& name);

/// An address from the command line; usage when it is not one.
[[nodiscard]] base::result<model::address> address_argument(const std::string& text);

/// Runs the program.
int run(int argument_count, char** argument_values);

exit_code run_serve(const arguments& words);
exit_code run_gateway(const arguments& words);
exit_code run_config(const arguments& words);
exit_code run_status(const arguments& words);
exit_code run_drain(const arguments& words);
exit_code run_undrain(const arguments& words);
exit_code run_explain(const arguments& words);
exit_code run_timeline(const arguments& words);
exit_code run_replay(const arguments& words);
exit_code run_load(const arguments& words);

} // namespace lovagetack::cli
