#pragma once

#include <string>
#include <vector>

#include "ownership/cluster.hpp"

namespace lovagetack::testing {

/// Checks the invariants of a cluster after every step and collects violations.
class checker {
public:
    explicit checker(cluster& observed) : cluster_(observed) {
        for (int index = 0; index < 24; ++index) {
            hashes_.push_back(cluster_.draw(~0ULL));
        }
        highest_.resize(hashes_.size());
        cluster_.check = [this] { check_execution(); };
        cluster_.after_transaction = [this] { check_rows(); };
    }

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

    /// Number of hashes that not exactly one backend server executes, or that a running instance does not route to it.
    [[nodiscard]] std::size_t unserved() const {
        std::size_t count = 0;
        for (const auto hash : hashes_) {
            const auto executing = cluster_.executing(hash);
            count += executing.size() == 1 && all_route_to(hash, executing.front()->server.id) ? 0 : 1;
        }
        return count;
    }

private:
    void report(const std::string& violation) {
        if (violations_.size() < 5) {
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(cluster_.now.time_since_epoch());
            violations_.push_back(std::to_string(ms.count()) + " ms: " + violation);
        }
    }

    void check_execution() {
        for (std::size_t index = 0; index < hashes_.size(); ++index) {
            std::string executing;
            int count = 0;
            for (const auto& [id, server] : cluster_.servers) {
                const auto fence = server.would_execute(hashes_[index], cluster_.now);
                if (!fence) {
                    continue;
                }
                ++count;
                executing += " " + id.value() + " " + std::to_string(fence->epoch.value()) + "." +
                             std::to_string(fence->sequence);
                if (*fence < highest_[index]) {
                    report("the fence of hash " + std::to_string(hashes_[index]) + " went back:" + executing);
                }
                highest_[index] = std::max(highest_[index], *fence);
            }
            if (count > 1) {
                report("hash " + std::to_string(hashes_[index]) + " is executed by" + executing);
            }
        }
        check_known_versions();
    }

    /// Checks that no instance replaces an acknowledged row by an older one.
    void check_known_versions() {
        for (const auto& [id, node] : cluster_.nodes) {
            for (const auto& [name, known] : node.state.assignments) {
                auto& highest = versions_[{id, name.second}];
                if (known.version < highest) {
                    report("the row of " + name.second.value() + " went back at " + id.value());
                }
                highest = known.version;
            }
        }
    }

    /// Checks that the rows of all data centres together cover each hash exactly once.
    void check_rows() {
        for (const auto hash : hashes_) {
            int entries = 0;
            int rows = 0;
            for (const auto& [name, row] : cluster_.store.rows) {
                if (name.first != "assignments") {
                    continue;
                }
                ++rows;
                model::assignment value;
                base::from_json_text(row.value, value);
                for (const auto& entry : value.ranges) {
                    entries += entry.first <= hash && hash <= entry.last ? 1 : 0;
                }
            }
            if (rows > 0 && entries != 1) {
                report("hash " + std::to_string(hash) + " is in " + std::to_string(entries) + " ranges of the rows");
            }
        }
    }

    [[nodiscard]] bool all_route_to(std::uint64_t hash, const model::backend_server_id& owner) const {
        for (const auto& [id, node] : cluster_.nodes) {
            const auto* routes = ownership::routes_of(node.state, model::service_id("board"));
            const auto* range = routes == nullptr ? nullptr : model::find_range(*routes, hash);
            if (cluster_.runs(node) && (range == nullptr || range->owner != owner)) {
                return false;
            }
        }
        return true;
    }

    cluster& cluster_;
    std::vector<std::uint64_t> hashes_;
    std::vector<model::fence> highest_;
    std::map<std::pair<model::instance_id, model::data_centre_id>, std::uint64_t> versions_;
    std::vector<std::string> violations_;
};

} // namespace lovagetack::testing
