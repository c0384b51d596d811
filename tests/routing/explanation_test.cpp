#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "routing/explanation/explanation.hpp"
#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {
namespace {

request_arrived arrival(const std::string& path) {
    request_arrived event;
    event.host = "host";
    event.path = path;
    event.key = 77;
    event.deadline = 2000ms;
    return event;
}

request_explanation explain(instance& instance, const std::string& path) {
    return explain_request(instance.state(), instance.now(), arrival(path));
}

bool is_hindered(const std::vector<server_outlook>& servers, std::string_view obstacle) {
    return std::any_of(servers.begin(), servers.end(), [obstacle](const auto& server) {
        return std::find(server.obstacles.begin(), server.obstacles.end(), obstacle) != server.obstacles.end();
    });
}

/// Makes the deployment a large one. The other instances are in another data centre, so the instance is the dispatcher
/// of all its own servers.
void add_remote_instances(instance& instance) {
    instance.process_event(
        instance_updated{model::instance_id("one"), {model::data_centre_id("north"), 1, {}, 200, own_protocol}});
    for (std::size_t number = 0; number < small_deployment; ++number) {
        instance.process_event(instance_updated{model::instance_id("south-" + std::to_string(number)),
                                                {model::data_centre_id("south"), 1, {}, 200, own_protocol}});
    }
}

template <class Effect>
std::optional<Effect> last_of(const effects& effects) {
    for (auto at = effects.rbegin(); at != effects.rend(); ++at) {
        if (const auto* const body = std::get_if<Effect>(&*at)) {
            return *body;
        }
    }
    return std::nullopt;
}

} // namespace

// Load: more requests than the servers take, so that the last ones wait and are refused.
TEST_CASE("an explained request meets what the next one then meets") {
    instance instance;
    std::set<placement> seen;
    for (int number = 0; number < 60; ++number) {
        const auto found = explain(instance, "/pay/1");
        const auto again = explain(instance, "/pay/1");
        CHECK(again.placement == found.placement);
        CHECK(again.server == found.server);
        const auto id = instance.request("/pay/1");
        seen.insert(found.placement);
        INFO(number << ": " << name_of(found.placement));
        CHECK(found.service == unkeyed_service);
        REQUIRE(instance.sent(id).size() == (found.placement == placement::sent ? 1 : 0));
        REQUIRE(instance.answers(id).size() == (found.placement == placement::refused ? 1 : 0));
        if (found.placement == placement::sent) {
            CHECK(instance.sent(id).front().server == found.server);
        }
        if (found.placement == placement::refused) {
            const auto answer = instance.answers(id).front();
            CHECK(answer.status == found.status);
            CHECK(answer.code == found.code);
            CHECK(answer.retry_after == found.retry_after);
        }
    }
    CHECK(seen == std::set{placement::sent, placement::queued, placement::refused});
    CHECK(explain(instance, "/pay/1").queued > 0);
}

TEST_CASE("the explanation of a request for a key names the owner, its range and what hinders it") {
    instance instance;
    const auto found = explain(instance, "/look/1");
    CHECK(found.placement == placement::sent);
    CHECK(found.server == model::backend_server_id("board-0"));
    REQUIRE(found.range);
    CHECK(found.range->fence == 1);
    REQUIRE(found.servers.size() == 1);
    CHECK(found.servers.front().obstacles.empty());
    CHECK(found.servers.front().slots == 2);

    auto leaving = server_of("board-0", keyed_service);
    leaving.draining = true;
    instance.process_event(backend_server_updated{leaving});
    CHECK(is_hindered(explain(instance, "/look/1").servers, "leaving"));

    instance.let_keys_move();
    const auto moving = explain(instance, "/look/1");
    CHECK(moving.placement == placement::waits_for_owner);
    REQUIRE(moving.range);
    CHECK(moving.range->leaving == model::backend_server_id("board-1"));
}

