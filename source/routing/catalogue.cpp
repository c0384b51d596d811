#include "routing/catalogue.hpp"

namespace lovagetack::routing {

const route* find_route(const configuration& configuration, std::string_view host, std::string_view path) {
    const auto end = path.find_first_of("?#");
    const auto path_without_query = path.substr(0, end);
    const route* best = nullptr;
    for (const auto& candidate : configuration.routes) {
        if (candidate.host == host && path_without_query.starts_with(candidate.path_prefix) &&
            (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace lovagetack::routing
