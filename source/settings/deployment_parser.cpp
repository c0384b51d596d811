#include "settings/deployment_parser.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "settings/scalar.hpp"
#include "settings/section.hpp"

namespace lovagetack::settings {
namespace {

constexpr std::int64_t maximum_slots = 1'000;
constexpr std::int64_t maximum_connections = 65'535;
constexpr std::int64_t maximum_queue = 100'000;
constexpr std::int64_t maximum_initial_ranges = 4'096;

constexpr auto expected_bool = "true or false";
constexpr auto expected_duration = "a duration such as 250ms, 2s or 1min";
constexpr auto expected_size = "a size such as 16KiB or 64MiB";
constexpr auto expected_address = "an IP address and port such as 127.0.0.1:9000";
constexpr auto expected_name = "a name of 1 to 63 lower-case letters, digits and '-'";

std::string expected_range(std::int64_t lowest, std::int64_t highest) {
    return "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
}

auto number_reader(std::int64_t lowest, std::int64_t highest) {
    return [lowest, highest](const std::string& text) { return read_number(text, lowest, highest); };
}

/// The files in which a setting is allowed.
enum class scope {
    base_only,
    base_and_overlay,
};

class deployment_reader {
public:
    deployment_reader(model::deployment& deployment, problem_list& problems)
        : deployment_(deployment), problems_(problems) {}

    void read_base(const source_file& file) {
        auto top = section::parse(file.name, file.text, problems_);
        if (!top) {
            return;
        }
        read_data_centres(*top);
        read_services(*top, scope::base_only);
        top->report_unknown_keys();
    }

    void read_overlay(const source_file& file) {
        auto top = section::parse(file.name, file.text, problems_);
        if (!top) {
            return;
        }
        top->require("data_centre", "the data centre that the overlay is for");
        const auto name = top->scalar("data_centre", expected_name);
        overlay_data_centre_ = model::data_centre_id(name.value_or(""));
        if (name && !is_known(overlay_data_centre_)) {
            top->report("data_centre", *name, "a data centre of the base file");
        }
        read_services(*top, scope::base_and_overlay);
        top->report_unknown_keys();
    }

private:
    void read_data_centres(section& top) {
        top.require("data_centres", "a list of data centres");
        for (const auto& name : top.list("data_centres", expected_name)) {
            if (!is_name(name)) {
                top.report("data_centres", name, expected_name);
            } else if (is_known(model::data_centre_id(name))) {
                top.report("data_centres", name, "each data centre only once");
            } else {
                deployment_.data_centres.emplace_back(name);
            }
        }
    }

    void read_services(section& top, scope scope) {
        if (scope == scope::base_only) {
            top.require("services", "a mapping of services");
        }
        auto services = top.subsection("services");
        if (!services) {
            return;
        }
        for (const auto& name : services->keys()) {
            if (auto body = services->subsection(name)) {
                read_service(*services, *body, name, scope);
            }
        }
    }

    void read_service(section& services, section& body, const std::string& name, scope scope) {
        const model::service_id id(name);
        if (scope == scope::base_only) {
            if (!is_name(name)) {
                services.report(name, name, expected_name);
            }
            deployment_.services.push_back({.id = id});
        }
        const auto found = std::find_if(deployment_.services.begin(), deployment_.services.end(),
                                        [&](const model::service& service) { return service.id == id; });
        if (found == deployment_.services.end()) {
            services.report(name, name, "a service of the base file");
            return;
        }
        read_overridable(body, *found);
        if (scope == scope::base_only) {
            read_base_only(body, *found);
        }
        read_backend_servers(body, id, scope);
        if (found->default_deadline > found->maximum_deadline) {
            body.report("default_deadline", std::to_string(found->default_deadline.count()) + "ms",
                        "at most maximum_deadline");
        }
        body.report_unknown_keys();
    }

    /// Settings that the overlay of a data centre may override.
    static void read_overridable(section& body, model::service& service) {
        body.read("default_deadline", service.default_deadline, read_duration, expected_duration);
        body.read("maximum_deadline", service.maximum_deadline, read_duration, expected_duration);
        body.read("queue_per_backend_server", service.queue_per_backend_server, number_reader(0, maximum_queue),
                  expected_range(0, maximum_queue));
        body.read("maximum_body", service.maximum_body_bytes, read_size, expected_size);
    }

