#include <catch2/catch.hpp>

#include "capacity/backoff.hpp"
#include "capacity/limits.hpp"

namespace lovagetack::capacity {
namespace {

using namespace std::chrono_literals;

/// Lets the server reject requests until it is backed off.
base::boot_time reject_until_paused(backoff& server, base::boot_time now) {
    for (int count = 0; count < 20 && !server.pausing(now); ++count) {
        now += 10ms;
        server.note_rejection(now, now);
    }
    REQUIRE(server.pausing(now));
    return now;
}

// Guards against a server that loses its work for one rejection, which a burst can cause.
TEST_CASE("two rejections among good answers back no server off") {
    backoff server;
    base::boot_time now(100s);
    for (int count = 0; count < 200; ++count) {
        now += 10ms;
        if (count % 20 < 2) {
            CHECK_FALSE(server.note_rejection(now, now));
        } else {
            server.note_answer(now);
        }
        REQUIRE_FALSE(server.active());
    }
}

// Guards against a sick server that is asked again and again: each rejection costs a caller a retry.
TEST_CASE("a server that rejects half of its requests gets few of them") {
    backoff server;
    base::boot_time now(100s);
    int sent = 0;
    int rejected = 0;
    for (int tick = 0; tick < 3000; ++tick) {
        now += 10ms;
        if (server.limit(now) < 1) {
            continue;
        }
        ++sent;
        if (sent % 2 == 0) {
            server.note_answer(now);
        } else {
            ++rejected;
            server.note_rejection(now, now);
        }
    }
    INFO("sent " << sent << ", rejected " << rejected << " in 30 s");
    CHECK(rejected < 60);
    CHECK(rejected >= 10);
}

TEST_CASE("a server that has recovered is found by single requests within three seconds") {
    backoff server;
    base::boot_time now(100s);
    // The pauses grow to the longest.
    for (int round = 0; round < 10; ++round) {
        now = reject_until_paused(server, now) + longest_backoff;
        CHECK(server.limit(now) == 1);
    }
    const auto recovered = reject_until_paused(server, now);
    now = recovered;
    while (server.active() && now - recovered < 10s) {
        now += 20ms;
        if (server.limit(now) > 0) {
            server.note_answer(now);
        }
    }
    CHECK(now - recovered <= 3s);
    CHECK(server.limit(now) > 1000);
}

// Guards against a long pause because many requests were under way when the server began to reject.
TEST_CASE("rejections of requests from before a pause do not lengthen it") {
    backoff server;
    auto now = reject_until_paused(server, base::boot_time(100s));
    const auto sent = now - 50ms;
    for (int count = 0; count < 50; ++count) {
        server.note_rejection(now + 1ms, sent);
    }
    CHECK_FALSE(server.pausing(now + first_backoff));
}

} // namespace
} // namespace lovagetack::capacity
