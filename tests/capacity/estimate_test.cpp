#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "capacity/estimate.hpp"

namespace lovagetack::capacity {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::microseconds usual = 200ms;

/// Answers of one server at simulated times, with work between half and one and a half of its mean.
class server_play {
public:
    explicit server_play(std::int32_t slots) : slots_(slots) {}

    /// `rate` answers a second with 1 to `most` requests in progress. Above `most_at_once`, each request takes longer
    /// by the square of the requests in progress.
    void run(std::chrono::milliseconds time, int rate, std::int32_t most, std::chrono::microseconds work,
             std::int32_t most_at_once = 1000) {
        const std::chrono::microseconds gap(1000000 / rate);
        for (const auto end = now + time; now < end;) {
            now += gap;
            const auto highest = std::min(most, learned.limit(now, slots_));
            const auto in_progress = 1 + static_cast<std::int32_t>(random_() % static_cast<unsigned>(highest));
            auto duration = work / 2 + work * static_cast<std::int64_t>(random_() % 1000) / 1000;
            if (in_progress > most_at_once) {
                duration = duration * in_progress * in_progress / (most_at_once * most_at_once);
            }
            learn(duration, in_progress);
        }
    }
    void learn(std::chrono::microseconds work, std::int32_t in_progress, bool warm = true) {
        learned.learn(now, {work, now - work, in_progress, slots_, warm}, usual);
    }
    [[nodiscard]] std::chrono::microseconds time() const { return learned.time(now, usual); }
    [[nodiscard]] std::int32_t limit() const { return learned.limit(now, slots_); }

    estimate learned;
    base::boot_time now{100s};

private:
    std::int32_t slots_;
    std::mt19937_64 random_{3};
};

} // namespace

TEST_CASE("the time of a server is followed within three seconds both ways") {
    server_play server(6);
    server.run(10s, 10, 3, usual);
    CHECK(server.time() > usual * 3 / 4);
    CHECK(server.time() < usual * 4 / 3);
    server.run(3s, 10, 3, usual * 5);
    CHECK(server.time() > usual * 3);
    server.run(3s, 10, 3, usual);
    CHECK(server.time() < usual * 3 / 2);
}

// Guards against a server that gets no work because it was slow, so that nothing shows that it has recovered.
TEST_CASE("a server that was slow for some seconds and gets no work is expected to be as before") {
    server_play server(6);
    server.run(10s, 10, 3, usual);
    server.run(3s, 10, 3, usual * 5);
    server.now += 3s;
    CHECK(server.time() < usual * 2);
    server.now += 30s;
    CHECK(server.time() == usual);
}

TEST_CASE("a lasting difference in speed is kept while a server has little work") {
    server_play server(6);
    server.run(10s, 10, 3, usual * 2);
    server.now += 5s;
    CHECK(server.time() > usual * 3 / 2);
}

TEST_CASE("the requests that a server takes well are found within three seconds both ways") {
    server_play server(16);
    server.run(5s, 80, 16, usual);
    CHECK(server.limit() == 16);
    server.run(3s, 80, 16, usual, 6);
    // The limit rises again and again to see whether more is taken well by now.
    int sum = 0;
    for (int count = 0; count < 60; ++count) {
        server.run(100ms, 80, 16, usual, 6);
        sum += server.limit();
    }
    CHECK(sum <= 60 * 10);
    CHECK(sum >= 60 * 4);
    server.run(3s, 80, 16, usual);
    CHECK(server.limit() >= 12);
    server.run(3s, 80, 16, usual);
    CHECK(server.limit() == 16);
}

// Guards against lost room: a server that takes more in all with each further request has to keep its slots.
TEST_CASE("a server that only slows down a little keeps all its slots") {
    server_play server(8);
    for (int second = 0; second < 60; ++second) {
        server.run(1s, 40, 8, usual);
        REQUIRE(server.limit() == 8);
        // With 8 requests in progress each takes 30% longer than with 7.
        server.run(1s, 40, 8, usual, 7);
        REQUIRE(server.limit() >= 7);
    }
}

TEST_CASE("a slow request, or a caller that is answered slowly, does not change the estimate") {
    server_play server(8);
    server.run(10s, 40, 8, usual);
    const auto before = server.time();
    server.learn(usual * 50, 4);
    CHECK(server.time() < before * 4 / 3);
    CHECK(server.limit() == 8);
}

TEST_CASE("a burst does not change the estimate") {
    server_play server(8);
    server.run(10s, 20, 3, usual);
    const auto before = server.time();
    server.run(500ms, 40, 8, usual);
    CHECK(server.limit() == 8);
    CHECK(server.time() < before * 4 / 3);
    CHECK(server.time() > before * 3 / 4);
}

TEST_CASE("the slow answers of a server that has just started are no measure for later") {
    server_play server(8);
    for (int count = 0; count < 60; ++count) {
        server.now += 50ms;
        server.learn(usual * 4, 1 + count % 8, false);
    }
    CHECK(server.limit() == 8);
    server.now += 2s;
    CHECK(server.time() == usual);
}

TEST_CASE("times that other instances report count only without answers of one's own") {
    server_play server(6);
    server.run(5s, 10, 3, usual);
    const auto before = server.time();
    server.learned.learn_reported(server.now, usual * 3, 20, usual);
    CHECK(server.time() == before);
    server.now += 1s;
    server.learned.learn_reported(server.now, usual * 3, 20, usual);
    CHECK(server.time() > usual * 2);
}

} // namespace lovagetack::capacity
