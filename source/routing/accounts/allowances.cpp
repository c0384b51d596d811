#include "routing/accounts/allowances.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "routing/accounts/counting.hpp"
#include "routing/accounts/limits.hpp"
#include "routing/exchanges.hpp"
#include "routing/log_fields.hpp"
#include "routing/requests.hpp"

namespace lovagetack::routing {
namespace {

using base::result_code;

/// HTTP status 429, Too Many Requests.
constexpr int too_many_requests = 429;

void note_demand(token_stock& stock, base::boot_time now) {
    const auto passed = std::chrono::duration<double>(now - stock.demand_at);
    stock.demand = stock.demand * std::exp(-passed / std::chrono::duration<double>(demand_memory)) + 1;
    stock.demand_at = now;
}

/// Tokens to ask for: for the waiting requests, and for those expected within the life of the tokens.
std::uint32_t tokens_to_ask(const token_stock& stock) {
    const double life = std::chrono::duration<double>(token_life) / std::chrono::duration<double>(demand_memory);
    const double others = std::max(0.0, stock.demand - static_cast<double>(stock.waiting.size()));
    return static_cast<std::uint32_t>(stock.waiting.size()) +
           static_cast<std::uint32_t>(std::floor(others * life * expected_use_share));
}

/// Takes a token and returns the end of its life.
std::optional<base::boot_time> take_token(token_stock& stock, base::boot_time now) {
    while (!stock.tokens.empty() && (stock.tokens.front().first < now || stock.tokens.front().second == 0)) {
        stock.tokens.pop_front();
    }
    if (stock.tokens.empty()) {
        return std::nullopt;
    }
    --stock.tokens.front().second;
    return stock.tokens.front().first;
}

/// Removes requests that have ended while they waited.
void remove_ended(const step& step, token_stock& stock) {
    std::erase_if(stock.waiting, [&step](exchange_id id) {
        const auto found = step.state.exchanges.find(id);
        return found == step.state.exchanges.end() || found->second.phase != exchange_phase::counting;
    });
}

void place_next(step& step, token_stock& stock, base::boot_time token_until) {
    const auto id = stock.waiting.front();
    stock.waiting.pop_front();
    step.state.exchanges.at(id).token_until = token_until;
    step.state.exchanges.at(id).phase = exchange_phase::queued;
    place_admitted(step, id);
}

const counter_role* find_counter(const state& state, std::uint32_t slice, std::uint32_t group) {
    const auto& roles = state.allowances.roles;
    const auto found = std::find_if(roles.begin(), roles.end(), [&](const counter_role& role) {
        return role.slice == slice && role.group == group;
    });
    return found == roles.end() ? nullptr : &*found;
}

void suspect(step& step, const model::instance_id& counter) {
    step.state.allowances.suspects[counter] = step.now + counter_suspicion;
}

bool is_suspected(const step& step, const model::instance_id& counter) {
    const auto& suspects = step.state.allowances.suspects;
    const auto found = suspects.find(counter);
    return found != suspects.end() && found->second > step.now;
}

/// Passes over a counter that has not answered. True while there is time for its answer.
bool is_answer_expected(step& step, slice_view& view, const counter_role* counter) {
    if (view.ask == 0) {
        return false;
    }
    if (step.now - view.asked_at < counter_silence) {
        return true;
    }
    view.ask = 0;
    if (counter != nullptr) {
        suspect(step, counter->holder);
    }
    return false;
}

void note_answer(token_stock& stock, std::uint32_t slice, const token_answer& answer, base::boot_time asked_at,
                 base::boot_time now) {
    auto& view = stock.slices[slice];
    if (answer.granted > 0) {
        view.dry_until = {};
        stock.tokens.emplace_back(asked_at + token_life, answer.granted);
        std::sort(stock.tokens.begin(), stock.tokens.end());
    } else if (answer.counts) {
        view.dry_until = now + answer.wait;
    }
}

enum class ask_result : std::uint8_t {
    /// An answer is expected, or has been given.
    asked,
    /// No slice has tokens now.
    dry,
    /// No counter answers.
    silent,
};

/// Asks the counter of a slice; this instance without a message.
ask_result ask_counter(step& step, const model::client_account_id& account, token_stock& stock,
                       const counter_role& counter) {
    auto& own = step.state.allowances;
    auto& view = stock.slices[counter.slice];
    const auto count = tokens_to_ask(stock);
    if (counter.holder == step.state.self.instance) {
        const auto answer = issue_tokens(step, counter.slice, account, count);
        note_answer(stock, counter.slice, answer, step.now, step.now);
        if (!answer.counts) {
            return ask_result::silent;
        }
        return answer.granted > 0 ? ask_result::asked : ask_result::dry;
    }
    view.ask = ++own.last_ask;
    view.asked_at = step.now;
    own.asks[view.ask] = {account, counter.slice, step.now};
    step.add(send_allowance_message{
        {counter.holder},
        token_request{step.state.self.instance, step.state.self.incarnation, view.ask, counter.slice, account, count}});
    return ask_result::asked;
}

/// Asks the first slice that may have tokens.
ask_result ask_for_tokens(step& step, const model::client_account_id& account, token_stock& stock, bool with_suspects) {
    auto& own = step.state.allowances;
    const auto group = group_of(account);
    bool any_dry = false;
    for (std::uint32_t turn = 0; turn < own.slices; ++turn) {
        const auto slice = (own.first_slice + turn) % own.slices;
        auto& view = stock.slices[slice];
        const auto* const counter = find_counter(step.state, slice, group);
        if (is_answer_expected(step, view, counter)) {
            return ask_result::asked;
        }
        if (view.dry_until > step.now) {
            any_dry = true;
            continue;
        }
        if (counter == nullptr || (!with_suspects && is_suspected(step, counter->holder))) {
            continue;
        }
        const auto result = ask_counter(step, account, stock, *counter);
        if (result == ask_result::asked) {
            return result;
        }
        any_dry = any_dry || result == ask_result::dry;
    }
    return any_dry ? ask_result::dry : ask_result::silent;
}

void refuse(step& step, exchange_id id, token_stock& stock, std::chrono::milliseconds wait) {
    auto& state = step.state;
    const auto& exchange = state.exchanges.at(id);
    const auto spread = static_cast<std::uint64_t>(over_allowance_spread.count());
    const auto retry_after =
        std::max(wait, std::chrono::milliseconds(1)) + std::chrono::milliseconds(state.random() % spread);
    step.add(answer_caller{id, too_many_requests, result_code::request_over_allowance, retry_after});
    ++state.refused[result_code::request_over_allowance];
    ++stock.refused;
    if (state.allowances.shown.size() < shown_accounts) {
        state.allowances.shown.insert(exchange.account.value_or(model::client_account_id()));
    }
    ++state.allowances.unlogged;
    if (step.now >= state.allowances.next_log) {
        state.allowances.next_log = step.now + allowance_log_period;
        step.add(log_line{true,
                          "requests_over_allowance",
                          {number_field("count", std::exchange(state.allowances.unlogged, 0)),
                           text_field("last_account", exchange.account.value_or(model::client_account_id()).value()),
                           number_field("retry_after_ms", retry_after.count()),
                           number_field("configuration", state.configuration.version)}});
    }
    erase_exchange(step, id);
}

/// Time until the first slice that is known to be dry has a token.
std::chrono::milliseconds shortest_wait(const token_stock& stock, base::boot_time now) {
    std::optional<base::boot_time> first;
    for (const auto& [slice, view] : stock.slices) {
        if (view.dry_until > now) {
            first = first ? std::min(*first, view.dry_until) : view.dry_until;
        }
    }
    return first ? std::chrono::ceil<std::chrono::milliseconds>(*first - now) : std::chrono::milliseconds(0);
}

/// Places the requests that there are tokens for, and asks for more or refuses the others.
void serve_waiting(step& step, const model::client_account_id& account) {
    auto& stock = step.state.allowances.stocks[account];
    remove_ended(step, stock);
    while (!stock.waiting.empty()) {
        if (const auto token_until = take_token(stock, step.now)) {
            place_next(step, stock, *token_until);
            continue;
        }
        auto result = ask_for_tokens(step, account, stock, false);
        if (result == ask_result::silent) {
            result = ask_for_tokens(step, account, stock, true);
        }
        switch (result) {
        case ask_result::asked:
            if (stock.tokens.empty()) {
                return;
            }
            break;
        case ask_result::dry: {
            const auto id = stock.waiting.front();
            stock.waiting.pop_front();
            refuse(step, id, stock, shortest_wait(stock, step.now));
            break;
        }
        case ask_result::silent:
            return;
        }
    }
}

} // namespace

bool waits_for_allowance(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    if (!exchange.account || exchange.account->empty()) {
        return false;
    }
    const auto name = *exchange.account;
    const auto* const account = step.state.configuration.accounts.find(name);
    if (account == nullptr || !account->allowance.is_limited()) {
        return false;
    }
    auto& stock = step.state.allowances.stocks[name];
    note_demand(stock, step.now);
    const auto token_until = stock.waiting.empty() ? take_token(stock, step.now) : std::nullopt;
    if (token_until) {
        exchange.token_until = *token_until;
        return false;
    }
    exchange.phase = exchange_phase::counting;
    exchange.counting_since = step.now;
    stock.waiting.push_back(id);
    serve_waiting(step, name);
    return true;
}

void end_token_request(step& step, const token_answer& event) {
    auto& own = step.state.allowances;
    const auto found = own.asks.find(event.ask);
    if (found == own.asks.end() || event.incarnation != step.state.self.incarnation) {
        return;
    }
    const auto ask = found->second;
    own.asks.erase(found);
    const auto* const counter = find_counter(step.state, ask.slice, group_of(ask.account));
    if (counter != nullptr && event.counts) {
        own.suspects.erase(counter->holder);
    } else if (counter != nullptr) {
        suspect(step, counter->holder);
    }
    auto& stock = own.stocks[ask.account];
    auto& view = stock.slices[ask.slice];
    if (view.ask == event.ask) {
        view.ask = 0;
    }
    note_answer(stock, ask.slice, event, ask.sent_at, step.now);
    serve_waiting(step, ask.account);
}

void return_token(step& step, const exchange& exchange) {
    if (exchange.token_until < step.now || exchange.attempts > 0 || !exchange.account) {
        return;
    }
    auto& tokens = step.state.allowances.stocks[*exchange.account].tokens;
    tokens.emplace_back(exchange.token_until, 1);
    std::sort(tokens.begin(), tokens.end());
}

std::map<model::client_account_id, std::uint64_t> refusals_by_account(const state& state) {
    std::map<model::client_account_id, std::uint64_t> refusals;
    for (const auto& [account, stock] : state.allowances.stocks) {
        const bool shown = state.allowances.shown.contains(account);
        if (stock.refused > 0) {
            refusals[shown ? account : model::client_account_id()] += stock.refused;
        }
    }
    return refusals;
}

void run_allowances(step& step) {
    auto& own = step.state.allowances;
    std::erase_if(own.asks, [&step](const auto& entry) { return step.now - entry.second.sent_at > token_life; });
    for (auto& [account, stock] : own.stocks) {
        if (stock.waiting.empty()) {
            continue;
        }
        serve_waiting(step, account);
        while (!stock.waiting.empty()) {
            const auto id = stock.waiting.front();
            if (step.now - step.state.exchanges.at(id).counting_since < longest_allowance_wait) {
                break;
            }
            stock.waiting.pop_front();
            answer(step, id, result_code::request_allowance_unknown, spread_retry_after(step));
        }
    }
}

} // namespace lovagetack::routing
