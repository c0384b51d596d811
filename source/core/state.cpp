#include "core/state.hpp"

#include "settings/deployment_parser.hpp"

namespace lovagetack::core {

state::state(const core::identity& own_identity)
    : identity(own_identity), membership(own_identity.self, own_identity.seeds),
      configuration(own_identity.self.id, own_identity.self.data_centre, settings::parse_deployment),
      ownership(own_identity.self.id, own_identity.self.data_centre, own_identity.self.incarnation),
      requests(requests::identity{own_identity.self.id, own_identity.self.data_centre, own_identity.self.incarnation}) {
}

} // namespace lovagetack::core
