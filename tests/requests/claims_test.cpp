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

model::store_transaction last_transaction(const fixture& tested) {
    const auto all = tested.all<model::store_transaction>();
    REQUIRE_FALSE(all.empty());
    return all.back();
}

model::store_reply reply_to(model::operation_id operation, store_status status) {
    model::store_reply made;
    made.operation = operation;
    made.status = status;
    return made;
}

void reply_done(fixture& tested, const model::store_transaction& transaction, std::uint64_t version) {
    auto reply = reply_to(transaction.operation, store_status::done);
    reply.versions.assign(transaction.writes.size(), version);
    tested.apply(reply);
}

/// Answers all reads with the values that the transaction wrote; all other rows are absent.
void reply_to_reads(fixture& tested, const model::store_transaction& transaction, const std::string& other_value) {
    for (const auto& read : tested.all<model::store_read>()) {
        auto reply = reply_to(read.operation, store_status::done);
        for (const auto& write : transaction.writes) {
            if (write.key == read.key) {
                reply.rows = {{read.table, read.key, 5, other_value.empty() ? write.value.value() : other_value}};
            }
        }
        tested.apply(reply);
    }
}

// Guards against sending a request before its claim is in the store.
TEST_CASE("a request with an idempotency key is sent only after its claim") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(with_idempotency_key("pay-1"));
    CHECK(tested.attempts_of(exchange) == 0);
    const auto claim = last_transaction(tested);
    REQUIRE(claim.conditions.size() == 1);
    CHECK(claim.conditions.front().version == 0);
    reply_done(tested, claim, 3);
    REQUIRE(tested.attempts_of(exchange) == 1);
    auto done = tested.ended(tested.attempt_of(exchange).value(), attempt_outcome::completed);
    done.answer_body = "paid";
    tested.advance(20ms);
    tested.apply(done);
    const auto stored = last_transaction(tested);
    CHECK(stored.conditions.front().version == 3);
    CHECK(stored.writes.front().value.value().find("paid") != std::string::npos);

    const auto repeat = tested.request(with_idempotency_key("pay-1"));
    tested.advance(20ms);
    tested.apply(reply_to(last_transaction(tested).operation, store_status::conflict));
    reply_to_reads(tested, claim, stored.writes.front().value.value());
    REQUIRE(tested.answer_of(repeat));
    CHECK(tested.answer_of(repeat)->outcome == outcome::repeated);
    CHECK(tested.answer_of(repeat)->status == 200);
    CHECK(tested.answer_of(repeat)->stored_body == "paid");
    CHECK(tested.attempts_of(repeat) == 0);
}

// Guards against taking a claim for lost after a lost answer, which would refuse or repeat a claimed request.
TEST_CASE("a lost answer to a claim is read back") {
    auto tested = fixture::ready();
    const bool took_effect = GENERATE(true, false);
    const auto exchange = tested.request(with_idempotency_key("pay-1"));
    const auto claim = last_transaction(tested);
    tested.apply(reply_to(claim.operation, store_status::unknown));
    CHECK(tested.attempts_of(exchange) == 0);
    reply_to_reads(tested, took_effect ? claim : model::store_transaction(), "");
    if (!took_effect) {
        tested.advance(20ms);
        REQUIRE(last_transaction(tested).operation != claim.operation);
        reply_done(tested, last_transaction(tested), 5);
    }
    CHECK(tested.attempts_of(exchange) == 1);
}

// Guards against refusing requests because another request in their batch is a repeat.
TEST_CASE("a conflict in a batch affects only the row that exists") {
    auto tested = fixture::ready();
    tested.request(with_idempotency_key("first"));
    const auto repeated = tested.request(with_idempotency_key("second"));
    const auto fresh = tested.request(with_idempotency_key("third"));
    tested.advance(20ms);
    const auto batch = last_transaction(tested);
    REQUIRE(batch.writes.size() == 2);
    tested.apply(reply_to(batch.operation, store_status::conflict));
    auto existing = batch;
    existing.writes.resize(1);
    reply_to_reads(tested, existing, R"({"claim":"another","done":false})");
    REQUIRE(tested.answer_of(repeated));
    CHECK(tested.answer_of(repeated)->status == 409);
    CHECK(tested.answer_of(repeated)->outcome == outcome::unknown);
    tested.advance(20ms);
    reply_done(tested, last_transaction(tested), 1);
    CHECK(tested.attempts_of(fresh) == 1);
}

// Guards against sending a request without a claim while the store is unreachable.
TEST_CASE("a request with an idempotency key is refused while the store is unreachable") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(with_idempotency_key("pay-1"));
    tested.apply(reply_to(last_transaction(tested).operation, store_status::unknown));
    const auto reads = tested.all<model::store_read>();
    REQUIRE(reads.size() == 1);
    tested.apply(reply_to(reads.front().operation, store_status::unknown));
    REQUIRE(tested.answer_of(exchange));
    CHECK(tested.answer_of(exchange)->outcome == outcome::not_run);
    CHECK(tested.answer_of(exchange)->status == 503);
    CHECK(tested.answer_of(exchange)->retry_after > 0us);
    CHECK(tested.attempts_of(exchange) == 0);
}

// Guards against two concurrent requests with the same idempotency key.
TEST_CASE("a repeat while the first request runs is answered with 409 and the outcome unknown") {
    auto tested = fixture::ready();
    const auto first = tested.request(with_idempotency_key("pay-1"));
    const auto repeat = tested.request(with_idempotency_key("pay-1"));
    REQUIRE(tested.answer_of(repeat));
    CHECK(tested.answer_of(repeat)->status == 409);
    CHECK(tested.answer_of(repeat)->outcome == outcome::unknown);
    CHECK_FALSE(tested.answer_of(first));
}

// Guards against a second execution of a request whose caller left during the first.
TEST_CASE("a claim is kept when the caller leaves after bytes were sent") {
    auto tested = fixture::ready();
    const auto first = tested.request(with_idempotency_key("pay-1"));
    reply_done(tested, last_transaction(tested), 3);
    tested.sending(tested.attempt_of(first).value());
    const auto before = tested.all<model::store_transaction>().size();
    tested.apply(caller_left{first});
    tested.advance(100ms);
    CHECK(tested.all<model::store_transaction>().size() == before);
    const auto repeat = tested.request(with_idempotency_key("pay-1"));
    CHECK(last_transaction(tested).conditions.front().version == 0);
    CHECK(tested.attempts_of(repeat) == 0);
}

// Guards against a claim that outlives the outcome "not run", which would block the idempotency key for repeats.
TEST_CASE("a claim whose request did not run is released") {
    auto tested = fixture::ready();
    const auto first = tested.request(with_idempotency_key("pay-1"));
    reply_done(tested, last_transaction(tested), 3);
    auto failed = tested.ended(tested.attempt_of(first).value(), attempt_outcome::connect_failed);
    failed.can_resend = false;
    tested.apply(failed);
    CHECK(tested.answer_of(first)->outcome == outcome::not_run);
    const auto second = tested.request(with_idempotency_key("pay-1"));
    tested.advance(20ms);
    const auto claim = last_transaction(tested);
    REQUIRE(claim.writes.front().value);
    CHECK(claim.conditions.front().version == 3);
    reply_done(tested, claim, 4);
    CHECK(tested.attempts_of(second) == 1);
}

} // namespace
} // namespace lovagetack::requests::testing
