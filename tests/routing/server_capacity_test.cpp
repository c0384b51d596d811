#include <catch2/catch.hpp>

#include "routing/limits.hpp"
#include "routing/samples.hpp"
#include "routing/servers.hpp"
#include "routing/state.hpp"

namespace lovagetack::routing::testing {

using namespace std::chrono_literals;

// Guards against callers of an owner's keys that wait or are refused although it has free slots.
TEST_CASE("the learned limit of a server holds for work that another one can do, not for the keys that it owns") {
    const bool keyed = GENERATE(true, false);
    const model::service_id service("board");
    state state(identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    for (std::size_t number = 0; number <= small_deployment; ++number) {
        state.instances[model::instance_id(std::to_string(number))] = {};
    }
    state.configuration.services[service] = {service, "/health", 100, 6.0, 3000ms, keyed};
    server_record server;
    server.registration = server_of("board-0", service);
    REQUIRE(server.registration.slots == 2);
    base::boot_time now{100s};
    for (int answers = 0; answers < 200; ++answers) {
        now += 10ms;
        const int in_progress = 1 + answers % 2;
        const auto work = in_progress == 1 ? 100ms : 500ms;
        server.capacity.learn(now, {work, now - work, in_progress, 2, true}, 100ms);
    }
    REQUIRE(server.capacity.limit(now, 2) == 1);
    CHECK(most_at_once(state, server, now) == (keyed ? 2 : 1));
}

} // namespace lovagetack::routing::testing
