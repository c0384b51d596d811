#include "integration/cluster_builder.hpp"

#include <system_error>

namespace lovagetack::harness {

base::result<std::unique_ptr<cluster>> cluster_builder::build() const {
    if (plan_.data_centres < 1 || plan_.data_centres > 3 || plan_.instances < 1 || plan_.board_servers < 1) {
        return base::failure(base::result_code::usage,
                             "1 to 3 data centres with at least one instance and one backend server each");
    }
    auto started = std::make_unique<cluster>(plan_);
    try {
        started->start();
    } catch (const std::system_error& error) {
        return base::failure(base::result_code::usage, error.what());
    }
    const auto pushed = started->push(started->base_file());
    if (pushed.status != 0) {
        return base::failure(base::result_code::configuration_rejected, pushed.output);
    }
    started->wait_until_serving();
    return started;
}

} // namespace lovagetack::harness
