#include <iostream>
#include <string>

#include <QCoreApplication>

#include <cxxopts.hpp>

#include "stand_ins/commands.hpp"
#include "stand_ins/listening_line.hpp"
#include "stand_ins/platform_server.hpp"

namespace lovagetack::stand_ins {

namespace {

base::result<model::address> start(platform_server& server, const std::string& text) {
    BOOST_OUTCOME_TRY(address, parse_address(text));
    return server.listen(address);
}

} // namespace

int run_platform(int count, char** arguments) {
    cxxopts::Options options("lovagetack-stand-ins platform", "Table service, object store and list of instances");
    options.add_options()("listen", "HOST:PORT, port 0 for a free one", cxxopts::value<std::string>());
    const auto parsed = options.parse(count, arguments);
    const QCoreApplication application(count, arguments);
    platform_server server;
    const auto address = start(server, parsed["listen"].as<std::string>());
    if (!address) {
        std::cerr << address.error().message << '\n';
        return 1;
    }
    print_listening("platform", address.value());
    return QCoreApplication::exec();
}

} // namespace lovagetack::stand_ins
