#include <catch2/catch.hpp>

#include <random>

#include "base/json.hpp"
#include "peers/message_conversion.hpp"
#include "wire/peer.pb.h"

namespace lovagetack::peers {
namespace {

using std::chrono::microseconds;

std::vector<model::peer_message_body> one_of_each_body() {
    const model::fact unknown_kind{static_cast<model::fact_kind>(200), "later", {7, 8}, std::string("a\0b\xff", 4)};
    const model::fact known_kind{model::fact_kind::member, "i1", {~0ULL, 1}, "{}"};
    return {
        model::heartbeat{5, 0xfedcba9876543210ULL},
        model::facts{{unknown_kind, known_kind}},
        model::sync_request{{{{static_cast<model::fact_kind>(200), "later"}, {7, 8}}}},
        model::probe_request{model::instance_id("i2"), 9},
        model::probe{10, model::instance_id("i3")},
        model::probe_answer{model::instance_id("i4"), 11, model::instance_id("i5")},
        model::lease_request{model::backend_server_id("b1"), microseconds(12)},
        model::lease_reply{model::backend_server_id("b2"), microseconds(13), true, microseconds(14), model::epoch(15)},
        model::controller_heartbeat{model::epoch(16)},
    };
}

model::peer_message message_with(model::peer_message_body body) {
    return {model::instance_id("from"), model::incarnation(1'764'800'000'000), {"127.0.0.1", 65535}, std::move(body)};
}

// Guards against a field that is written but not read, or kinds of facts that an older instance would not forward.
TEST_CASE("each body is equal after encoding and decoding") {
    const auto bodies = one_of_each_body();
    REQUIRE(bodies.size() == std::variant_size_v<model::peer_message_body>);
    for (const auto& body : bodies) {
        const auto before = message_with(body);
        model::peer_message after;
        REQUIRE(decode(encode(before), after) == decode_status::ok);
        CHECK(after == before);
    }
}

// Guards against reading past the end of a message that was cut short: it must neither
// crash nor be read as the whole message.
TEST_CASE("truncated messages are never read as the whole message") {
    for (const auto& body : one_of_each_body()) {
        const auto before = message_with(body);
        const std::string bytes = encode(before);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            model::peer_message after;
            const auto status = decode(std::string_view(bytes).substr(0, length), after);
            CHECK((status != decode_status::ok || !(after == before)));
        }
    }
}

// Guards against input from outside that crashes the process.
TEST_CASE("random bytes are refused or read without a crash") {
    std::mt19937_64 random(20261204);
    std::size_t refused = 0;
    constexpr std::size_t rounds = 20000;
    for (std::size_t round = 0; round < rounds; ++round) {
        std::string bytes(random() % 64, '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random());
        }
        model::peer_message message;
        refused += decode(bytes, message) == decode_status::ok ? 0 : 1;
    }
    CHECK(refused > rounds * 9 / 10);
}

// Guards against a newer instance's message being counted as malformed, or its facts being truncated to a known kind.
TEST_CASE("bodies and kinds of a newer protocol version are ignored") {
    wire::PeerMessage newer;
    newer.set_protocol_version(2);
    newer.set_from("i9");
    // Field 100, wire type 2, length 2.
    const std::string unknown_field("\xa2\x06\x02ok", 5);
    model::peer_message message;
    CHECK(decode(newer.SerializeAsString() + unknown_field, message) == decode_status::unknown_body);

    newer.mutable_facts()->add_list()->set_kind(257);
    newer.mutable_facts()->add_list()->set_kind(255);
    REQUIRE(decode(newer.SerializeAsString(), message) == decode_status::ok);
    const auto& list = std::get<model::facts>(message.body).list;
    REQUIRE(list.size() == 1);
    CHECK(static_cast<int>(list[0].kind) == 255);
}

// Guards against messages that cannot be answered, since their sender has no name or an invalid port.
TEST_CASE("messages without a valid sender are malformed") {
    wire::PeerMessage bad;
    bad.mutable_heartbeat();
    model::peer_message message;
    CHECK(decode(bad.SerializeAsString(), message) == decode_status::malformed);
    bad.set_from("i1");
    bad.set_from_port(65536);
    CHECK(decode(bad.SerializeAsString(), message) == decode_status::malformed);
}

} // namespace
// Guards against large facts that are sent uncompressed, against a value damaged by compression, and against memory
// reserved for a damaged message that claims a huge value.
TEST_CASE("long values are compressed and damaged ones are left out") {
    std::string text = "{\"ranges\":[";
    for (int index = 0; index < 200; ++index) {
        text += "{\"first\":\"" + std::to_string(index * 1000) + "\",\"owner\":\"board-7\"},";
    }
    model::peer_message before;
    before.from = model::instance_id("east-1");
    before.body = model::facts{{{model::fact_kind::activation, "board.east", {1, 2}, text}}};
    const auto bytes = encode(before);
    CHECK(bytes.size() * 3 < text.size());
    model::peer_message after;
    REQUIRE(decode(bytes, after) == decode_status::ok);
    CHECK(after.body == before.body);

    wire::PeerMessage damaged;
    REQUIRE(damaged.ParseFromString(bytes));
    auto& value = *damaged.mutable_facts()->mutable_list(0)->mutable_value();
    const std::string whole = value;
    value = whole.substr(0, whole.size() / 2);
    REQUIRE(decode(damaged.SerializeAsString(), after) == decode_status::ok);
    CHECK(std::get<model::facts>(after.body).list.empty());
    value = whole;
    value.replace(0, 4, "\xff\xff\xff\xff");
    REQUIRE(decode(damaged.SerializeAsString(), after) == decode_status::ok);
    CHECK(std::get<model::facts>(after.body).list.empty());
}

} // namespace lovagetack::peers
