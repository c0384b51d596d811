#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <cxxopts.hpp>

#include "base/json.hpp"
#include "stand_ins/backend_control.hpp"
#include "stand_ins/backend_server.hpp"
#include "stand_ins/commands.hpp"
#include "stand_ins/listening_line.hpp"

namespace lovagetack::stand_ins {

namespace {

using server_map = std::map<std::string, std::unique_ptr<backend_server>, std::less<>>;

base::result<backend_settings> read_settings(const std::string& text, bool checks_grants) {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    if (!document.isObject()) {
        return base::failure(base::result_code::usage, "--settings is not a JSON object");
    }
    backend_settings settings;
    settings.checks_grants = checks_grants;
    base::detail::object_from_json(document.object(), settings);
    return settings;
}

base::result<void> add_server(server_map& servers, const std::string& name, const std::string& text,
                              const backend_settings& settings, const std::string& records) {
    BOOST_OUTCOME_TRY(wanted, parse_address(text));
    auto server = std::make_unique<backend_server>(name, settings);
    if (!records.empty()) {
        BOOST_OUTCOME_TRYV(server->open_journal(records + '/' + name + ".records"));
    }
    BOOST_OUTCOME_TRY(address, server->listen(wanted));
    print_listening(name, address);
    servers[name] = std::move(server);
    return base::success();
}

base::result<server_map> start_servers(const cxxopts::ParseResult& parsed) {
    BOOST_OUTCOME_TRY(settings,
                      read_settings(parsed["settings"].as<std::string>(), parsed["checks-grants"].as<bool>()));
    const auto addresses = parsed["listen"].as<std::vector<std::string>>();
    const auto names = parsed["name"].as<std::vector<std::string>>();
    if (addresses.size() != names.size()) {
        return base::failure(base::result_code::usage, "--listen and --name need the same number of values");
    }
    server_map servers;
    for (std::size_t index = 0; index < names.size(); ++index) {
        BOOST_OUTCOME_TRY(
            add_server(servers, names[index], addresses[index], settings, parsed["records"].as<std::string>()));
    }
    return servers;
}

/// Serves /servers/NAME/control... for every server of the process.
void handle_shared_control(const server_map& servers, const std::shared_ptr<http_exchange>& exchange) {
    static constexpr std::string_view prefix = "/servers/";
    const auto path = exchange->request().path();
    const auto slash = path.find('/', prefix.size());
    if (path.starts_with(prefix) && slash != std::string_view::npos) {
        const auto found = servers.find(path.substr(prefix.size(), slash - prefix.size()));
        if (found != servers.end()) {
            handle_control(*found->second, exchange, path.substr(slash));
            return;
        }
    }
    exchange->answer(json_response(404, "{}"));
}

base::result<void> start_control(http_server& control, const std::string& text) {
    if (text.empty()) {
        return base::success();
    }
    BOOST_OUTCOME_TRY(wanted, parse_address(text));
    BOOST_OUTCOME_TRY(address, control.listen(wanted));
    print_listening("control", address);
    return base::success();
}

} // namespace

int run_backend(int count, char** arguments) {
    cxxopts::Options options("lovagetack-stand-ins backend", "Backend servers, one per address");
    options.add_options()("listen", "HOST:PORT,...; port 0 for a free one", cxxopts::value<std::vector<std::string>>())(
        "name", "names of the servers, in the order of --listen", cxxopts::value<std::vector<std::string>>())(
        "control", "HOST:PORT for /servers/NAME/control..., which counts as no server's connection",
        cxxopts::value<std::string>()->default_value(""))("checks-grants", "check lease, range and fence",
                                                          cxxopts::value<bool>()->default_value("false"))(
        "settings", "JSON of backend_settings", cxxopts::value<std::string>()->default_value("{}"))(
        "records", "folder for the files NAME.records of the execution records",
        cxxopts::value<std::string>()->default_value(""));
    const auto parsed = options.parse(count, arguments);
    const QCoreApplication application(count, arguments);
    const auto servers = start_servers(parsed);
    if (!servers) {
        std::cerr << servers.error().message << '\n';
        return 1;
    }
    http_server control(
        [&](const std::shared_ptr<http_exchange>& exchange) { handle_shared_control(servers.value(), exchange); });
    if (const auto started = start_control(control, parsed["control"].as<std::string>()); !started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    return QCoreApplication::exec();
}

} // namespace lovagetack::stand_ins
