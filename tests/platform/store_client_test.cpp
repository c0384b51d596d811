#include <catch2/catch.hpp>

#include "platform/fake_table_service.hpp"
#include "platform/store_client.hpp"

namespace lovagetack::platform {
namespace {

using std::chrono::milliseconds;

struct fixture {
    explicit fixture(milliseconds timeout = milliseconds(15000))
        : client(
              service.http.address(), timeout, [this](const auto& reply) { replies.push_back(reply); },
              [this](const auto& list) { lists.push_back(list); }) {}

    model::store_reply next_reply() {
        REQUIRE(wait_until([&] { return replies.size() > taken; }));
        return replies[taken++];
    }

    application qt;
    fake_table_service service;
    std::vector<model::store_reply> replies;
    std::vector<membership::instances_listed> lists;
    std::size_t taken = 0;
    store_client client;
};

const std::string table = "service_states";
const std::string key = "data-centre.a/b c%";

// Guards against rows that are written and read under different names, and absent rows reported as a failed read.
TEST_CASE("rows are written, read back and listed") {
    fixture f;
    f.client.execute(model::store_read{model::operation_id(1), table, key});
    CHECK(f.next_reply() ==
          model::store_reply{model::operation_id(1), model::store_status::done, {{table, key, 0, ""}}, {}});

    f.client.execute(model::store_transaction{model::operation_id(2), {{table, key, 0}}, {{table, key, "\"v\"\n"}}});
    CHECK(f.next_reply() == model::store_reply{model::operation_id(2), model::store_status::done, {}, {1}});

    f.client.execute(model::store_read{model::operation_id(3), table, key});
    CHECK(f.next_reply().rows == std::vector<model::row>{{table, key, 1, "\"v\"\n"}});
    f.client.execute(model::store_read{model::operation_id(4), table, ""});
    CHECK(f.next_reply().rows == std::vector<model::row>{{table, key, 1, "\"v\"\n"}});
}

// Guards against a refused write being reported as done or as unknown.
TEST_CASE("a failed condition is a conflict with the version found") {
    fixture f;
    f.service.rows[{QString::fromStdString(table), QString::fromStdString(key)}] = {5, QStringLiteral("x")};
    f.client.execute(model::store_transaction{model::operation_id(1), {{table, key, 4}}, {{table, key, "y"}}});
    const auto reply = f.next_reply();
    CHECK(reply.status == model::store_status::conflict);
    CHECK(reply.rows == std::vector<model::row>{{table, key, 5, ""}});
    CHECK(f.client.counters().conflicts == 1);
}

// Guards against a write that took effect being reported as refused when only its answer was lost.
TEST_CASE("a lost answer is unknown") {
    fixture f(milliseconds(100));
    f.service.lose_answers = true;
    f.client.execute(model::store_transaction{model::operation_id(1), {{table, key, 0}}, {{table, key, "y"}}});
    CHECK(f.next_reply() == model::store_reply{model::operation_id(1), model::store_status::unknown, {}, {}});
}

// Guards against an error page being read as an empty table, and against an unreachable platform that is not reported.
TEST_CASE("errors of the platform are unknown") {
    fixture f;
    const int status = GENERATE(500, 503, 400, 302);
    f.service.forced_status = status;
    f.client.execute(model::store_read{model::operation_id(1), table, ""});
    CHECK(f.next_reply().status == model::store_status::unknown);
    f.client.execute(model::store_transaction{model::operation_id(2), {}, {{table, key, "y"}}});
    CHECK(f.next_reply().status == model::store_status::unknown);

    store_client unreachable(
        {"127.0.0.1", 9}, milliseconds(15000), [&](const auto& reply) { f.replies.push_back(reply); },
        [](const auto&) {});
    unreachable.execute(model::store_read{model::operation_id(3), table, key});
    CHECK(f.next_reply().status == model::store_status::unknown);
    CHECK(unreachable.counters().unknown == 1);
}

// Guards against seeds with invalid addresses and against a list that is not delivered.
TEST_CASE("the list of instances is read") {
    fixture f;
    f.client.list_instances();
    REQUIRE(wait_until([&] { return !f.lists.empty(); }));
    const auto& instances = f.lists[0].instances;
    REQUIRE(instances.size() == 2);
    CHECK(instances[0].id == model::instance_id("i1"));
    CHECK_FALSE(instances[0].leaving);
    CHECK(instances[0].peer_address == model::address{"127.0.0.1", 7000});
    CHECK(instances[1].leaving);
    CHECK(instances[1].data_centre == model::data_centre_id("d2"));
}

} // namespace
} // namespace lovagetack::platform
