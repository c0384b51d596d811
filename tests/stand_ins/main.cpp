#include <exception>
#include <iostream>
#include <map>
#include <string>

#include <cxxopts.hpp>

#include "stand_ins/commands.hpp"

namespace {

constexpr int usage_error_status = 2;

int run(int count, char** arguments) {
    using command = int (*)(int, char**);
    static const std::map<std::string, command> commands{
        {"platform", lovagetack::stand_ins::run_platform},
        {"backend", lovagetack::stand_ins::run_backend},
        {"proxy", lovagetack::stand_ins::run_proxy},
    };
    const auto found = count < 2 ? commands.end() : commands.find(arguments[1]);
    if (found == commands.end()) {
        std::cerr << "usage: lovagetack-stand-ins platform|backend|proxy OPTION...\n";
        return usage_error_status;
    }
    return found->second(count - 1, arguments + 1);
}

} // namespace

int main(int count, char** arguments) {
    try {
        return run(count, arguments);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        return usage_error_status;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
