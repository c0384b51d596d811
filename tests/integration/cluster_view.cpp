#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <stdexcept>
#include <tuple>

#include <QJsonArray>

#include "base/json.hpp"
#include "integration/cluster.hpp"
#include "integration/http_call.hpp"
#include "integration/json_page.hpp"
#include "integration/wait_for.hpp"

// The functions of cluster that look at the processes and give orders to the stand-ins.
namespace lovagetack::harness {

namespace {

constexpr std::size_t sample_keys = 12;

template <class Record>
std::vector<Record> records_of(const QJsonArray& list) {
    std::vector<Record> records;
    records.reserve(static_cast<std::size_t>(list.size()));
    for (const auto& item : list) {
        base::from_json(item, records.emplace_back());
    }
    return records;
}

bool is_answered_at(const std::string& address, const std::string& key) {
    const auto result = http_get(address, "/board/" + key);
    return result.end == call_end::answered && result.status == 200;
}

} // namespace

std::vector<std::string> cluster::data_centre_names() const {
    static const std::array<std::string, 3> names{"east", "west", "north"};
    return {names.begin(), names.begin() + plan_.data_centres};
}

std::vector<std::string> cluster::instance_names() const {
    std::vector<std::string> names;
    for (const auto& [name, place] : instances_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cluster::server_names() const {
    std::vector<std::string> names;
    for (const auto& [name, place] : servers_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cluster::board_servers(const std::string& data_centre) const {
    std::vector<std::string> names;
    for (const auto& [name, place] : servers_) {
        if (place.data_centre == data_centre && place.service == "board") {
            names.push_back(name);
        }
    }
    return names;
}

std::string cluster::data_centre_of(const std::string& instance_or_server) const {
    const auto found = instances_.find(instance_or_server);
    return found == instances_.end() ? servers_.at(instance_or_server).data_centre : found->second.data_centre;
}

std::string cluster::callers_address(const std::string& instance) const {
    return instances_.at(instance).callers.address();
}

std::string cluster::operators_address(const std::string& instance) const {
    return instances_.at(instance).operators.address();
}

std::vector<std::string> cluster::callers_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& [name, place] : instances_) {
        addresses.push_back(place.callers.address());
    }
    return addresses;
}

std::vector<std::string> cluster::keys(std::size_t count) {
    std::vector<std::string> keys;
    for (std::size_t number = 0; number < count; ++number) {
        keys.push_back("key-" + std::to_string(number));
    }
    return keys;
}

std::vector<std::string> cluster::keys_of(const std::string& data_centre, std::size_t count) const {
    std::vector<std::string> own;
    for (const auto& key : keys(count)) {
        const auto owner = owner_of(key, instances_.begin()->first);
        if (!owner.empty() && data_centre_of(owner) == data_centre) {
            own.push_back(key);
        }
    }
    return own;
}

void cluster::wait_until_serving() {
    for (const auto& name : instance_names()) {
        wait_until_serving(name);
    }
}

void cluster::wait_until_serving(const std::string& instance) {
    wait_for([&] { return routes_every_key(instance); }, instance + " to know an owner of every key");
    for (const auto& key : keys(sample_keys)) {
        wait_for([&] { return is_answered_at(callers_address(instance), key); }, key + " to be served at " + instance);
    }
}

bool cluster::routes_every_key(const std::string& instance) const {
    const auto page = status(instance);
    std::uint64_t next = 0;
    bool complete = false;
    for (const auto& item : page.value("ranges").toArray()) {
        const auto range = item.toObject();
        if (text_of(range, "service") != "board") {
            continue;
        }
        const auto last = range.value("last").toString().toULongLong();
        if (range.value("first").toString().toULongLong() != next || text_of(range, "owner").empty()) {
            return false;
        }
        next = last + 1;
        complete = last == std::numeric_limits<std::uint64_t>::max();
    }
    return page.value("ready").toBool() && complete;
}

QJsonObject cluster::status(const std::string& instance) const {
    return json_page(operators_address(instance), "/status");
}

std::int64_t cluster::configuration_version(const std::string& instance) const {
    return status(instance).value("configuration_version").toInteger(-1);
}

std::string cluster::wait_for_controller(const std::string& data_centre, const std::string& except) const {
    std::string controller;
    const auto is_one = [&] {
        int count = 0;
        for (const auto& [name, place] : instances_) {
            if (place.data_centre != data_centre || name == except || !status(name).value("controller").toBool()) {
                continue;
            }
            controller = name;
            ++count;
        }
        return count == 1;
    };
    wait_for(is_one, "one controller in " + data_centre);
    return controller;
}

std::string cluster::owner_of(const std::string& key, const std::string& at) const {
    const auto page = json_page(operators_address(at), "/explain?service=board&key=" + key);
    return page.value("active").toBool() ? text_of(page, "active_owner") : std::string();
}

void cluster::order_platform(const std::string& body) const {
    post_order(platform_port_.address(), "/control", body);
}

void cluster::order_server(const std::string& name, const std::string& body) const {
    post_order(groups_.at(servers_.at(name).group).control.address(), "/servers/" + name + "/control", body);
}

void cluster::order_link(const std::string& link, const std::string& mode) const {
    post_order(proxy_control_.address(), "/control", R"({"link":")" + link + R"(","mode":")" + mode + R"("})");
}

std::vector<stand_ins::execution_record> cluster::executions() const {
    // A record stands there at its start and again at its end.
    std::map<std::tuple<std::string, base::boot_time, std::string>, stand_ins::execution_record> latest;
    for (const auto& [name, place] : servers_) {
        std::ifstream file(folder_.path() / (name + ".records"));
        std::string line;
        while (std::getline(file, line) && !file.eof()) {
            stand_ins::execution_record record;
            if (!base::from_json_text(line, record)) {
                throw std::runtime_error("malformed record of " + name + ": " + line);
            }
            latest[{record.boot_id, record.start, record.request_id}] = record;
        }
    }
    std::vector<stand_ins::execution_record> all;
    for (const auto& [identity, record] : latest) {
        all.push_back(record);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& left, const auto& right) { return left.start < right.start; });
    return all;
}

std::vector<stand_ins::transaction_record> cluster::history() const {
    const auto page = json_page(platform_port_.address(), "/control/history");
    return records_of<stand_ins::transaction_record>(page.value("transactions").toArray());
}

} // namespace lovagetack::harness
