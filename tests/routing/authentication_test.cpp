#include <catch2/catch.hpp>

#include "routing/limits.hpp"
#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {
namespace {

/// One instance with the client accounts "north", of priority 0, and "south", of none.
class instance_with_accounts : public instance {
public:
    instance_with_accounts() { configure(4, {{"north", 0, "first"}, {"south", std::nullopt, "second"}}); }

    struct account_key {
        std::string account;
        std::optional<std::int32_t> priority;
        std::string key;
    };

    void configure(std::uint64_t version, const std::vector<account_key>& keys) {
        auto configuration = state().configuration;
        configuration.version = version;
        configuration.routes.back().anonymous = true;
        configuration.routes.front().priority = 2;
        accounts::directory::builder builder;
        for (const auto& item : keys) {
            builder.add({model::client_account_id(item.account), item.priority, {}},
                        {accounts::credential_of(item.key)});
        }
        configuration.accounts = builder.build().value();
        process_event(configuration_updated{configuration});
    }

    exchange_id request_with_key(const std::string& path, const std::optional<std::string>& key) {
        request_arrived event;
        event.exchange = ++last_keyed_;
        event.request = "id-" + std::to_string(last_keyed_);
        event.host = "host";
        event.path = path;
        event.key = 77;
        event.deadline = 2000ms;
        event.arrived = now();
        if (key) {
            event.credential = accounts::credential_of(*key);
        }
        process_event(event);
        return last_keyed_;
    }

private:
    exchange_id last_keyed_ = 1000;
};

} // namespace

TEST_CASE("a server is told the client account of a request") {
    instance_with_accounts instance;
    const auto id = instance.request_with_key("/pay/1", "second");
    REQUIRE(instance.sent(id).size() == 1);
    CHECK(instance.sent(id).front().account == model::client_account_id("south"));
    const auto anonymous = instance.request_with_key("/get/1", std::nullopt);
    REQUIRE(instance.sent(anonymous).size() == 1);
    CHECK(instance.sent(anonymous).front().account == model::client_account_id());
}

TEST_CASE("requests without a valid key are refused at once, also while nothing can be served") {
    instance_with_accounts instance;
    instance.process_event(shutdown_begun{10s});
    instance.advance_time(std::chrono::duration_cast<std::chrono::milliseconds>(admission_after_stop) + 100ms);
    for (const auto& key : {std::optional<std::string>(), std::optional<std::string>("third")}) {
        const auto id = instance.request_with_key("/pay/1", key);
        REQUIRE(instance.answers(id).size() == 1);
        CHECK(instance.answers(id).front().status == 401);
        CHECK(instance.sent(id).empty());
    }
    CHECK(instance.state().exchanges.empty());
    CHECK(instance.state().unauthenticated == 2);
    CHECK(instance.logged("requests_unauthenticated") == 1);
}

TEST_CASE("an unknown key is refused before the body of its request is received") {
    instance_with_accounts instance;
    instance.process_event(request_announced{7, "host", "/pay/1", accounts::credential_of("third")});
    REQUIRE(instance.answers(7).size() == 1);
    CHECK(instance.answers(7).front().status == 401);
    instance.process_event(request_announced{8, "host", "/pay/1", accounts::credential_of("first")});
    CHECK(instance.answers(8).empty());
}

TEST_CASE("a key that a version has removed is refused, and one that it has added is accepted") {
    instance_with_accounts instance;
    instance.configure(5, {{"north", 0, "first"}, {"south", std::nullopt, "third"}});
    const auto removed = instance.request_with_key("/pay/1", "second");
    REQUIRE(instance.answers(removed).size() == 1);
    CHECK(instance.answers(removed).front().status == 401);
    CHECK(instance.sent(instance.request_with_key("/pay/1", "third")).size() == 1);
    // An older version that arrives late does not bring the key back.
    instance.configure(4, {{"south", std::nullopt, "second"}});
    CHECK(instance.sent(instance.request_with_key("/pay/1", "second")).empty());
}

TEST_CASE("the priority of a client account goes before that of the route") {
    instance_with_accounts instance;
    instance.let_keys_move();
    const auto north = instance.request_with_key("/look/1", "first");
    const auto south = instance.request_with_key("/look/1", "second");
    CHECK(instance.state().exchanges.at(north).priority == 0);
    CHECK(instance.state().exchanges.at(south).priority == 2);
}

} // namespace lovagetack::routing::testing
