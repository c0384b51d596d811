#include <catch2/catch.hpp>

#include "fixture.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;
using model::store_status;

caller_request with_idempotency_key(const std::string& key) {
    caller_request made;
    made.service = store;
    made.idempotency_key = key;
    made.deadline = 2s;
    return made;
}

model::store_transaction last_transaction(const fixture& world) {
    const auto all = world.all<model::store_transaction>();
    REQUIRE_FALSE(all.empty());
    return all.back();
}

model::store_reply reply_to(model::operation_id operation, store_status status) {
    model::store_reply made;
    made.operation = operation;
    made.status = status;
    return made;
}

void reply_done(fixture& world, const model::store_transaction& transaction, std::uint64_t version) {
    auto reply = reply_to(transaction.operation, store_status::done);
    reply.versions.assign(transaction.writes.size(), version);
    world.apply(reply);
}

/// Answers all reads: rows that the transaction wrote hold its values, others are absent.
void reply_to_reads(fixture& world, const model::store_transaction& transaction, const std::string& other_value) {
    for (const auto& read : world.all<model::store_read>()) {
        auto reply = reply_to(read.operation, store_status::done);
        for (const auto& write : transaction.writes) {
            if (write.key == read.key) {
                reply.rows = {{read.table, read.key, 5, other_value.empty() ? write.value.value() : other_value}};
            }
        }
        world.apply(reply);
    }
}

// Guards against a request that runs before its claim is in the store.
TEST_CASE("a request with an idempotency key is sent after its claim only") {
    auto world = fixture::ready();
    const auto exchange = world.request(with_idempotency_key("pay-1"));
    CHECK(world.attempts_of(exchange) == 0);
    const auto claim = last_transaction(world);
    REQUIRE(claim.conditions.size() == 1);
    CHECK(claim.conditions.front().version == 0);
    reply_done(world, claim, 3);
    REQUIRE(world.attempts_of(exchange) == 1);
    auto done = world.ended(world.attempt_of(exchange).value(), attempt_outcome::completed);
    done.answer_body = "paid";
    world.pass(20ms);
    world.apply(done);
    const auto stored = last_transaction(world);
    CHECK(stored.conditions.front().version == 3);
    CHECK(stored.writes.front().value.value().find("paid") != std::string::npos);

    const auto repeat = world.request(with_idempotency_key("pay-1"));
    world.pass(20ms);
    world.apply(reply_to(last_transaction(world).operation, store_status::conflict));
    reply_to_reads(world, claim, stored.writes.front().value.value());
    REQUIRE(world.answer_of(repeat));
    CHECK(world.answer_of(repeat)->outcome == outcome::repeated);
    CHECK(world.answer_of(repeat)->status == 200);
    CHECK(world.answer_of(repeat)->stored_body == "paid");
    CHECK(world.attempts_of(repeat) == 0);
}

// Guards against a claim that is guessed to be lost, which would refuse or repeat a request that is claimed.
TEST_CASE("a lost answer to a claim is read back") {
    auto world = fixture::ready();
    const bool took_effect = GENERATE(true, false);
    const auto exchange = world.request(with_idempotency_key("pay-1"));
    const auto claim = last_transaction(world);
    world.apply(reply_to(claim.operation, store_status::unknown));
    CHECK(world.attempts_of(exchange) == 0);
    reply_to_reads(world, took_effect ? claim : model::store_transaction(), "");
    if (!took_effect) {
        world.pass(20ms);
        REQUIRE(last_transaction(world).operation != claim.operation);
        reply_done(world, last_transaction(world), 5);
    }
    CHECK(world.attempts_of(exchange) == 1);
}

// Guards against requests that are refused because another one in their batch is a repeat.
TEST_CASE("a conflict in a batch only concerns the row that exists") {
    auto world = fixture::ready();
    world.request(with_idempotency_key("first"));
    const auto repeated = world.request(with_idempotency_key("second"));
    const auto fresh = world.request(with_idempotency_key("third"));
    world.pass(20ms);
    const auto batch = last_transaction(world);
    REQUIRE(batch.writes.size() == 2);
    world.apply(reply_to(batch.operation, store_status::conflict));
    auto existing = batch;
    existing.writes.resize(1);
    reply_to_reads(world, existing, R"({"claim":"another","done":false})");
    REQUIRE(world.answer_of(repeated));
    CHECK(world.answer_of(repeated)->status == 409);
    CHECK(world.answer_of(repeated)->outcome == outcome::unknown);
    world.pass(20ms);
    reply_done(world, last_transaction(world), 1);
    CHECK(world.attempts_of(fresh) == 1);
}

// Guards against running without a claim while the store is down.
TEST_CASE("without the store a request with an idempotency key is refused") {
    auto world = fixture::ready();
    const auto exchange = world.request(with_idempotency_key("pay-1"));
    world.apply(reply_to(last_transaction(world).operation, store_status::unknown));
    const auto reads = world.all<model::store_read>();
    REQUIRE(reads.size() == 1);
    world.apply(reply_to(reads.front().operation, store_status::unknown));
    REQUIRE(world.answer_of(exchange));
    CHECK(world.answer_of(exchange)->outcome == outcome::not_run);
    CHECK(world.answer_of(exchange)->status == 503);
    CHECK(world.answer_of(exchange)->retry_after > 0us);
    CHECK(world.attempts_of(exchange) == 0);
}

// Guards against two requests with one idempotency key that run at the same time.
TEST_CASE("a repeat while the first one runs is answered 409 unknown") {
    auto world = fixture::ready();
    const auto first = world.request(with_idempotency_key("pay-1"));
    const auto repeat = world.request(with_idempotency_key("pay-1"));
    REQUIRE(world.answer_of(repeat));
    CHECK(world.answer_of(repeat)->status == 409);
    CHECK(world.answer_of(repeat)->outcome == outcome::unknown);
    CHECK_FALSE(world.answer_of(first));
}

// Guards against a second run of a payment whose caller left while it was being executed.
TEST_CASE("a claim is kept when the caller leaves after bytes were sent") {
    auto world = fixture::ready();
    const auto first = world.request(with_idempotency_key("pay-1"));
    reply_done(world, last_transaction(world), 3);
    world.sending(world.attempt_of(first).value());
    const auto before = world.all<model::store_transaction>().size();
    world.apply(caller_left{first});
    world.pass(100ms);
    CHECK(world.all<model::store_transaction>().size() == before);
    const auto repeat = world.request(with_idempotency_key("pay-1"));
    CHECK(last_transaction(world).conditions.front().version == 0);
    CHECK(world.attempts_of(repeat) == 0);
}

// Guards against a caller that is told "not run" and then can never run its request with the same key.
TEST_CASE("a claim whose request did not run is free again") {
    auto world = fixture::ready();
    const auto first = world.request(with_idempotency_key("pay-1"));
    reply_done(world, last_transaction(world), 3);
    auto failed = world.ended(world.attempt_of(first).value(), attempt_outcome::connect_failed);
    failed.can_resend = false;
    world.apply(failed);
    CHECK(world.answer_of(first)->outcome == outcome::not_run);
    const auto second = world.request(with_idempotency_key("pay-1"));
    world.pass(20ms);
    const auto claim = last_transaction(world);
    REQUIRE(claim.writes.front().value);
    CHECK(claim.conditions.front().version == 3);
    reply_done(world, claim, 4);
    CHECK(world.attempts_of(second) == 1);
}

} // namespace
} // namespace lovagetack::requests::testing
