#include "model/deployment.hpp"

#include <algorithm>

namespace lovagetack::model {

const service* find_service(const deployment& deployment, const service_id& id) {
    const auto found = std::find_if(deployment.services.begin(), deployment.services.end(),
                                    [&](const service& candidate) { return candidate.id == id; });
    return found == deployment.services.end() ? nullptr : &*found;
}

const backend_server* find_backend_server(const deployment& deployment, const backend_server_id& id) {
    const auto found = std::find_if(deployment.backend_servers.begin(), deployment.backend_servers.end(),
                                    [&](const backend_server& candidate) { return candidate.id == id; });
    return found == deployment.backend_servers.end() ? nullptr : &*found;
}

} // namespace lovagetack::model
