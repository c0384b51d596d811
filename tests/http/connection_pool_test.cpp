#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>

#include "http/connection_pool.hpp"
#include "http/sockets.hpp"

using namespace lovagetack;

namespace {

struct counting_waiter final : http::connection_pool::waiter {
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override {
        ++ready;
        held = connection;
    }

    void connection_failed() override {
        ++failed;
        if (on_failed) {
            on_failed();
        }
    }

    int ready = 0;
    int failed = 0;
    std::function<void()> on_failed;
    std::shared_ptr<http::client_connection> held;
};

} // namespace

// Guards against a pool that opens no more connections because it has counted the end of one twice.
TEST_CASE("a pool whose time check is repeated by a waiter that failed still opens connections") {
    test::ensure_application();
    test::raw_listener server;
    http::connection_pool pool({"127.0.0.1", server.port()}, 4, std::chrono::milliseconds(1000));
    counting_waiter first;
    counting_waiter second;
    counting_waiter third;
    pool.acquire(first, false);
    pool.acquire(second, false);
    const auto later = http::client_connection::clock::now() + std::chrono::seconds(2);
    first.on_failed = [&pool, later] { pool.check_times(later); };
    pool.check_times(later);
    CHECK(first.failed == 1);
    CHECK(second.failed == 1);

    pool.acquire(third, false);
    test::settle();
    CHECK(third.ready == 1);
    pool.forget(third);
}