TEST_CASE("the explanation of a request without a route, a key or a usable server says why it is refused") {
    instance instance;
    const auto unknown = explain(instance, "/none/1");
    CHECK(unknown.status == 404);
    CHECK(!unknown.route);
    CHECK(unknown.servers.empty());

    auto keyless = arrival("/look/1");
    keyless.key.reset();
    CHECK(explain_request(instance.state(), instance.now(), keyless).code == base::result_code::request_key_missing);

    for (int number = 0; number < 3; ++number) {
        const auto id = instance.request("/pay/1");
        instance.end(id, attempt_outcome::not_connected);
    }
    CHECK(is_hindered(explain(instance, "/pay/1").servers, "paused_after_failures"));
}

TEST_CASE("the explanation names the client account, its priority, and a wait for its allowance") {
    instance instance;
    auto configuration = instance.state().configuration;
    configuration.version = 4;
    configuration.routes.back().anonymous = true;
    accounts::directory::builder builder;
    builder.add({model::client_account_id("north"), 2, {}}, {accounts::credential_of("first")});
    builder.add({model::client_account_id("south"), std::nullopt, {1.0, 1.0}}, {accounts::credential_of("second")});
    configuration.accounts = builder.build().value();
    instance.process_event(configuration_updated{configuration});

    const auto explain_with = [&](const std::string& path, const std::string& key) {
        auto event = arrival(path);
        if (!key.empty()) {
            event.credential = accounts::credential_of(key);
        }
        return explain_request(instance.state(), instance.now(), event);
    };
    const auto north = explain_with("/pay/1", "first");
    CHECK(north.account == model::client_account_id("north"));
    CHECK(north.priority == 2);
    CHECK(north.placement == placement::sent);
    CHECK(!north.waits_for_token);
    CHECK(explain_with("/get/1", "").account == model::client_account_id());
    CHECK(explain_with("/pay/1", "").status == 401);
    CHECK(explain_with("/pay/1", "third").status == 401);
    // No keeper has named counters, so no token is there yet.
    const auto south = explain_with("/pay/1", "second");
    CHECK(south.account == model::client_account_id("south"));
    CHECK(south.waits_for_token);
    CHECK(south.placement == placement::sent);
}

// Load: the slots of a dispatcher fill up, then its queue.
TEST_CASE("a dispatcher explains what it then answers to a request for a slot") {
    instance instance;
    add_remote_instances(instance);
    std::set<slot_outcome> seen;
    for (int number = 0; number < 40; ++number) {
        const auto found = explain(instance, "/pay/1");
        INFO(number);
        REQUIRE(found.placement == placement::asks_for_slot);
        REQUIRE(found.slot);
        CHECK(found.dispatcher == model::instance_id("one"));
        CHECK(found.servers.size() == 3);
        instance.request("/pay/1");
        const auto asked = last_of<send_slot_request>(instance.all_effects());
        REQUIRE(asked);
        CHECK(asked->receiver == found.dispatcher);
        CHECK(asked->request.group == found.slot->group);
        CHECK(asked->request.patience == found.slot->patience);
        const auto explained = explain_slot(instance.state(), instance.now(), *found.slot);
        CHECK(explained.dispatcher == model::instance_id("one"));
        CHECK(explained.ahead == explained.queued);
        const auto answered = last_of<send_slot_answer>(instance.process_event(asked->request));
        REQUIRE(answered);
        REQUIRE(explained.answer);
        CHECK(explained.answer->outcome == answered->answer.outcome);
        CHECK(explained.answer->server == answered->answer.server);
        CHECK(explained.answer->wait == answered->answer.wait);
        seen.insert(explained.answer->outcome);
    }
    CHECK(seen == std::set{slot_outcome::granted, slot_outcome::queued, slot_outcome::refused});
    const auto full = explain_slot(instance.state(), instance.now(), *explain(instance, "/pay/1").slot);
    REQUIRE(full.servers.size() == 3);
    for (const auto& server : full.servers) {
        CHECK(server.in_progress == server.slots);
    }
}

TEST_CASE("an instance that is not the dispatcher of a group names the one that is") {
    instance instance;
    add_remote_instances(instance);
    const auto slot = explain(instance, "/pay/1").slot;
    REQUIRE(slot);
    auto elsewhere = *slot;
    elsewhere.data_centre = model::data_centre_id("south");
    const auto found = explain_slot(instance.state(), instance.now(), elsewhere);
    CHECK(found.dispatcher.value().starts_with("south-"));
    CHECK(found.servers.empty());
}

} // namespace lovagetack::routing::testing
