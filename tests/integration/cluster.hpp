#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QJsonObject>

#include "integration/cluster_plan.hpp"
#include "integration/process.hpp"
#include "integration/reserved_port.hpp"
#include "integration/temporary_folder.hpp"
#include "stand_ins/execution_record.hpp"
#include "stand_ins/platform_store.hpp"

namespace lovagetack::harness {

/// How a subcommand of lovagetack ended.
struct command_result {
    int status = 0;
    /// Standard output and standard error.
    std::string output;
};

/// The processes of one deployment: stand-ins for the platform and the backend servers, a proxy where the plan has
/// links, and the instances. Made by cluster_builder. Functions throw std::runtime_error when something hangs.
class cluster {
public:
    explicit cluster(const cluster_plan& plan);

    /// Starts all processes; the instances have no configuration yet.
    void start();
    void wait_until_serving();
    /// Waits until /status of the instance shows an owner for every key and the sample of keys is answered there.
    void wait_until_serving(const std::string& instance);

    [[nodiscard]] std::vector<std::string> data_centre_names() const;
    [[nodiscard]] std::vector<std::string> instance_names() const;
    /// Of the service board in one data centre.
    [[nodiscard]] std::vector<std::string> board_servers(const std::string& data_centre) const;
    [[nodiscard]] std::vector<std::string> server_names() const;
    [[nodiscard]] std::string data_centre_of(const std::string& instance_or_server) const;
    [[nodiscard]] std::string callers_address(const std::string& instance) const;
    [[nodiscard]] std::string operators_address(const std::string& instance) const;
    [[nodiscard]] std::vector<std::string> callers_addresses() const;
    [[nodiscard]] std::string platform_address() const { return platform_port_.address(); }

    [[nodiscard]] QJsonObject status(const std::string& instance) const;
    [[nodiscard]] std::int64_t configuration_version(const std::string& instance) const;
    /// The instance that is controller of the data centre, once there is exactly one among those that answer.
    [[nodiscard]] std::string wait_for_controller(const std::string& data_centre, const std::string& except = "") const;
    /// The active owner of a key of service board as an instance sees it; empty when there is none.
    [[nodiscard]] std::string owner_of(const std::string& key, const std::string& at) const;
    /// Keys key-0 to key-<count - 1>.
    [[nodiscard]] static std::vector<std::string> keys(std::size_t count);
    /// Those of the keys whose active owner is in the data centre.
    [[nodiscard]] std::vector<std::string> keys_of(const std::string& data_centre, std::size_t count) const;

    [[nodiscard]] process& instance(const std::string& name) { return instances_.at(name).running.value(); }
    /// A new process with the settings file of an instance that has ended.
    void start_instance(const std::string& name);
    /// The process of a backend server, which is its own with separate_servers.
    [[nodiscard]] process& server(const std::string& name);
    /// A new process for a backend server that has ended.
    void start_server(const std::string& name);

    /// Control calls of the stand-ins; bodies as they describe them.
    void order_platform(const std::string& body) const;
    void order_server(const std::string& name, const std::string& body) const;
    void order_link(const std::string& link, const std::string& mode) const;

    /// All executions so far, ordered by start; those of ended and paused backend servers too.
    [[nodiscard]] std::vector<stand_ins::execution_record> executions() const;
    [[nodiscard]] std::vector<stand_ins::transaction_record> history() const;

    [[nodiscard]] std::string base_file() const;
    [[nodiscard]] command_result run(const std::vector<std::string>& words) const;
    /// config push of a base file's text.
    [[nodiscard]] command_result push(const std::string& base_text, const std::vector<std::string>& options = {}) const;
    /// Starts config push without waiting for its end.
    [[nodiscard]] process start_push(const std::string& base_text, const std::vector<std::string>& options) const;

private:
    struct instance_place {
        std::string data_centre;
        reserved_port callers;
        reserved_port operators;
        reserved_port peers;
        std::string advertised_callers;
        std::string advertised_peers;
        std::optional<process> running;
    };
    struct server_place {
        std::string data_centre;
        std::string service;
        reserved_port port;
        /// What the base file names: the own address, or that of a proxy link.
        std::string address;
        /// Index in groups_.
        std::size_t group = 0;
    };
    /// Backend servers in one process.
    struct server_group {
        std::vector<std::string> names;
        reserved_port control;
        std::optional<process> running;
    };
    struct link_place {
        reserved_port port;
        std::string to;
    };

    void place_servers(const std::string& data_centre, const std::string& service, std::int32_t count);
    void place_instances(const std::string& data_centre);
    [[nodiscard]] std::string add_link(const std::string& name, const std::string& to);
    [[nodiscard]] std::string platform_for(const std::string& data_centre) const;
    [[nodiscard]] std::string settings_text(const std::string& instance) const;
    void start_group(server_group& group);
    void start_proxy();
    [[nodiscard]] bool routes_every_key(const std::string& instance) const;
    [[nodiscard]] std::filesystem::path new_file(const std::string& name, const std::string& text) const;

    cluster_plan plan_;
    temporary_folder folder_;
    mutable int files_ = 0;
    reserved_port platform_port_;
    reserved_port proxy_control_;
    std::map<std::string, instance_place> instances_;
    std::map<std::string, server_place> servers_;
    std::vector<server_group> groups_;
    std::map<std::string, link_place> links_;
    std::optional<process> platform_;
    std::optional<process> proxy_;
};

} // namespace lovagetack::harness
