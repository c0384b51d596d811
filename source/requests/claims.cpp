#include "requests/claims.hpp"

#include <array>
#include <cstdio>

#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "requests/claim_value.hpp"
#include "requests/finish.hpp"
#include "requests/placement.hpp"

namespace lovagetack::requests {

namespace {

using base::result_code;

constexpr const char* idempotency_table = "idempotency";

std::string hexadecimal(std::uint64_t number) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

/// Row key of a claim: the service and a 128-bit hash, so that two idempotency keys do not share a row. The hash
/// includes the key of the request, since requests for different keys can have different home instances.
std::string row_of(const caller_request& request) {
    const auto text = std::to_string(request.key.size()) + ":" + request.key + request.idempotency_key;
    return request.service.value() + "." + hexadecimal(base::key_hash(text)) +
           hexadecimal(base::key_hash("second:" + text));
}

std::string claim_id(const state& state, exchange_id id) {
    return state.self.instance.value() + "." + std::to_string(state.self.incarnation.value()) + "." +
           std::to_string(id.value());
}

/// Operation ids of this module have the bit first_operation set, so that they differ from those of other modules.
model::operation_id next_operation(context& ctx) {
    ctx.state.claims.last_operation += 1;
    return model::operation_id(first_operation | ctx.state.claims.last_operation);
}

exchange* claiming_exchange(context& ctx, const claim& claim) {
    auto* exchange = ctx.find_exchange(claim.exchange);
    return exchange != nullptr && exchange->phase == exchange_phase::claiming ? exchange : nullptr;
}

void refuse_claim(context& ctx, exchange& exchange) {
    refuse(ctx, exchange, result_code::request_claim_unavailable, "the idempotency key cannot be claimed at present",
           claim_retry_after);
}

void answer_running(context& ctx, exchange& exchange) {
    answer(ctx, exchange,
           {409, result_code::request_repeated, outcome::unknown, claim_retry_after,
            "a request with this idempotency key has begun before and its outcome is not known"});
}

void release_row(context& ctx, const std::string& row, std::uint64_t version) {
    auto& ledger = ctx.state.claims;
    if (ledger.released.size() >= maximum_released_rows) {
        ledger.released.erase(ledger.released.begin());
    }
    ledger.released[row] = version;
    ledger.changes.push_back({row, version, std::nullopt});
}

/// Version of the row that a new claim has to expect: that of a released claim, whose deletion is dropped, or 0.
std::uint64_t take_released_version(claim_ledger& ledger, const std::string& row) {
    const auto released = ledger.released.find(row);
    if (released == ledger.released.end()) {
        return 0;
    }
    std::erase_if(ledger.changes, [&](const claim_change& change) { return change.row == row && !change.value; });
    const auto version = released->second;
    ledger.released.erase(released);
    return version;
}

void confirm(context& ctx, const claim& claim, std::uint64_t version) {
    auto* exchange = claiming_exchange(ctx, claim);
    if (exchange == nullptr) {
        // The caller left or the deadline passed meanwhile, so the request never ran.
        release_row(ctx, claim.row, version);
        return;
    }
    exchange->claim = claim_state::claimed;
    exchange->claim_version = version;
    exchange->phase = exchange_phase::placing;
    place(ctx, *exchange);
}

void read_back(context& ctx, claim claim) {
    const auto operation = next_operation(ctx);
    ctx.emit(model::store_read{operation, idempotency_table, claim.row});
    ctx.state.claims.reads.emplace(operation, std::move(claim));
}

void retry_claim(context& ctx, claim claim, std::uint64_t version) {
    auto* exchange = claiming_exchange(ctx, claim);
    if (exchange == nullptr) {
        return;
    }
    claim.tries += 1;
    if (claim.tries >= maximum_claim_tries) {
        refuse_claim(ctx, *exchange);
        return;
    }
    claim.expected_version = version;
    ctx.state.claims.waiting.push_back(std::move(claim));
}

void on_row_read(context& ctx, const claim& claim, const model::row& row) {
    claim_value value;
    base::from_json_text(row.value, value);
    if (value.claim == claim.id) {
        confirm(ctx, claim, row.version);
        return;
    }
    auto& ledger = ctx.state.claims;
    const auto released = ledger.released.find(row.key);
    if (released != ledger.released.end() && released->second == row.version) {
        retry_claim(ctx, claim, take_released_version(ledger, row.key));
        return;
    }
    auto* exchange = claiming_exchange(ctx, claim);
    if (exchange == nullptr) {
        return;
    }
    if (value.done) {
        answer_repeated(ctx, *exchange, value.status, std::move(value.body));
        return;
    }
    answer_running(ctx, *exchange);
}

void on_read_reply(context& ctx, const claim& claim, const model::store_reply& reply) {
    if (reply.status != model::store_status::done) {
        if (auto* exchange = claiming_exchange(ctx, claim)) {
            refuse_claim(ctx, *exchange);
        }
        return;
    }
    if (reply.rows.empty() || reply.rows.front().version == 0) {
        retry_claim(ctx, claim, 0);
        return;
    }
    on_row_read(ctx, claim, reply.rows.front());
}

void on_transaction_reply(context& ctx, std::vector<claim>& claims, const model::store_reply& reply) {
    const bool done = reply.status == model::store_status::done && reply.versions.size() == claims.size();
    for (std::size_t index = 0; index < claims.size(); ++index) {
        if (done) {
            confirm(ctx, claims[index], reply.versions[index]);
        } else {
            // A single existing row makes the whole batch fail, and after a lost answer the result is unknown, so each
            // row is read.
            read_back(ctx, std::move(claims[index]));
        }
    }
}

void send_claims(context& ctx) {
    auto& ledger = ctx.state.claims;
    if (ledger.waiting.empty() || ledger.transactions.size() >= maximum_claim_transactions) {
        return;
    }
    model::store_transaction transaction;
    std::vector<claim> batch;
    while (!ledger.waiting.empty() && batch.size() < claim_batch_rows) {
        auto next = std::move(ledger.waiting.front());
        ledger.waiting.pop_front();
        if (claiming_exchange(ctx, next) == nullptr) {
            continue;
        }
        transaction.conditions.push_back({idempotency_table, next.row, next.expected_version});
        transaction.writes.push_back({idempotency_table, next.row, next.value});
        batch.push_back(std::move(next));
    }
    if (batch.empty()) {
        return;
    }
    transaction.operation = next_operation(ctx);
    ledger.transactions.emplace(transaction.operation, std::move(batch));
    ctx.emit(std::move(transaction));
}

/// At best effort: if the row still shows the request as running, repeats are answered with the outcome "unknown".
void send_changes(context& ctx) {
    auto& changes = ctx.state.claims.changes;
    if (changes.empty()) {
        return;
    }
    model::store_transaction transaction;
    transaction.operation = next_operation(ctx);
    while (!changes.empty() && transaction.writes.size() < claim_batch_rows) {
        auto& change = changes.front();
        if (!change.value) {
            ctx.state.claims.deletions[transaction.operation].push_back(change.row);
        }
        transaction.conditions.push_back({idempotency_table, change.row, change.version});
        transaction.writes.push_back({idempotency_table, change.row, std::move(change.value)});
        changes.pop_front();
    }
    ctx.emit(std::move(transaction));
}

void on_deletion_reply(context& ctx, const std::vector<std::string>& rows, const model::store_reply& reply) {
    // After a failure the row may still exist and stays released, so that a repeat of the request can claim it.
    if (reply.status != model::store_status::done) {
        return;
    }
    for (const auto& row : rows) {
        ctx.state.claims.released.erase(row);
    }
}

void untrack_row(context& ctx, const exchange& exchange) {
    if (exchange.claim != claim_state::none) {
        ctx.state.claims.rows.erase(exchange.claim_row);
    }
}

} // namespace

void start_claim(context& ctx, exchange& exchange) {
    auto& ledger = ctx.state.claims;
    auto row = row_of(exchange.request);
    if (ledger.rows.contains(row)) {
        answer_running(ctx, exchange);
        return;
    }
    if (ledger.waiting.size() >= maximum_waiting_claims) {
        refuse_claim(ctx, exchange);
        return;
    }
    exchange.phase = exchange_phase::claiming;
    exchange.claim = claim_state::pending;
    exchange.claim_row = row;
    ledger.rows.emplace(row, exchange.id);
    claim_value value;
    value.claim = claim_id(ctx.state, exchange.id);
    const auto expected_version = take_released_version(ledger, row);
    ledger.waiting.push_back(
        {exchange.id, std::move(row), base::to_json_text(value), value.claim, expected_version, 0});
}

void release_claim(context& ctx, const exchange& exchange, bool not_run) {
    untrack_row(ctx, exchange);
    if (not_run && exchange.claim == claim_state::claimed) {
        release_row(ctx, exchange.claim_row, exchange.claim_version);
    }
}

void store_outcome(context& ctx, const exchange& exchange, const attempt_ended& ended) {
    untrack_row(ctx, exchange);
    if (exchange.claim != claim_state::claimed) {
        return;
    }
    claim_value value;
    value.claim = claim_id(ctx.state, exchange.id);
    value.done = true;
    value.status = ended.status;
    value.body = ended.answer_body.size() <= maximum_stored_body_bytes ? ended.answer_body : std::string();
    ctx.state.claims.changes.push_back({exchange.claim_row, exchange.claim_version, base::to_json_text(value)});
}

void send_claim_batches(context& ctx) {
    auto& ledger = ctx.state.claims;
    const bool nothing_to_send = ledger.waiting.empty() && ledger.changes.empty();
    if (nothing_to_send || ctx.now - ledger.last_batch < claim_batch_time) {
        return;
    }
    ledger.last_batch = ctx.now;
    send_claims(ctx);
    send_changes(ctx);
}

void on_store_reply(context& ctx, const model::store_reply& reply) {
    auto& ledger = ctx.state.claims;
    if (auto found = ledger.transactions.extract(reply.operation)) {
        on_transaction_reply(ctx, found.mapped(), reply);
        return;
    }
    if (auto found = ledger.reads.extract(reply.operation)) {
        on_read_reply(ctx, found.mapped(), reply);
        return;
    }
    if (auto found = ledger.deletions.extract(reply.operation)) {
        on_deletion_reply(ctx, found.mapped(), reply);
    }
}

} // namespace lovagetack::requests
