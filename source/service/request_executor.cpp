#include "service/request_executor.hpp"

#include <algorithm>
#include <chrono>
#include <type_traits>

#include "base/json.hpp"
#include "http/error_body.hpp"
#include "http/header_rules.hpp"
#include "service/request_text.hpp"

namespace lovagetack::service {
namespace {

constexpr auto check_period = std::chrono::milliseconds(100);

std::string host_field(const model::address& address) {
    return "host: " + model::to_text(address) + "\r\n";
}

std::string cancel_text(const model::address& address, const model::request_id& request) {
    const QJsonObject json{{"request_id", QString::fromStdString(request.value())}};
    const std::string body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
    std::string text = "POST /lovagetack/cancel HTTP/1.1\r\n" + host_field(address);
    http::append_field(text, "content-type", "application/json");
    http::append_field(text, "content-length", static_cast<std::uint64_t>(body.size()));
    return text + "\r\n" + body;
}

std::uint64_t seconds_rounded_up(std::chrono::microseconds time) {
    return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::seconds>(time).count());
}

} // namespace

request_executor::request_executor(settings values, hooks functions)
    : settings_(std::move(values)), hooks_(std::move(functions)), run_id_(hooks_.random ? hooks_.random() : 0),
      server_(*this, settings_.limits) {
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] { check_times(); });
    timer_.start(check_period);
}

request_executor::~request_executor() {
    exchanges_.clear();
    side_requests_.clear();
}

void request_executor::set_deployment(const model::deployment& deployment) {
    services_.clear();
    for (const auto& service : deployment.services) {
        services_.emplace(service.id, service);
    }
}

exchange* request_executor::find(requests::exchange_id id) {
    const auto found = exchanges_.find(id.value());
    return found == exchanges_.end() ? nullptr : found->second.get();
}

exchange* request_executor::find(const http::server_connection& connection) {
    return find(requests::exchange_id(connection.tag()));
}

model::request_id request_executor::new_request_id() {
    ++last_request_;
    return model::request_id(settings_.instance.value() + "-" + std::to_string(run_id_) + "-" +
                             std::to_string(last_request_));
}

void request_executor::request_started(http::server_connection& connection) {
    auto read = read_caller_request(connection, [this](const model::service_id& id) {
        const auto found = services_.find(id);
        return found != services_.end() && found->second.divided_by_key;
    });
    if (!read) {
        connection.answer_error(400, read.error().code, read.error().message, "lovagetack-outcome: not-run\r\n");
        return;
    }
    auto& request = read.value();
    const auto service = services_.find(request.service);
    if (service != services_.end() && request.body_bytes > service->second.maximum_body_bytes) {
        connection.answer_error(413, base::result_code::request_body_too_large,
                                "the body is above the limit of the service", "lovagetack-outcome: not-run\r\n");
        return;
    }
    if (service != services_.end()) {
        connection.limit_body(service->second.maximum_body_bytes);
    }
    if (request.request.empty()) {
        request.request = new_request_id();
    }
    request.exchange = requests::exchange_id(++last_exchange_);
    auto opened = std::make_unique<exchange>();
    opened->id = request.exchange;
    opened->caller = connection.shared_from_this();
    opened->request = request.request;
    opened->key = request.key;
    opened->head = forwarded_head(connection, request.request);
    opened->is_head = connection.message().method() == boost::beast::http::verb::head;
    opened->chunked = connection.request_framing() == http::body_framing::chunked;
    opened->relayed = !request.relayed_by.empty();
    opened->relay_target = request.relay_target;
    opened->body_complete = connection.request_complete();
    connection.set_tag(last_exchange_);
    exchanges_.emplace(last_exchange_, std::move(opened));
    report(std::move(request));
}

void request_executor::request_body(http::server_connection& connection, std::string_view bytes) {
    if (exchange* const open = find(connection)) {
        buffer_or_send_body(*open, connection, bytes);
    }
}

void request_executor::buffer_or_send_body(exchange& exchange, http::server_connection& connection,
                                           std::string_view bytes) {
    const bool sending = exchange.current && exchange.current->is_sending();
    if (!exchange.overflowed && (!sending || exchange.resend_buffer.size() + bytes.size() <= resend_buffer_bytes)) {
        exchange.resend_buffer.append(bytes);
    } else {
        exchange.overflowed = true;
        exchange.resend_buffer = std::string();
    }
    if (!sending) {
        if (exchange.overflowed || exchange.resend_buffer.size() >= resend_buffer_bytes) {
            connection.pause_body();
        }
        return;
    }
    exchange.current->send_body(bytes);
    if (exchange.current->unsent() >= http::stream_buffer_bytes) {
        connection.pause_body();
    }
}

void request_executor::request_body_ended(http::server_connection& connection) {
    exchange* const open = find(connection);
    if (open == nullptr || open->body_complete) {
        return;
    }
    open->body_complete = true;
    if (open->current && open->current->is_sending()) {
        open->current->end_body();
    }
}

void request_executor::answer_writable(http::server_connection& connection) {
    exchange* const open = find(connection);
    if (open != nullptr && open->current) {
        open->current->caller_writable();
    }
}

void request_executor::caller_left(http::server_connection& connection) {
    exchange* const open = find(connection);
    connection.set_tag(0);
    if (open == nullptr) {
        return;
    }
    const auto id = open->id;
    open->caller = nullptr;
    if (open->current) {
        open->current->caller_writable();
    } else {
        exchanges_.erase(id.value());
    }
    report(requests::caller_left{id});
}

void request_executor::report(requests::event event) {
    events_.push_back(std::move(event));
    if (!std::exchange(delivery_posted_, true)) {
        post([this] { flush_events(); });
    }
}