    /// Settings that must be equal in all data centres.
    static void read_base_only(section& body, model::service& service) {
        body.read("divided_by_key", service.divided_by_key, read_bool, expected_bool);
        body.read("checks_grants", service.checks_grants, read_bool, expected_bool);
        body.read("initial_ranges", service.initial_ranges, number_reader(1, maximum_initial_ranges),
                  expected_range(1, maximum_initial_ranges));
    }

    void read_backend_servers(section& body, const model::service_id& service, scope scope) {
        model::backend_server defaults{.service = service};
        body.read("slots", defaults.slots, number_reader(1, maximum_slots), expected_range(1, maximum_slots));
        body.read("connections", defaults.connections, number_reader(1, maximum_connections),
                  expected_range(1, maximum_connections));
        if (scope == scope::base_only) {
            body.require("backend_servers", "a mapping of data centres to backend servers");
        } else {
            override_server_limits(body, defaults);
        }
        auto groups = body.subsection("backend_servers");
        if (!groups) {
            return;
        }
        for (const auto& data_centre : groups->keys()) {
            auto group = groups->subsection(data_centre);
            if (!group) {
                continue;
            }
            defaults.data_centre = model::data_centre_id(data_centre);
            if (!is_known(defaults.data_centre)) {
                groups->report(data_centre, data_centre, "a data centre of the base file");
            }
            if (scope == scope::base_and_overlay && defaults.data_centre != overlay_data_centre_) {
                groups->report(data_centre, data_centre, "the overlay's own data centre");
            }
            for (const auto& name : group->keys()) {
                read_backend_server(*group, name, defaults, scope);
            }
        }
    }

    /// Slots and connections given in an overlay apply to all backend servers of the service in its data centre.
    void override_server_limits(section& body, const model::backend_server& stated) {
        const bool has_slots = body.scalar("slots", "").has_value();
        const bool has_connections = body.scalar("connections", "").has_value();
        for (auto& server : deployment_.backend_servers) {
            if (server.service != stated.service || server.data_centre != overlay_data_centre_) {
                continue;
            }
            server.slots = has_slots ? stated.slots : server.slots;
            server.connections = has_connections ? stated.connections : server.connections;
        }
    }

    void read_backend_server(section& group, const std::string& name, model::backend_server server, scope scope) {
        server.id = model::backend_server_id(name);
        group.read(name, server.address, read_address, expected_address);
        const auto known = std::find_if(deployment_.backend_servers.begin(), deployment_.backend_servers.end(),
                                        [&](const model::backend_server& other) { return other.id == server.id; });
        const bool is_new = known == deployment_.backend_servers.end();
        if (scope == scope::base_only) {
            if (!is_name(name)) {
                group.report(name, name, expected_name);
            }
            if (!is_new) {
                group.report(name, name, "a name that no other backend server has");
            }
            check_address(group, name, server);
            deployment_.backend_servers.push_back(std::move(server));
            return;
        }
        if (is_new || known->service != server.service || known->data_centre != server.data_centre) {
            group.report(name, name, "a backend server of the base file, under its service and data centre");
            return;
        }
        known->address = server.address;
    }

    void check_address(section& group, const std::string& name, const model::backend_server& server) {
        const auto same =
            std::find_if(deployment_.backend_servers.begin(), deployment_.backend_servers.end(),
                         [&](const model::backend_server& other) { return other.address == server.address; });
        if (same != deployment_.backend_servers.end()) {
            group.report(name, model::to_text(server.address), "an address that no other backend server has");
        }
    }

    [[nodiscard]] bool is_known(const model::data_centre_id& id) const {
        return std::find(deployment_.data_centres.begin(), deployment_.data_centres.end(), id) !=
               deployment_.data_centres.end();
    }

    model::deployment& deployment_;
    problem_list& problems_;
    model::data_centre_id overlay_data_centre_;
};

} // namespace

checked_deployment check_deployment(const source_file& base, const source_file& overlay) {
    checked_deployment checked;
    deployment_reader reader(checked.deployment, checked.problems);
    reader.read_base(base);
    if (!overlay.text.empty()) {
        reader.read_overlay(overlay);
    }
    return checked;
}

base::result<model::deployment> parse_deployment(const std::string& base_text, const std::string& overlay_text,
                                                 std::uint64_t version) {
    auto checked = check_deployment({"base", base_text}, {"overlay", overlay_text});
    if (!checked.problems.empty()) {
        return base::failure(base::result_code::settings_invalid, describe(checked.problems));
    }
    checked.deployment.version = version;
    return std::move(checked.deployment);
}

} // namespace lovagetack::settings
