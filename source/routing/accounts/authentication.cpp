#include "routing/accounts/authentication.hpp"

#include <utility>

#include "routing/limits.hpp"
#include "routing/log_fields.hpp"

namespace lovagetack::routing {
namespace {

/// HTTP status 401, Unauthorized.
constexpr int unauthorized = 401;

void refuse(step& step, exchange_id id, const route& route, bool shows_key) {
    auto& state = step.state;
    step.add(answer_caller{id, unauthorized, base::result_code::request_unauthenticated, {}});
    ++state.unauthenticated;
    ++state.unlogged_unauthenticated;
    if (step.now < state.next_unauthenticated_log) {
        return;
    }
    state.next_unauthenticated_log = step.now + unauthenticated_log_period;
    step.add(log_line{true,
                      "requests_unauthenticated",
                      {number_field("count", std::exchange(state.unlogged_unauthenticated, 0)),
                       text_field("last_route", route.name),
                       text_field("last_cause", shows_key ? "unknown key" : "no usable key"),
                       number_field("configuration", state.configuration.version)}});
}

} // namespace

void refuse_unauthenticated(step& step, const request_announced& event) {
    const auto& configuration = step.state.configuration;
    const auto* const route = find_route(configuration, event.host, event.path);
    if (route == nullptr || !identify(configuration.accounts, event.credential, route->anonymous).refused) {
        return;
    }
    refuse(step, event.exchange, *route, event.credential.has_value());
}

bool authenticate(step& step, exchange& exchange, const route& route) {
    const auto& accounts = step.state.configuration.accounts;
    const auto& request = exchange.request;
    const auto found = identify(accounts, request.credential, route.anonymous);
    if (found.refused) {
        refuse(step, request.exchange, route, request.credential.has_value());
        return false;
    }
    if (!accounts.empty()) {
        exchange.account = found.account != nullptr ? found.account->name : model::client_account_id();
    }
    exchange.priority = found.account != nullptr ? found.account->priority.value_or(route.priority) : route.priority;
    return true;
}

} // namespace lovagetack::routing
