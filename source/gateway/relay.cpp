#include "gateway/relay.hpp"

#include <algorithm>

#include "base/key_hash.hpp"
#include "http/error_body.hpp"

namespace lovagetack::gateway {
namespace {

/// A connection to a backend server that does not open within this time is unlikely to open at all: the server's queue
/// of new connections is full, or the server cannot be reached.
constexpr auto open_time = std::chrono::milliseconds(300);

/// HTTP status 503, which promises the caller that its request has not run and will not run.
constexpr int not_run_status = 503;
/// Also a promise that the request has not run.
constexpr int over_allowance_status = 429;
/// HTTP status 502, which promises nothing.
constexpr int unknown_outcome_status = 502;
/// HTTP status 408, which promises the same as 503.
constexpr int too_slow_status = 408;

/// A caller whose request did not fit may try again after this time; slow bodies are refused sooner.
constexpr auto memory_retry_time = std::chrono::milliseconds(2000);
/// Objects and fields that an exchange holds besides its header and body.
constexpr std::uint64_t exchange_bytes = 2048;
/// Objects of a caller's connection, with the buffers that it keeps while it is idle.
constexpr std::uint64_t connection_bytes = 8192;
/// A body without a declared length is charged in steps of this size.
constexpr std::uint64_t charge_step = 16384;
/// One part in this many of the account can be in the buffers of connections on which nothing moves.
constexpr std::uint64_t buffer_part = 4;
/// Longest time between two checks after which this process counts as not held up.
constexpr auto regular_check_time = std::chrono::milliseconds(500);

/// Bytes of the request besides its body.
std::uint64_t header_charge(const exchange& item) {
    return exchange_bytes + 2 * (item.head.size() + item.account_fields.size());
}

http::server_limits server_limits(std::size_t connections) {
    http::server_limits limits;
    limits.connections = connections;
    return limits;
}

/// The same on all instances for requests that a backend server cannot tell apart.
routing::request_fingerprint fingerprint_of(const http::server_connection& caller, const exchange& item) {
    const auto method = caller.message().method_string();
    auto hash = base::key_hash({method.data(), method.size()});
    hash = base::chained_hash(hash, item.header.host);
    hash = base::chained_hash(hash, item.header.path);
    for (std::size_t number = 0; number < item.body.parts(); ++number) {
        hash = base::chained_hash(hash, item.body.part(number));
    }
    return base::chained_hash(hash, item.header.key ? std::to_string(*item.header.key) : "");
}

} // namespace

relay::relay(const dialect_port& dialect, event_handler on_event, std::size_t caller_connections,
             const http::byte_limits& memory)
    : dialect_(dialect), on_event_(std::move(on_event)), account_(memory),
      server_(*this, server_limits(caller_connections)) {}

relay::~relay() {
    probes_.clear();
    ended_attempts_.clear();
    exchanges_.clear();
}

void relay::set_limits(const routing::caller_limits& limits) {
    limits_ = limits;
    server_.set_limits(limits.body_bytes, limits.header_time, limits.idle_time);
}

http::connection_pool& relay::pool_of(const model::address& address) {
    auto& pool = pools_[{address.host, address.port}];
    if (!pool) {
        pool = std::make_unique<http::connection_pool>(address, connection_limit_, open_time);
    }
    return *pool;
}

exchange* relay::find(routing::exchange_id id) {
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void relay::erase(routing::exchange_id id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    if (found->second->current_attempt) {
        found->second->current_attempt->drop();
        ended_attempts_.push_back(std::move(found->second->current_attempt));
    }
    exchanges_.erase(found);
    calls_.post([this] { ended_attempts_.clear(); });
}

void relay::request_started(http::server_connection& connection) {
    auto item = std::make_unique<exchange>(account_);
    item->id = ++last_exchange_id_;
    item->caller = connection.shared_from_this();
    item->header = dialect_.read(connection.message());
    item->arrived = base::boot_clock::now();
    item->head = dialect_.request_head(connection);
    item->account_fields = dialect_.account_fields(connection);
    item->is_head = connection.message().method() == boost::beast::http::verb::head;
    item->has_body = connection.request_framing() != http::body_framing::none;
    connection.limit_body(limits_.body_bytes);
    connection.set_tag(item->id);
    const auto now = http::server_connection::clock::now();
    item->progress = {now, now, 0};
    const auto length = connection.request_length();
    item->body.expect(length);
    if (!charge(*item, header_charge(*item) + length)) {
        ++memory_.refused_at_header;
        refuse(*exchanges_.emplace(item->id, std::move(item)).first->second, not_run_status,
               base::result_code::request_memory_full);
        return;
    }
    const routing::request_announced event{item->id, item->header.host, item->header.path, item->header.credential};
    const bool has_body = item->has_body;
    exchanges_.emplace(event.exchange, std::move(item));
    if (has_body) {
        on_event_(event);
    }
    connection.send_continue();
}

void relay::request_body(http::server_connection& connection, std::string_view bytes) {
    auto* const item = find(connection.tag());
    if (item == nullptr) {
        return;
    }
    item->progress.last_received = http::server_connection::clock::now();
    item->progress.bytes += bytes.size();
    const auto kept = (item->progress.bytes + charge_step - 1) / charge_step * charge_step;
    const bool was_charged = connection.request_framing() == http::body_framing::length;
    if ((was_charged || charge(*item, header_charge(*item) + kept)) && item->body.append(bytes)) {
        return;
    }
    ++memory_.refused_in_body;
    refuse(*item, not_run_status, base::result_code::request_memory_full);
}

bool relay::charge(exchange& item, std::uint64_t bytes) {
    if (item.request_charge.bytes() == bytes || item.request_charge.resize(bytes)) {
        return true;
    }
    bool fits = false;
    refuse_slow_bodies(&item, [&] { return fits = item.request_charge.resize(bytes); });
    return fits;
}

void relay::refuse_slow_bodies(const exchange* except, const std::function<bool()>& enough) {
    const auto now = http::server_connection::clock::now();
    if (now - checked_at_ > regular_check_time) {
        return;
    }
    std::vector<std::pair<std::uint64_t, routing::exchange_id>> slow;
    for (const auto& [id, item] : exchanges_) {
        const bool receives_body = item->caller && !item->caller->request_complete();
        if (receives_body && item.get() != except && http::is_slow(item->progress, now)) {
            slow.emplace_back(item->request_charge.bytes(), id);
        }
    }
    std::sort(slow.rbegin(), slow.rend());
    for (const auto& [bytes, id] : slow) {
        if (enough()) {
            return;
        }
        // The events of a refusal can end other exchanges.
        if (auto* const item = find(id)) {
            ++memory_.refused_slow;
            refuse(*item, too_slow_status, base::result_code::request_body_too_slow);
        }
    }
    static_cast<void>(enough());
}

void relay::refuse(exchange& item, int status, base::result_code code) {
    const auto id = item.id;
    const auto caller = std::exchange(item.caller, nullptr);
    caller->set_tag(0);
    const auto retry_after = status == not_run_status ? memory_retry_time : std::chrono::milliseconds(0);
    caller->answer_error(status, code, base::name_of(code),
                         dialect_.local_answer_fields(item.header.request, status, retry_after));
    erase(id);
    on_event_(routing::caller_left{id, std::string(base::name_of(code))});
}

void relay::relieve_memory() {
    const auto connections = server_.connections() * connection_bytes;
    const auto most = account_.limits().total / buffer_part;
    if (server_.buffered() > most) {
        memory_.connections_shed += server_.shed(most, http::pace_time);
    }
    account_.set_buffered(server_.buffered() + connections);
    if (account_.is_scarce()) {
        refuse_slow_bodies(nullptr, [this] { return !account_.is_scarce(); });
    }
    checked_at_ = http::server_connection::clock::now();
}

void relay::request_body_ended(http::server_connection& connection) {
    const auto* const item = find(connection.tag());
    if (item == nullptr) {
        return;
    }
    routing::request_arrived event;
    event.exchange = item->id;
    event.request = item->header.request;
    event.host = item->header.host;
    event.path = item->header.path;
    event.key = item->header.key;
    event.deadline = item->header.deadline;
    event.arrived = item->arrived;
    event.fingerprint = fingerprint_of(connection, *item);
    event.credential = item->header.credential;
    on_event_(event);
}

void relay::answer_writable(http::server_connection& connection) {
    const auto* const item = find(connection.tag());
    if (item != nullptr && item->current_attempt) {
        item->current_attempt->caller_writable();
    }
}

void relay::caller_left(http::server_connection& connection) {
    const auto id = connection.tag();
    if (find(id) == nullptr) {
        return;
    }
    on_event_(routing::caller_left{id, connection.end_cause()});
    erase(id);
}

void relay::bytes_discarded(http::server_connection& connection, std::size_t bytes) {
    on_event_(routing::connection_dropped{"", std::to_string(bytes) + " bytes came after the close, " +
                                                  connection.end_cause()});
}

void relay::attempt_sent(const routing::attempt_sent& event) {
    on_event_(event);
}

void relay::signals_received(const routing::signals_received& event) {
    on_event_(event);
}

void relay::answer_forwarding_started(const routing::answer_forwarding_started& event) {
    on_event_(event);
}

void relay::attempt_finished(const routing::attempt_ended& event) {
    auto* const item = find(event.exchange);
    if (item == nullptr) {
        return;
    }
    if (item->current_attempt) {
        ended_attempts_.push_back(std::move(item->current_attempt));
        calls_.post([this] { ended_attempts_.clear(); });
    }
    const bool answered = item->caller == nullptr;
    on_event_(event);
    if (answered) {
        erase(event.exchange);
    }
}

void relay::execute(const routing::send_request& effect) {
    auto* const item = find(effect.exchange);
    if (item == nullptr) {
        return;
    }
    auto& pool = pool_of(effect.address);
    item->current_attempt =
        std::make_unique<attempt>(static_cast<attempt::owner&>(*this), *item, effect, pool, dialect_);
    item->current_attempt->begin();
}

void relay::execute(const routing::cancel_attempt& effect) {
    auto* const item = find(effect.exchange);
    if (item != nullptr && item->current_attempt && item->current_attempt->id() == effect.attempt) {
        item->current_attempt->drop();
        ended_attempts_.push_back(std::move(item->current_attempt));
        calls_.post([this] { ended_attempts_.clear(); });
    }
}

void relay::execute(const routing::report_answer_progress& effect) {
    const auto* const item = find(effect.exchange);
    if (item != nullptr && item->current_attempt && item->current_attempt->id() == effect.attempt) {
        on_event_(item->current_attempt->progress());
    }
}

void relay::execute(const routing::probe_server& effect) {
    if (probes_.contains(effect.server)) {
        return;
    }
    auto probe = std::make_unique<server_probe>(pool_of(effect.address),
                                                [this, server = effect.server](routing::probe_outcome outcome) {
                                                    calls_.post([this, server] { probes_.erase(server); });
                                                    on_event_(routing::server_probed{server, outcome});
                                                });
    probes_.emplace(effect.server, std::move(probe)).first->second->begin();
}

void relay::execute(const routing::deliver_answer& effect) {
    auto* const item = find(effect.exchange);
    if (item == nullptr || !item->caller || !item->failure) {
        return;
    }
    const auto caller = std::exchange(item->caller, nullptr);
    const auto answer = std::move(item->failure);
    caller->set_tag(0);
    caller->start_answer(answer->status, answer->reason, answer->lines, http::body_framing::length,
                         answer->body.size());
    caller->answer_body(answer->body);
    caller->end_answer();
    erase(effect.exchange);
}

void relay::execute(const routing::answer_caller& effect) {
    auto* const item = find(effect.exchange);
    if (item == nullptr || !item->caller) {
        return;
    }
    const auto caller = std::exchange(item->caller, nullptr);
    caller->set_tag(0);
    if (caller->answer_started()) {
        // Part of an answer has been sent already. A reset tells the caller that it is incomplete.
        on_event_(routing::connection_dropped{item->header.request, "answer was begun"});
        caller->abort();
        erase(effect.exchange);
        return;
    }
    auto status = effect.status;
    auto retry_after = effect.retry_after;
    if ((status == not_run_status || status == over_allowance_status) && item->may_have_run) {
        on_event_(routing::promise_withheld{item->header.request, effect.code});
        status = unknown_outcome_status;
        retry_after = std::chrono::milliseconds(0);
    }
    caller->answer_error(status, effect.code, base::name_of(effect.code),
                         dialect_.local_answer_fields(item->header.request, status, retry_after));
    erase(effect.exchange);
}

void relay::check_times() {
    relieve_memory();
    const auto now = http::client_connection::clock::now();
    for (auto at = pools_.begin(); at != pools_.end();) {
        at->second->check_times(now);
        const bool unused =
            at->second->connections() == 0 && at->second->waiting() == 0 && ended_attempts_.empty() && probes_.empty();
        at = unused ? pools_.erase(at) : std::next(at);
    }
}

} // namespace lovagetack::gateway
