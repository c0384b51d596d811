#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>

#include "peers/peer_transport.hpp"

namespace lovagetack::peers {
namespace {

/// Runs the event loop until the condition holds; gives up after 20 s so that a fault ends the test.
bool wait_until(const std::function<bool()>& condition) {
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < 20000) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 20);
    }
    return condition();
}

struct application {
    int count = 1;
    char name[5] = "test";
    char* arguments[2] = {name, nullptr};
    QCoreApplication instance{count, arguments};
};

struct node {
    explicit node(const std::string& name, std::uint16_t port = 0, const peer_limits& limits = {}) {
        auto created = peer_transport::create({model::instance_id(name), model::incarnation(1), {"127.0.0.1", port}},
                                              limits, [this](const auto& message) { received.push_back(message); });
        transport = std::move(created).value();
    }

    void send(const node& to, std::uint64_t sequence) {
        transport->send({to.transport->identity().id, to.transport->identity().address, model::heartbeat{sequence, 0}});
    }

    std::vector<model::peer_message> received;
    std::unique_ptr<peer_transport> transport;
};

// Guards against lost wake-ups of the edge-triggered descriptor: all messages of a burst longer than
// messages_per_wakeup must arrive.
TEST_CASE("a burst arrives completely and in order") {
    application qt;
    peer_limits limits;
    limits.send_queue_messages = 2000;
    limits.receive_queue_messages = 2000;
    limits.messages_per_wakeup = 16;
    node a("a", 0, limits);
    node b("b", 0, limits);
    for (std::uint64_t round = 0; round < 3; ++round) {
        for (std::uint64_t number = 0; number < 300; ++number) {
            a.send(b, round * 300 + number);
            b.send(a, number);
        }
        REQUIRE(wait_until([&] { return b.received.size() == (round + 1) * 300; }));
    }
    CHECK(b.received.front().from == model::instance_id("a"));
    CHECK(b.received.front().from_address == a.transport->identity().address);
    CHECK(std::get<model::heartbeat>(b.received.back().body).sequence == 899);
    CHECK(a.transport->counters().messages_sent == 900);
    CHECK(a.transport->counters().bytes_sent == b.transport->counters().bytes_received);
}

// Guards against a restarted peer to which no messages are delivered any more.
TEST_CASE("a peer that restarts at its address is reached again") {
    application qt;
    node a("a");
    auto b = std::make_unique<node>("b");
    const auto port = b->transport->identity().address.port;
    a.send(*b, 1);
    REQUIRE(wait_until([&] { return !b->received.empty(); }));
    b.reset();
    b = std::make_unique<node>("b", port);
    CHECK(wait_until([&] {
        a.send(*b, 2);
        return !b->received.empty();
    }));
}

// Guards against a connection that no longer delivers being used for ever, and against losing the messages queued on
// it.
TEST_CASE("old connections are replaced without loss") {
    application qt;
    peer_limits limits;
    limits.connection_age = std::chrono::milliseconds(0);
    limits.send_queue_messages = 2000;
    node a("a", 0, limits);
    node b("b");
    for (std::uint64_t number = 0; number < 20; ++number) {
        a.send(b, number);
        REQUIRE(wait_until([&] { return b.received.size() == number + 1; }));
    }
    CHECK(a.transport->counters().connections_opened >= 20);
}

// Guards against unbounded memory for unreachable peers, and against invalid addresses ending the process.
TEST_CASE("messages to peers that cannot be reached are dropped and counted") {
    application qt;
    peer_limits limits;
    limits.send_queue_messages = 10;
    limits.connections = 2;
    node a("a", 0, limits);
    // Port 9 of loopback has no listener.
    for (int count = 0; count < 50; ++count) {
        a.transport->send({model::instance_id("x"), {"127.0.0.1", 9}, model::heartbeat{}});
    }
    CHECK(a.transport->counters().dropped >= 30);
    CHECK(a.transport->counters().messages_sent <= 20);
    const auto dropped = a.transport->counters().dropped;
    a.transport->send({model::instance_id("y"), {"", 0}, model::heartbeat{}});
    a.transport->send({model::instance_id("z"), {"no address", 1}, model::heartbeat{}});
    CHECK(a.transport->counters().dropped == dropped + 2);
}

// Guards against malformed input reaching the reducer.
TEST_CASE("bytes that are not a message are counted and dropped") {
    application qt;
    node a("a");
    zmq::context_t context;
    zmq::socket_t raw_socket(context, zmq::socket_type::dealer);
    raw_socket.connect("tcp://127.0.0.1:" + std::to_string(a.transport->identity().address.port));
    raw_socket.send(zmq::buffer(std::string_view("\xff\xff\xff")), zmq::send_flags::none);
    raw_socket.send(zmq::buffer(std::string_view("x")), zmq::send_flags::sndmore);
    raw_socket.send(zmq::buffer(std::string_view("y")), zmq::send_flags::none);
    CHECK(wait_until([&] { return a.transport->counters().malformed == 2; }));
    CHECK(a.received.empty());
}

// Guards against two instances that both assume that they listen on one address.
TEST_CASE("an address in use is an error") {
    application qt;
    node a("a");
    const auto taken = a.transport->identity();
    const auto second = peer_transport::create(taken, {}, [](const auto&) {});
    REQUIRE(second.has_error());
    CHECK(second.error().code == base::result_code::address_in_use);
}

} // namespace
} // namespace lovagetack::peers
