#pragma once

#include <cstdint>
#include <string>

namespace lovagetack::harness {

/// What a cluster consists of. Data centres are called east, west and north; instances east-1, east-2 and so on;
/// backend servers board-east-1 (service board, divided by key) and files-east-1 (service files, not divided).
struct cluster_plan {
    std::int32_t data_centres = 2;
    std::int32_t instances = 2;
    /// Of service board in each data centre.
    std::int32_t board_servers = 3;
    /// Of service files in each data centre; without any, the service does not exist.
    std::int32_t file_servers = 0;
    std::int32_t ranges = 16;
    std::string default_deadline = "5s";
    /// One process per backend server, so that each can be killed or paused.
    bool separate_servers = false;
    /// Whether the backend servers check grants; the configuration says that they do either way. False is for trials
    /// that show that a check fails without the protection.
    bool servers_check_grants = true;
    /// JSON of the stand-ins' backend_settings.
    std::string backend_settings = "{}";
    /// Links platform-<data centre>.
    bool proxy_platform = false;
    /// Links with the names of the backend servers.
    bool proxy_backends = false;
    /// Links peers-<instance> and callers-<instance>, which all other instances use, those of the same data centre too.
    bool proxy_peers = false;
};

} // namespace lovagetack::harness