void request_executor::flush_events() {
    delivery_posted_ = false;
    delivering_.swap(events_);
    for (auto& event : delivering_) {
        hooks_.on_event(std::move(event));
    }
    delivering_.clear();
}

void request_executor::post(std::function<void()> function) {
    context_.post(std::move(function));
}

void request_executor::attempt_over(exchange& exchange, const requests::attempt_ended& event) {
    const auto ended = std::move(exchange.current);
    if (!exchange.caller) {
        exchanges_.erase(exchange.id.value());
    }
    report(event);
}

std::string request_executor::queue_field(const exchange& exchange) const {
    std::string text;
    if (exchange.relayed && hooks_.queue_length_of) {
        const auto queue = std::max(hooks_.queue_length_of(exchange.relay_target), 0);
        http::append_field(text, "lovagetack-queue", static_cast<std::uint64_t>(queue));
    }
    return text;
}

http::connection_pool& request_executor::pool_of(const model::address& address, std::size_t limit) {
    auto& pool = pools_[{address.host, address.port}];
    if (!pool) {
        pool = std::make_unique<http::connection_pool>(address, limit);
    }
    return *pool;
}

void request_executor::execute(const requests::effect& effect) {
    std::visit(
        [this](const auto& alternative) {
            using type = std::decay_t<decltype(alternative)>;
            constexpr bool is_transport =
                std::is_same_v<type, requests::start_attempt> || std::is_same_v<type, requests::cancel_attempt> ||
                std::is_same_v<type, requests::answer_caller> || std::is_same_v<type, requests::limit_connections> ||
                std::is_same_v<type, requests::probe_connection>;
            if constexpr (is_transport) {
                carry_out(alternative);
            }
        },
        effect);
}

void request_executor::carry_out(const requests::start_attempt& effect) {
    exchange* const open = find(effect.exchange);
    if (open == nullptr || !open->caller) {
        return;
    }
    if (open->overflowed) {
        requests::attempt_ended ended;
        ended.exchange = effect.exchange;
        ended.attempt = effect.attempt;
        ended.outcome = requests::attempt_outcome::connect_failed;
        report(ended);
        return;
    }
    const auto limit = effect.relay_to.empty() ? settings_.backend_server_connections : settings_.relay_connections;
    open->current = nullptr;
    open->current =
        std::make_unique<attempt>(static_cast<attempt::owner&>(*this), *open, effect, pool_of(effect.address, limit));
    open->current->begin();
}

void request_executor::carry_out(const requests::cancel_attempt& effect) {
    exchange* const open = find(effect.exchange);
    if (open == nullptr || !open->current || open->current->effect().attempt != effect.attempt) {
        return;
    }
    const auto cancelled = std::move(open->current);
    // The home instance of a relayed request notices the closed connection and sends the cancellation itself.
    if (effect.notify && cancelled->effect().relay_to.empty() && cancelled->is_sending()) {
        const auto& address = cancelled->effect().address;
        send_side_request(address, cancel_text(address, open->request), false, [](bool /*answered*/) {});
    }
    if (!open->caller) {
        exchanges_.erase(open->id.value());
    }
}

void request_executor::carry_out(const requests::answer_caller& effect) {
    exchange* const open = find(effect.exchange);
    if (open == nullptr || !open->caller) {
        return;
    }
    const auto caller = std::exchange(open->caller, nullptr);
    caller->set_tag(0);
    std::string fields = queue_field(*open);
    exchanges_.erase(open->id.value());
    if (caller->answer_started()) {
        caller->abort();
        return;
    }
    http::append_field(fields, "lovagetack-outcome", text_of(effect.outcome));
    if (effect.retry_after.count() > 0) {
        http::append_field(fields, "retry-after", seconds_rounded_up(effect.retry_after));
    }
    if (effect.outcome != requests::outcome::repeated) {
        caller->answer_error(effect.status, static_cast<base::result_code>(effect.code), effect.message, fields);
        return;
    }
    http::append_field(fields, "lovagetack-code", static_cast<std::uint64_t>(std::max(effect.code, 0)));
    caller->start_answer(effect.status, http::reason_of(effect.status), fields, http::body_framing::length,
                         effect.stored_body.size());
    caller->answer_body(effect.stored_body);
    caller->end_answer();
}

void request_executor::carry_out(const requests::limit_connections& effect) {
    const auto limit = static_cast<std::size_t>(std::max(effect.connections, 0));
    pool_of(effect.address, limit).set_limit(limit);
}

void request_executor::carry_out(const requests::probe_connection& effect) {
    const auto text = "GET /lovagetack/health HTTP/1.1\r\n" + host_field(effect.address) + "\r\n";
    send_side_request(effect.address, text, true, [this, backend_server = effect.backend_server](bool answered) {
        report(requests::connection_probed{backend_server, answered});
    });
}

void request_executor::send_side_request(const model::address& address, std::string text, bool fresh,
                                         std::function<void(bool answered)> done) {
    auto& pool = pool_of(address, settings_.backend_server_connections);
    auto request = std::make_unique<side_request>(pool, std::move(text),
                                                  [this, done = std::move(done)](side_request& ended, bool answered) {
                                                      done(answered);
                                                      post([this, pointer = &ended] { side_requests_.erase(pointer); });
                                                  });
    side_request& started = *request;
    side_requests_.emplace(request.get(), std::move(request));
    started.begin(fresh);
}

void request_executor::check_times() {
    const auto now = http::client_connection::clock::now();
    for (const auto& [address, pool] : pools_) {
        pool->check_times(now);
    }
    for (const auto& [pointer, request] : side_requests_) {
        request->check_time(now);
    }
}

} // namespace lovagetack::service
