#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QJsonObject>

#include "integration/process.hpp"
#include "integration/reserved_port.hpp"
#include "integration/temporary_folder.hpp"

namespace lovagetack::measure {

/// What to start: data centres dc-1, dc-2, ... with instances and the backend servers of one service.
struct deployment_plan {
    std::string name;
    /// Instances, dealt to the data centres in turn.
    int instances = 9;
    int data_centres = 3;
    /// The first ones; the others have only instances.
    int data_centres_with_servers = 3;
    std::string service = "board";
    bool divided_by_key = true;
    /// Backend servers per data centre.
    int backend_servers = 12;
    int initial_ranges = 256;
    int slots = 2;
    int connections = 110;
    /// JSON of the stand-in's backend_settings.
    std::string backend_settings = "{}";
    /// Backend servers per process of the stand-in; 1 makes each of them a process that can be killed.
    int servers_per_process = 12;
    /// False when the experiment drives the backend servers itself, without instances that poll grants.
    bool checks_grants = true;
    /// Starts the instances only when the backend servers are up for so long that they count as warm (30 s), so that
    /// the ramp is not measured.
    bool starts_warm = false;
};

struct running_instance {
    std::string name;
    std::string data_centre;
    std::string callers;
    std::string operators;
    std::unique_ptr<harness::process> process;
};

struct running_server {
    std::string name;
    std::string data_centre;
    std::string address;
    /// Index in deployment::backends().
    std::size_t process = 0;
};

/// A deployment of real processes on the loopback interface, ended with the object.
class deployment {
public:
    /// Returns once every instance is ready and answers requests for many keys.
    explicit deployment(deployment_plan plan);

    [[nodiscard]] const deployment_plan& plan() const { return plan_; }
    [[nodiscard]] std::vector<running_instance>& instances() { return instances_; }
    [[nodiscard]] const std::vector<running_instance>& instances() const { return instances_; }
    [[nodiscard]] std::vector<running_server>& servers() { return servers_; }
    [[nodiscard]] std::vector<harness::process>& backends() { return backends_; }
    [[nodiscard]] const std::string& platform() const { return platform_address_; }
    [[nodiscard]] const std::filesystem::path& folder() const { return folder_.path(); }

    [[nodiscard]] running_instance& instance(const std::string& name);
    [[nodiscard]] running_server& server(const std::string& name);
    /// The controller of a data centre; nullptr while there is none.
    [[nodiscard]] running_instance* controller(const std::string& data_centre);
    /// GET /status and /explain at an instance.
    [[nodiscard]] static QJsonObject status(const running_instance& instance);
    [[nodiscard]] QJsonObject explain(const running_instance& instance, const std::string& key) const;
    /// POST /control at a backend server.
    static void control(const running_server& server, const std::string& json);

private:
    void start_platform();
    void start_backends();
    void push_configuration();
    void start_instances();
    void wait_until_served();
    [[nodiscard]] std::string base_file() const;

    deployment_plan plan_;
    harness::temporary_folder folder_;
    std::vector<harness::reserved_port> ports_;
    std::string platform_address_;
    std::vector<harness::process> platform_;
    std::vector<harness::process> backends_;
    std::vector<running_server> servers_;
    std::vector<running_instance> instances_;
};

/// Metrics of an instance, by name with labels as printed.
[[nodiscard]] std::map<std::string, double> read_metrics(const running_instance& instance);
/// Sleeps in the calling thread.
void pause_for(std::chrono::milliseconds time);
/// JSON of an answer's body.
[[nodiscard]] QJsonObject get_json(const std::string& address, const std::string& target);
/// Runs lovagetack with these arguments to its end and returns what it printed.
std::string run_lovagetack(const std::vector<std::string>& arguments, const std::filesystem::path& folder);

} // namespace lovagetack::measure
