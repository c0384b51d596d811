#include "cli/exit_code.hpp"

#include <array>
#include <iostream>
#include <utility>

namespace lovagetack::cli {
namespace {

using base::result_code;

constexpr auto exit_codes = std::to_array<std::pair<result_code, exit_code>>({
    {result_code::ok, exit_code::done},
    {result_code::usage, exit_code::usage},
    {result_code::settings_unreadable, exit_code::settings_invalid},
    {result_code::settings_malformed, exit_code::settings_invalid},
    {result_code::settings_invalid, exit_code::settings_invalid},
    {result_code::platform_unreachable, exit_code::unreachable},
    {result_code::peer_unreachable, exit_code::unreachable},
    {result_code::configuration_conflict, exit_code::conflict},
    {result_code::trace_outcome_differs, exit_code::outcome_differs},
    {result_code::address_in_use, exit_code::address_in_use},
});

} // namespace

exit_code exit_code_of(result_code code) {
    for (const auto& [result, exit] : exit_codes) {
        if (result == code) {
            return exit;
        }
    }
    return exit_code::failed;
}

exit_code report(const base::error& error) {
    std::cerr << "error code=" << static_cast<int>(error.code) << " name=" << base::name_of(error.code) << '\n'
              << error.message << '\n';
    return exit_code_of(error.code);
}

} // namespace lovagetack::cli
