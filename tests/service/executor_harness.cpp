#include "service/executor_harness.hpp"

#include <stdexcept>

namespace lovagetack::test {

executor_harness::executor_harness(http::server_limits limits) {
    ensure_application();
    service::request_executor::settings settings;
    settings.instance = model::instance_id("arusha-1");
    settings.limits = limits;
    service::request_executor::hooks hooks;
    hooks.on_event = [this](const requests::event& event) {
        events.push_back(event);
        if (on_event) {
            on_event(event);
        }
    };
    hooks.random = [] { return std::uint64_t(42); };
    hooks.queue_length_of = [this](const model::backend_server_id& /*id*/) { return queue; };
    executor = std::make_unique<service::request_executor>(settings, hooks);
    model::deployment deployment;
    deployment.services.resize(2);
    deployment.services[0].id = model::service_id("hidestock");
    deployment.services[0].divided_by_key = true;
    deployment.services[1].id = model::service_id("maps");
    deployment.services[1].maximum_body_bytes = std::uint64_t(8) * 1024 * 1024;
    executor->set_deployment(deployment);
    if (!executor->listen({"127.0.0.1", 0})) {
        throw std::runtime_error("the executor cannot listen");
    }
}

requests::start_attempt executor_harness::attempt(const requests::caller_request& request, std::uint64_t number,
                                                  std::uint16_t port) {
    requests::start_attempt effect;
    effect.exchange = request.exchange;
    effect.attempt = model::attempt_id(number);
    effect.backend_server = model::backend_server_id("backend-1");
    effect.address = {"127.0.0.1", port};
    effect.fence = {model::epoch(3), 9};
    effect.deadline = std::chrono::milliseconds(1500);
    return effect;
}

void executor_harness::route_all_to(std::uint16_t port) {
    on_event = [this, port](const requests::event& event) {
        if (const auto* const request = std::get_if<requests::caller_request>(&event)) {
            executor->execute(attempt(*request, ++attempts_, port));
        }
    };
}

} // namespace lovagetack::test
