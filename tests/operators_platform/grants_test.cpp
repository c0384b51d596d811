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

// Guards against keys that are granted while their former owner is at work on them: a server may send a second, late
// copy of an answer, in front of the next one on that connection.
TEST_CASE("a late copy of a grant's answer is not taken for the answer to a release") {
    platform::application application;
    int releases = 0;
    platform::fake_http_server server(
        [&](const platform::fake_request& request) -> std::optional<platform::fake_answer> {
            if (request.path == "/v1/grant") {
                return platform::fake_answer{200, "{}"};
            }
            ++releases;
            return std::nullopt;
        });
    std::vector<routing::grant_ended> granted;
    std::vector<routing::release_ended> released;
    grants client([&](const routing::event& event) {
        if (const auto* const grant = std::get_if<routing::grant_ended>(&event)) {
            granted.push_back(*grant);
        }
        if (const auto* const release = std::get_if<routing::release_ended>(&event)) {
            released.push_back(*release);
        }
    });
    routing::grant_range grant;
    grant.server = model::backend_server_id("i-1");
    grant.address = server.address();
    grant.fence = 7;
    grant.hold = routing::hold_time;
    client.execute(grant);
    REQUIRE(platform::wait_until([&] { return !granted.empty(); }));
    REQUIRE(granted.front().outcome == routing::grant_outcome::accepted);
    routing::release_range release;
    release.server = grant.server;
    release.address = grant.address;
    release.fence = 7;
    client.execute(release);
    REQUIRE(platform::wait_until([&] { return releases == 1; }));
    server.send_to_first("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    const auto copied_at = base::boot_clock::now();
    (void)platform::wait_until([&] { return base::boot_clock::now() - copied_at > std::chrono::milliseconds(300); });
    REQUIRE(released.empty());
}

// Guards against an answer of another kind on the connection of a release.
TEST_CASE("a release is proved by the handover in its answer") {
    const bool proved = GENERATE(false, true);
    platform::application application;
    platform::fake_http_server server([proved](const platform::fake_request& /*request*/) {
        return platform::fake_answer{200, "", proved ? "Lovagetack-Handover: 5c0e7a21d94b36f8\r\n" : ""};
    });
    std::vector<routing::release_ended> ended;
    grants client([&](const routing::event& event) { ended.push_back(std::get<routing::release_ended>(event)); });
    routing::release_range release;
    release.server = model::backend_server_id("i-1");
    release.address = server.address();
    client.execute(release);
    REQUIRE(platform::wait_until([&] { return !ended.empty(); }));
    REQUIRE(ended.front().released == proved);
}

TEST_CASE("a connection that carried a release carries nothing else") {
    platform::application application;
    platform::fake_http_server server([](const platform::fake_request& /*request*/) {
        return platform::fake_answer{200, "{}"};
    });
    int ended = 0;
    grants client([&](const routing::event& /*event*/) { ++ended; });
    routing::release_range release;
    release.server = model::backend_server_id("i-1");
    release.address = server.address();
    routing::grant_range grant;
    grant.server = release.server;
    grant.address = release.address;
    grant.hold = routing::hold_time;
    client.execute(release);
    REQUIRE(platform::wait_until([&] { return ended == 1; }));
    client.execute(grant);
    REQUIRE(platform::wait_until([&] { return ended == 2; }));
    REQUIRE(server.connections == 2);
    client.execute(grant);
    REQUIRE(platform::wait_until([&] { return ended == 3; }));
    REQUIRE(server.connections == 2);
}

} // namespace lovagetack::operators_platform
