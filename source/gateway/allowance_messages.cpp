#include "gateway/allowance_messages.hpp"

#include <algorithm>

#include "wire/peer.pb.h"

namespace lovagetack::gateway {
namespace {

/// Times above this one, which only a faulty sender tells, are taken for it.
constexpr std::uint32_t longest_time_ms = 60000;

std::chrono::milliseconds read_time(std::uint32_t milliseconds) {
    return std::chrono::milliseconds(std::min(milliseconds, longest_time_ms));
}

std::uint32_t write_time(std::chrono::milliseconds time) {
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, longest_time_ms));
}

std::int64_t write_clock(base::boot_time time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

base::boot_time read_clock(std::int64_t microseconds) {
    return base::boot_time(std::chrono::microseconds(microseconds));
}

routing::counter_roles read(const wire::GatewayCounterRoles& message) {
    routing::counter_roles roles;
    roles.keeper = model::instance_id(message.keeper());
    roles.term = message.term();
    roles.sequence = message.sequence();
    roles.slices = message.slices();
    for (const auto& role : message.roles()) {
        roles.roles.push_back({role.slice(), role.group(), model::instance_id(role.holder()), role.incarnation()});
    }
    roles.receiver_incarnation = message.receiver_incarnation();
    roles.reported_at = read_clock(message.reported_at_us());
    roles.valid_for = read_time(message.valid_for_ms());
    return roles;
}

routing::counter_report read(const wire::GatewayCounterReport& message) {
    return {model::instance_id(message.counter()), message.incarnation(), read_clock(message.reported_at_us()),
            message.ended()};
}

routing::token_request read(const wire::GatewayTokenRequest& message) {
    return {model::instance_id(message.sender()),        message.incarnation(), message.ask(), message.slice(),
            model::client_account_id(message.account()), message.count()};
}

routing::token_answer read(const wire::GatewayTokenAnswer& message) {
    return {message.ask(), message.incarnation(), !message.counts_not(), message.granted(),
            read_time(message.wait_ms())};
}

} // namespace

void write(const routing::counter_roles& roles, wire::GatewayMessage& envelope) {
    auto& message = *envelope.mutable_counter_roles();
    message.set_keeper(roles.keeper.value());
    message.set_term(roles.term);
    message.set_sequence(roles.sequence);
    message.set_slices(roles.slices);
    for (const auto& role : roles.roles) {
        auto& item = *message.add_roles();
        item.set_slice(role.slice);
        item.set_group(role.group);
        item.set_holder(role.holder.value());
        item.set_incarnation(role.incarnation);
    }
    message.set_receiver_incarnation(roles.receiver_incarnation);
    message.set_reported_at_us(write_clock(roles.reported_at));
    message.set_valid_for_ms(write_time(roles.valid_for));
}

void write(const routing::counter_report& report, wire::GatewayMessage& envelope) {
    auto& message = *envelope.mutable_counter_report();
    message.set_counter(report.counter.value());
    message.set_incarnation(report.incarnation);
    message.set_reported_at_us(write_clock(report.reported_at));
    message.set_ended(report.ended);
}

void write(const routing::token_request& request, wire::GatewayMessage& envelope) {
    auto& message = *envelope.mutable_token_request();
    message.set_sender(request.sender.value());
    message.set_incarnation(request.incarnation);
    message.set_ask(request.ask);
    message.set_slice(request.slice);
    message.set_account(request.account.value());
    message.set_count(request.count);
}

void write(const routing::token_answer& answer, wire::GatewayMessage& envelope) {
    auto& message = *envelope.mutable_token_answer();
    message.set_ask(answer.ask);
    message.set_incarnation(answer.incarnation);
    message.set_counts_not(!answer.counts);
    message.set_granted(answer.granted);
    message.set_wait_ms(write_time(answer.wait));
}

routing::allowance_message read_allowance_message(const wire::GatewayMessage& envelope) {
    switch (envelope.body_case()) {
    case wire::GatewayMessage::kCounterRoles:
        return read(envelope.counter_roles());
    case wire::GatewayMessage::kCounterReport:
        return read(envelope.counter_report());
    case wire::GatewayMessage::kTokenRequest:
        return read(envelope.token_request());
    default:
        return read(envelope.token_answer());
    }
}

} // namespace lovagetack::gateway
