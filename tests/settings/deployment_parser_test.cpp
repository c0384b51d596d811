#include <catch2/catch.hpp>

#include <random>

#include "settings/deployment_parser.hpp"
#include "settings/instance_settings.hpp"

namespace lovagetack::settings {
namespace {

const std::string base_text = R"(data_centres: [east, west]
services:
  board:
    divided_by_key: true
    default_deadline: 2s
    maximum_body: 1MiB
    slots: 3
    backend_servers:
      east:
        board-1: 127.0.0.1:9001
      west:
        board-2: 127.0.0.1:9002
)";

// Guards against an overlay that silently changes nothing.
TEST_CASE("an overlay changes what it states and nothing else") {
    const std::string overlay = R"(data_centre: west
services:
  board:
    default_deadline: 700ms
    slots: 4
    backend_servers:
      west:
        board-2: 127.0.0.1:9102
)";
    const auto deployment = parse_deployment(base_text, overlay, 9).value();
    REQUIRE(deployment.backend_servers.size() == 2);
    CHECK(deployment.version == 9);
    CHECK(deployment.services[0].default_deadline == std::chrono::milliseconds(700));
    CHECK(deployment.services[0].maximum_body_bytes == 1'048'576);
    CHECK(deployment.backend_servers[0].slots == 3);
    CHECK(deployment.backend_servers[1].slots == 4);
    CHECK(deployment.backend_servers[0].address.port == 9001);
    CHECK(deployment.backend_servers[1].address.port == 9102);
}

// Guards against two sites that disagree about who can own a key.
TEST_CASE("an overlay cannot change what all sites must agree on") {
    const std::string overlay = R"(data_centre: west
services:
  board:
    divided_by_key: false
    backend_servers:
      east:
        board-1: 127.0.0.1:9109
      west:
        board-3: 127.0.0.1:9103
  other:
    slots: 1
)";
    const auto checked = check_deployment({"base.yaml", base_text}, {"west.yaml", overlay});
    const auto text = describe(checked.problems);
    CHECK(text.find("west.yaml:4: services.board.divided_by_key: value 'divided_by_key', expected a known key") !=
          std::string::npos);
    CHECK(text.find("west.yaml:7: services.board.backend_servers.east: value 'east'") != std::string::npos);
    CHECK(text.find("west.yaml:9: services.board.backend_servers.west.board-3") != std::string::npos);
    CHECK(text.find("west.yaml:11: services.other") != std::string::npos);
}

// Guards against operators who mend one fault at a time because only the first is listed.
TEST_CASE("all problems are listed with file, line, path, value and expectation") {
    const std::string broken = R"(data_centres: [east, East]
services:
  board:
    slots: 0
    slots: 2
    default_deadline: 2 hours
    maximum_body: 10XB
    queue_per_backend_server: -1
    unknown_key: 1
    backend_servers:
      south:
        board-1: localhost:9001
      east:
        board-2: 127.0.0.1:9002
        board-2b: 127.0.0.1:9002
)";
    const auto checked = check_deployment({"base.yaml", broken}, {});
    const auto text = describe(checked.problems);
    CAPTURE(text);
    CHECK(text.find("base.yaml:1: data_centres: value 'East', expected a name") != std::string::npos);
    CHECK(text.find("base.yaml:5: services.board.slots: value 'slots', expected each key only once") !=
          std::string::npos);
    CHECK(text.find("base.yaml:6: services.board.default_deadline: value '2 hours', expected a duration") !=
          std::string::npos);
    CHECK(text.find("base.yaml:7: services.board.maximum_body: value '10XB', expected a size") != std::string::npos);
    CHECK(text.find("base.yaml:8: services.board.queue_per_backend_server: value '-1'") != std::string::npos);
    CHECK(text.find("base.yaml:9: services.board.unknown_key: value 'unknown_key', expected a known key") !=
          std::string::npos);
    CHECK(text.find("services.board.backend_servers.south: value 'south', expected a data centre") !=
          std::string::npos);
    CHECK(text.find("board-1: value 'localhost:9001', expected an IP address") != std::string::npos);
    CHECK(text.find("board-2b: value '127.0.0.1:9002', expected an address that no other") != std::string::npos);
}

// Guards against a crash on text that is not YAML, or not of the expected shape.
TEST_CASE("malformed files are reported") {
    for (const std::string text : {"", "[1, 2]", "a: [", "services: 3\ndata_centres: {}\n", "~", "data_centres: [[x]]",
                                   "services: {board: {backend_servers: [1]}}", "? [a]\n: b\n"}) {
        CAPTURE(text);
        CHECK_FALSE(check_deployment({"base.yaml", text}, {}).problems.empty());
    }
}

// Guards against crashes of the parser on damaged input; the seed is fixed so that each run sees the same input.
TEST_CASE("mutated files never end the process") {
    std::mt19937 random(20261204);
    const std::string letters = "{}[]:-#&*!|>'\"%@`\n\t ,?x0\x80";
    int rejected = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string text = base_text;
        const auto changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes; ++change) {
            const auto place = random() % text.size();
            if (random() % 3 == 0) {
                text.erase(place, 1 + random() % 8);
            } else {
                text.insert(place, 1, letters[random() % letters.size()]);
            }
        }
        rejected += check_deployment({"base.yaml", text}, {"overlay.yaml", text}).problems.empty() ? 0 : 1;
    }
    CHECK(rejected > 0);
}

// Guards against an instance that starts with half of its settings.
TEST_CASE("instance settings need names and addresses") {
    const auto complete = parse_instance_settings("a.yaml", R"(name: east-1
data_centre: east
listen: {callers: "127.0.0.1:8001", operators: "127.0.0.1:8101", peers: "127.0.0.1:8201"}
advertise: {peers: "127.0.0.1:8301"}
platform: 127.0.0.1:7000
seeds: ["127.0.0.1:8202"]
limits: {shutdown_time: 5s}
)");
    REQUIRE(complete.has_value());
    CHECK(complete.value().advertised_peers.port == 8301);
    CHECK(complete.value().advertised_callers.port == 8001);
    CHECK(complete.value().limits.shutdown_time == std::chrono::seconds(5));

    const auto missing = parse_instance_settings("a.yaml", "name: east-1\nlisten: {callers: here}\n");
    REQUIRE_FALSE(missing.has_value());
    const auto& text = missing.error().message;
    CHECK(text.find("data_centre: nothing given") != std::string::npos);
    CHECK(text.find("listen.callers: value 'here'") != std::string::npos);
    CHECK(text.find("listen.peers: nothing given") != std::string::npos);
    CHECK(text.find("platform: nothing given") != std::string::npos);
}

} // namespace
} // namespace lovagetack::settings
