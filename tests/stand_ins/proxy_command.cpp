#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <QCoreApplication>

#include <cxxopts.hpp>

#include "stand_ins/commands.hpp"
#include "stand_ins/http_server.hpp"
#include "stand_ins/listening_line.hpp"
#include "stand_ins/proxy_control.hpp"

namespace lovagetack::stand_ins {

namespace {

using string_list = std::vector<std::string>;

base::result<void> add_link(link_list& links, const std::string& name, const std::string& listen,
                            const std::string& to) {
    BOOST_OUTCOME_TRY(wanted, parse_address(listen));
    BOOST_OUTCOME_TRY(server, parse_address(to));
    auto link = std::make_unique<proxy_link>(name, server);
    BOOST_OUTCOME_TRY(address, link->listen(wanted));
    print_listening(name, address);
    links.push_back(std::move(link));
    return base::success();
}

base::result<link_list> start_links(const cxxopts::ParseResult& parsed) {
    const auto listen = parsed["listen"].as<string_list>();
    const auto to = parsed["to"].as<string_list>();
    const auto names = parsed.count("name") > 0 ? parsed["name"].as<string_list>() : string_list();
    if (listen.size() != to.size() || (!names.empty() && names.size() != to.size())) {
        return base::failure(base::result_code::usage, "--listen, --to and --name need the same number of values");
    }
    link_list links;
    for (std::size_t index = 0; index < to.size(); ++index) {
        const auto name = names.empty() ? std::to_string(index) : names[index];
        BOOST_OUTCOME_TRY(add_link(links, name, listen[index], to[index]));
    }
    return links;
}

base::result<void> start_control(http_server& control, const std::string& text) {
    BOOST_OUTCOME_TRY(wanted, parse_address(text));
    BOOST_OUTCOME_TRY(address, control.listen(wanted));
    print_listening("control", address);
    return base::success();
}

} // namespace

int run_proxy(int count, char** arguments) {
    cxxopts::Options options("lovagetack-stand-ins proxy", "TCP links with faults");
    options.add_options()("listen", "HOST:PORT,... one per link, port 0 for a free one", cxxopts::value<string_list>())(
        "to", "HOST:PORT,... of the servers, in the order of --listen", cxxopts::value<string_list>())(
        "name", "names of the links, in the order of --listen; else their indices",
        cxxopts::value<string_list>())("control", "HOST:PORT for /control", cxxopts::value<std::string>());
    const auto parsed = options.parse(count, arguments);
    const QCoreApplication application(count, arguments);
    const auto links = start_links(parsed);
    if (!links) {
        std::cerr << links.error().message << '\n';
        return 1;
    }
    http_server control([&](const exchange_pointer& exchange) { handle_proxy_control(links.value(), exchange); });
    if (const auto started = start_control(control, parsed["control"].as<std::string>()); !started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    return QCoreApplication::exec();
}

} // namespace lovagetack::stand_ins
