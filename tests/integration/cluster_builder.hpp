#pragma once

#include <memory>
#include <string>

#include "base/result.hpp"
#include "integration/cluster.hpp"
#include "integration/cluster_plan.hpp"

namespace lovagetack::harness {

/// Starts a cluster of real processes on free ports of 127.0.0.1.
class cluster_builder {
public:
    cluster_builder& data_centres(std::int32_t count) { return set(plan_.data_centres, count); }
    /// Per data centre.
    cluster_builder& instances(std::int32_t count) { return set(plan_.instances, count); }
    cluster_builder& board_servers(std::int32_t count) { return set(plan_.board_servers, count); }
    cluster_builder& file_servers(std::int32_t count) { return set(plan_.file_servers, count); }
    cluster_builder& default_deadline(const std::string& time) { return set(plan_.default_deadline, time); }
    cluster_builder& separate_servers() { return set(plan_.separate_servers, true); }
    cluster_builder& servers_check_grants(bool check) { return set(plan_.servers_check_grants, check); }
    cluster_builder& backend_settings(const std::string& json) { return set(plan_.backend_settings, json); }
    cluster_builder& proxy_platform() { return set(plan_.proxy_platform, true); }
    cluster_builder& proxy_backends() { return set(plan_.proxy_backends, true); }
    cluster_builder& proxy_peers() { return set(plan_.proxy_peers, true); }

    /// Starts everything, pushes the configuration and waits until every instance routes every key and serves a
    /// sample of keys. Fails when a process does not start or the configuration is not accepted; throws
    /// std::runtime_error when the cluster hangs.
    [[nodiscard]] base::result<std::unique_ptr<cluster>> build() const;

private:
    template <class Value>
    cluster_builder& set(Value& field, const Value& value) {
        field = value;
        return *this;
    }

    cluster_plan plan_;
};

} // namespace lovagetack::harness
