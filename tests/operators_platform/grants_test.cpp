#include <catch2/catch.hpp>

#include <thread>

#include "grants.hpp"
#include "platform/fake_http_server.hpp"
#include "routing/limits.hpp"

namespace lovagetack::operators_platform {

// Guards against a grant whose hold time counts from an arrival that the keeper does not expect any more.
TEST_CASE("a grant is not sent after its time by a process that did not run") {
    platform::application application;
    int received = 0;
    platform::fake_http_server server([&](const platform::fake_request& /*request*/) {
        ++received;
        return platform::fake_answer{200, "{}"};
    });
    std::vector<routing::grant_ended> ended;
    grants client([&](const routing::event& event) { ended.push_back(std::get<routing::grant_ended>(event)); });
    routing::grant_range grant;
    grant.server = model::backend_server_id("i-1");
    grant.address = server.address();
    grant.last = 100;
    grant.fence = 7;
    grant.hold = routing::hold_time;
    client.execute(grant);
    std::this_thread::sleep_for(routing::grant_call_time + std::chrono::milliseconds(50));
    REQUIRE(platform::wait_until([&] { return !ended.empty(); }));
    REQUIRE(ended.front().outcome == routing::grant_outcome::refused);
    REQUIRE(received == 0);
}

} // namespace lovagetack::operators_platform
