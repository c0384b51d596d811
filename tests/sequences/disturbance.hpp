#pragma once

#include <string>

#include "ownership/cluster.hpp"

namespace lovagetack::testing {

enum class disturbance {
    none,
    lost_messages,
    delayed_messages,
    repeated_messages,
    paused_instance,
    killed_instance,
    frozen_server,
    restarted_server,
    killed_server,
    store_outage,
    lost_write_answers,
    cut_off_data_centre,
    drained_data_centre,
    drained_server,
};

constexpr int disturbance_count = 14;

/// Injects one kind of disturbance into a cluster at random moments, and ends it.
class disturber {
public:
    disturber(cluster& disturbed, disturbance kind) : cluster_(disturbed), kind_(kind) {}

    void start() {
        switch (kind_) {
        case disturbance::lost_messages:
            cluster_.faults.lost = 25;
            return;
        case disturbance::delayed_messages:
            cluster_.faults.delayed = 25;
            return;
        case disturbance::repeated_messages:
            cluster_.faults.repeated = 40;
            return;
        case disturbance::lost_write_answers:
            cluster_.lost_write_answers = 50;
            return;
        default:
            return;
        }
    }

    /// Injects the disturbance once; called about once a second.
    void inject() {
        switch (kind_) {
        case disturbance::paused_instance: {
            // Drawn in a statement of its own: the order in which arguments are evaluated differs between kinds of
            // machine.
            const auto time = std::chrono::milliseconds(100 + cluster_.draw(2500));
            cluster_.pause(random_node(), time);
            return;
        }
        case disturbance::killed_instance:
            if (!killed_) {
                killed_ = true;
                cluster_.kill(random_node());
            }
            return;
        case disturbance::frozen_server:
            random_server().frozen_until = cluster_.now + std::chrono::milliseconds(100 + cluster_.draw(2000));
            return;
        case disturbance::restarted_server:
            random_server().restart(cluster_.now);
            return;
        case disturbance::killed_server:
            if (auto& server = random_server(); server.down) {
                server.restart(cluster_.now);
            } else {
                server.down = true;
            }
            return;
        case disturbance::store_outage:
            cluster_.store.up = !cluster_.store.up;
            return;
        case disturbance::cut_off_data_centre:
            if (cluster_.cut_off.empty()) {
                cluster_.cut_off.insert("b");
            } else {
                cluster_.cut_off.clear();
            }
            return;
        case disturbance::drained_data_centre:
            toggle({model::subject_kind::data_centre, "b", model::availability::drained, 0, 0ms});
            return;
        case disturbance::drained_server:
            toggle({model::subject_kind::backend_server, "a-s0", model::availability::drained, 0, 0ms});
            return;
        default:
            return;
        }
    }

    void stop() {
        cluster_.set_states({});
        cluster_.faults = {};
        cluster_.lost_write_answers = 0;
        cluster_.store.up = true;
        cluster_.cut_off.clear();
        for (auto& [id, server] : cluster_.servers) {
            if (server.down) {
                server.restart(cluster_.now);
            }
        }
    }

private:
    void toggle(const model::service_state& order) {
        drained_ = !drained_;
        cluster_.set_states(drained_ ? std::vector{order} : std::vector<model::service_state>{});
    }

    /// Picks the controller of a random data centre in most cases, since its loss has the largest effect.
    cluster::node& random_node() {
        const std::string data_centre = cluster_.draw(2) == 0 ? "a" : "b";
        auto* controller = cluster_.controller(data_centre);
        if (controller != nullptr && cluster_.draw(3) > 0) {
            return *controller;
        }
        return std::next(cluster_.nodes.begin(), static_cast<std::ptrdiff_t>(cluster_.draw(cluster_.nodes.size())))
            ->second;
    }

    fake_backend_server& random_server() {
        return std::next(cluster_.servers.begin(), static_cast<std::ptrdiff_t>(cluster_.draw(cluster_.servers.size())))
            ->second;
    }

    cluster& cluster_;
    disturbance kind_;
    bool killed_ = false;
    bool drained_ = false;
};

} // namespace lovagetack::testing
