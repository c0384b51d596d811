#include <algorithm>
#include <iostream>
#include <utility>
#include <vector>

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

base::result<QJsonObject> read_page(const model::address& address, const std::string& path,
                                    const std::vector<header_field>& fields = {}) {
    BOOST_OUTCOME_TRY(answer, http_get(address, path, fields));
    const auto document = QJsonDocument::fromJson(answer.body);
    if (answer.status != http_ok || !document.isObject()) {
        return base::failure(base::result_code::peer_unreachable,
                             "the instance answered " + std::to_string(answer.status));
    }
    return document.object();
}

base::result<QJsonObject> read_page(const cxxopts::ParseResult& values, const std::string& path) {
    BOOST_OUTCOME_TRY(address, at_address(values));
    return read_page(address, path);
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

/// Header fields of the request to be explained, from the words of the command line.
base::result<std::vector<header_field>> fields_of(const cxxopts::ParseResult& values) {
    std::vector<header_field> fields;
    if (values.count("host") > 0) {
        fields.emplace_back("Host", values["host"].as<std::string>());
    }
    if (values.count("field") == 0) {
        return fields;
    }
    for (const auto& line : values["field"].as<std::vector<std::string>>()) {
        const auto colon = line.find(':');
        if (colon == std::string::npos || colon == 0) {
            return base::failure(base::result_code::usage, "--field is NAME:VALUE");
        }
        const auto begin = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        fields.emplace_back(line.substr(0, colon), line.substr(begin));
    }
    return fields;
}

/// Asks the other addresses what the dispatcher of the page would answer. The one that is the dispatcher counts.
base::result<QJsonObject> read_slot_page(const std::vector<model::address>& others, const QJsonObject& page) {
    const auto dispatcher = page.value("dispatcher").toString();
    const auto path = "/explain-slot?" + page.value("slot_query").toString().toStdString();
    for (const auto& address : others) {
        auto found = read_page(address, path);
        if (found && found.value().value("instance").toString() == dispatcher) {
            return found;
        }
    }
    return base::failure(base::result_code::peer_unreachable, "the slots are given out by " + dispatcher.toStdString() +
                                                                  ": name its address with a further --at");
}

base::result<void> explain_request(const cxxopts::ParseResult& values) {
    BOOST_OUTCOME_TRY(fields, fields_of(values));
    std::vector<model::address> addresses;
    for (const auto& word : values["at"].as<std::vector<std::string>>()) {
        BOOST_OUTCOME_TRY(address, address_argument(word));
        addresses.push_back(address);
    }
    BOOST_OUTCOME_TRY(page, read_page(addresses.front(), "/explain" + values["path"].as<std::string>(), fields));
    const bool needs_dispatcher = page.contains("slot_query") && !page.contains("slot");
    if (!needs_dispatcher) {
        print_json(page);
        return base::success();
    }
    const auto slot = read_slot_page({addresses.begin() + 1, addresses.end()}, page);
    if (slot) {
        page.insert("slot", slot.value());
    }
    print_json(page);
    return slot ? base::result<void>(base::success()) : base::result<void>(slot.error());
}

base::result<void> explain_key(const cxxopts::ParseResult& values) {
    const auto path = "/explain?service=" + encode_query(values["service"].as<std::string>()) +
                      "&key=" + encode_query(values["key"].as<std::string>());
    BOOST_OUTCOME_TRY(address, address_argument(values["at"].as<std::vector<std::string>>().front()));
    BOOST_OUTCOME_TRY(page, read_page(address, path));
    print_json(page);
    return base::success();
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
    cxxopts::Options options("lovagetack explain",
                             "Shows who owns a key and why, or, with --path, where a request would go now and why.");
    options.add_options()("at", "operators' address of an instance; with --path, further ones may be the dispatcher",
                          cxxopts::value<std::vector<std::string>>(),
                          "IP:PORT")("path", "path of a request to an entry instance", cxxopts::value<std::string>(),
                                     "PATH")("host", "host of the request", cxxopts::value<std::string>(), "HOST")(
        "field", "header field of the request, such as that of its key", cxxopts::value<std::vector<std::string>>(),
        "NAME:VALUE")("service", "service", cxxopts::value<std::string>(),
                      "SERVICE")("key", "key", cxxopts::value<std::string>(), "KEY");
    options.parse_positional({"service", "key"});
    options.positional_help("SERVICE KEY");
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto& values = parsed.values();
    if (values.count("at") == 0) {
        return usage_error("--at is missing");
    }
    const bool has_path = values.count("path") > 0;
    if (has_path && !values["path"].as<std::string>().starts_with('/')) {
        return usage_error("PATH begins with a slash");
    }
    if (!has_path && (values.count("service") == 0 || values.count("key") == 0)) {
        return usage_error("SERVICE and KEY, or --path, are needed");
    }
    const auto done = has_path ? explain_request(values) : explain_key(values);
    return done ? exit_code::done : report(done.error());
}

} // namespace lovagetack::cli
