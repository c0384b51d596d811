#include "model/home.hpp"

#include <cstdint>

#include "base/key_hash.hpp"

namespace lovagetack::model {

const member* home_instance(const std::vector<member>& members, const data_centre_id& data_centre,
                            const backend_server_id& backend_server) {
    const member* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& candidate : members) {
        if (candidate.data_centre != data_centre || candidate.state != member_state::live) {
            continue;
        }
        const auto score = base::rendezvous_score(backend_server.value(), candidate.id.value());
        if (best == nullptr || score > best_score || (score == best_score && candidate.id < best->id)) {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

} // namespace lovagetack::model
