#include "core/state.hpp"

#include "settings/deployment_parser.hpp"

namespace lovagetack::core {

state::state(const core::identity& who)
    : identity(who), membership(who.self, who.seeds),
      configuration(who.self.id, who.self.data_centre, settings::parse_deployment),
      ownership(who.self.id, who.self.data_centre, who.self.incarnation),
      requests(requests::identity{who.self.id, who.self.data_centre, who.self.incarnation}) {}

} // namespace lovagetack::core
