#include <iostream>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "cli/command.hpp"
#include "cli/http_call.hpp"
#include "cli/status_page.hpp"

namespace lovagetack::cli {
namespace {

constexpr int http_ok = 200;
constexpr int http_accepted = 202;

void add_at_option(cxxopts::Options& options) {
    options.add_options()("at", "operators' address of an instance", cxxopts::value<std::string>(), "IP:PORT");
}

base::result<model::address> at_address(const cxxopts::ParseResult& values) {
    if (values.count("at") == 0) {
        return base::failure(base::result_code::usage, "--at is missing");
    }
    return address_argument(values["at"].as<std::string>());
}

base::result<QJsonObject> read_page(const cxxopts::ParseResult& values, const std::string& path) {
    BOOST_OUTCOME_TRY(address, at_address(values));
    BOOST_OUTCOME_TRY(answer, http_get(address, path));
    const auto document = QJsonDocument::fromJson(answer.body);
    if (answer.status != http_ok || !document.isObject()) {
        return base::failure(base::result_code::peer_unreachable,
                             "the instance answered " + std::to_string(answer.status));
    }
    return document.object();
}

void print_json(const QJsonObject& object) {
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

base::result<void> send_service_state(const cxxopts::ParseResult& values, const std::string& availability) {
    BOOST_OUTCOME_TRY(address, at_address(values));
    const auto kind = values["kind"].as<std::string>();
    if (kind != "data-centre" && kind != "instance" && kind != "backend-server") {
        return base::failure(base::result_code::usage, "KIND is data-centre, instance or backend-server");
    }
    const QJsonObject body{{"kind", QString::fromStdString(kind)},
                           {"name", QString::fromStdString(values["name"].as<std::string>())},
                           {"availability", QString::fromStdString(availability)}};
    BOOST_OUTCOME_TRY(answer, http_post(address, "/service-state", QJsonDocument(body).toJson()));
    if (answer.status != http_accepted) {
        return base::failure(base::result_code::unknown_name, answer.body.toStdString());
    }
    std::cout << "ordered kind=" << kind << " name=" << values["name"].as<std::string>()
              << " availability=" << availability << '\n';
    return base::success();
}

exit_code run_service_state(cxxopts::Options& options, const arguments& words, const std::string& availability) {
    add_at_option(options);
    options.add_options()("kind", "data-centre, instance or backend-server", cxxopts::value<std::string>(),
                          "KIND")("name", "its name", cxxopts::value<std::string>(), "NAME");
    options.parse_positional({"kind", "name"});
    options.positional_help("KIND NAME");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("kind") == 0 || parsed.values().count("name") == 0) {
        return usage_error("KIND and NAME are needed");
    }
    const bool is_lost = availability == "drained" && parsed.values().count("lost") > 0;
    const auto sent = send_service_state(parsed.values(), is_lost ? "lost" : availability);
    return sent ? exit_code::done : report(sent.error());
}

} // namespace

exit_code run_status(const arguments& words) {
    cxxopts::Options options("lovagetack status", "Shows what an instance knows of itself and of the others.");
    add_at_option(options);
    options.add_options()("json", "print everything as JSON");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto page = read_page(parsed.values(), "/status");
    if (!page) {
        return report(page.error());
    }
    if (parsed.values().count("json") > 0) {
        print_json(page.value());
    } else {
        std::cout << status_text(page.value());
    }
    return exit_code::done;
}

exit_code run_drain(const arguments& words) {
    cxxopts::Options options("lovagetack drain",
                             "Takes a data centre, an instance or a backend server out of service.");
    options.add_options()("lost", "it is lost permanently: its ranges may be assigned to others without its consent");
    return run_service_state(options, words, "drained");
}

exit_code run_undrain(const arguments& words) {
    cxxopts::Options options("lovagetack undrain", "Brings a data centre, an instance or a backend server back.");
    return run_service_state(options, words, "in-service");
}

exit_code run_explain(const arguments& words) {
    cxxopts::Options options("lovagetack explain", "Shows who owns a key, since which epoch and why.");
    add_at_option(options);
    options.add_options()("service", "service", cxxopts::value<std::string>(),
                          "SERVICE")("key", "key", cxxopts::value<std::string>(), "KEY");
    options.parse_positional({"service", "key"});
    options.positional_help("SERVICE KEY");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    if (parsed.values().count("service") == 0 || parsed.values().count("key") == 0) {
        return usage_error("SERVICE and KEY are needed");
    }
    const auto path = "/explain?service=" + encode_query(parsed.values()["service"].as<std::string>()) +
                      "&key=" + encode_query(parsed.values()["key"].as<std::string>());
    const auto page = read_page(parsed.values(), path);
    if (!page) {
        return report(page.error());
    }
    print_json(page.value());
    return exit_code::done;
}

} // namespace lovagetack::cli
