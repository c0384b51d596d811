#include "soak/backend.hpp"

#include <algorithm>
#include <cstdlib>

#include <QJsonDocument>

#include "base/unix_time.hpp"

namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;
using stand_ins::exchange_pointer;

constexpr int slots = 2;
constexpr std::size_t queue_length = 8;
constexpr std::uint32_t keys = 65536;
/// Requests may reach an evacuated server this much longer than a server that leaves by itself.
constexpr auto additional_evacuation_time = 2500ms;
/// The platform allows a cold server its rate times this factor, plus the slack, in requests per second.
constexpr double cold_overshoot = 1.5;
constexpr double cold_slack = 8;

QJsonObject object_of(const exchange_pointer& exchange) {
    return QJsonDocument::fromJson(QByteArray::fromStdString(exchange->request().body)).object();
}

std::string header_of(const exchange_pointer& exchange, std::string_view name) {
    return std::string(exchange->request().header(name));
}

} // namespace

backend::backend(identity self, witness& witness, std::uint64_t seed)
    : self_(std::move(self)), witness_(witness), random_(seed) {}

base::result<void> backend::start() {
    timer_context_ = std::make_unique<QTimer>();
    server_ = std::make_unique<stand_ins::http_server>([this](const exchange_pointer& exchange) { handle(exchange); });
    BOOST_OUTCOME_TRY(address, server_->listen(address_));
    address_ = address;
    born_ = std::max<std::int64_t>(born_ + 1, base::unix_time_now().count());
    fault_ = backend_fault::none;
    leaving_ = false;
    leaving_since_ = clock::time_point::max();
    cold_until_ = {};
    cold_arrivals_.clear();
    accepted_fences_.assign(keys, 0);
    held_until_.assign(keys, {});
    running_ = 0;
    return base::success();
}

void backend::crash() {
    timer_context_.reset();
    queue_.clear();
    server_->close_connections(nullptr);
    server_.reset();
}

void backend::begin_leaving() {
    leaving_ = true;
}

void backend::make_cold(std::chrono::milliseconds time) {
    cold_until_ = clock::now() + time;
    cold_arrivals_.clear();
}

QJsonObject backend::registration() const {
    const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(cold_until_ - clock::now());
    return {
        {"address", QString::fromStdString(model::to_text(address_))},
        {"born", static_cast<qint64>(born_)},
        {"info", QJsonObject{{"service", QString::fromStdString(self_.service)},
                             {"version", "v1"},
                             {"zone", QString::fromStdString(self_.data_centre)},
                             {"slots", slots}}},
        {"status", QJsonObject{{"state", leaving_ ? "draining" : "ready"},
                               {"seq", 1},
                               {"cold_remaining_ms", static_cast<qint64>(std::max<std::int64_t>(0, cold.count()))}}}};
}

std::chrono::milliseconds backend::time_left(std::uint32_t key) const {
    if (!is_up()) {
        return 0ms;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(held_until_[key] - clock::now());
}

std::string backend::load() const {
    return std::to_string(running_) + ',' + std::to_string(queue_.size()) + ',' + std::to_string(slots);
}

void backend::handle(const exchange_pointer& exchange) {
    const auto expected = header_of(exchange, "Lovagetack-Expected-Instance");
    if (!expected.empty() && expected != self_.id) {
        refuse(exchange, 421);
        return;
    }
    const auto path = exchange->request().path();
    if (path == "/v1/grant") {
        grant(exchange);
        return;
    }
    if (path == "/v1/release") {
        release(exchange);
        return;
    }
    handle_request(exchange);
}

void backend::grant(const exchange_pointer& exchange) {
    const auto body = object_of(exchange);
    const auto first = static_cast<std::uint32_t>(body.value("from").toInt());
    const auto last = std::min(keys - 1, static_cast<std::uint32_t>(body.value("target").toInt()));
    const auto fence = static_cast<std::uint64_t>(body.value("fence").toDouble());
    const std::chrono::milliseconds hold(body.value("hold_ms").toInt());
    const auto begin = accepted_fences_.begin() + first;
    if (std::any_of(begin, accepted_fences_.begin() + last + 1, [fence](std::uint64_t seen) { return seen > fence; })) {
        exchange->answer(stand_ins::json_response(409, "{}"));
        return;
    }
    const auto now = clock::now();
    bool reported = false;
    for (auto key = first; key <= last; ++key) {
        const bool renewed = accepted_fences_[key] == fence;
        for (const auto& other : *backends_) {
            if (other.get() == this || other->self_.service != self_.service || !other->is_up() || reported) {
                continue;
            }
            if (const auto left = other->time_left(key); left > 0ms) {
                witness_.note_double_owner(key, self_.id, other->self_.id, left);
                reported = true;
            }
            if (!renewed && other->accepted_fences_[key] >= fence) {
                witness_.note_stale_fence(key, self_.id);
                reported = true;
            }
        }
        accepted_fences_[key] = fence;
        // Simulates a backend server whose clock runs 2% slow.
        held_until_[key] = now + hold * 102 / 100;
    }
    exchange->answer(stand_ins::json_response(200, "{}"));
}

void backend::release(const exchange_pointer& exchange) {
    const auto body = object_of(exchange);
    const auto first = static_cast<std::uint32_t>(body.value("from").toInt());
    const auto last = std::min(keys - 1, static_cast<std::uint32_t>(body.value("target").toInt()));
    std::fill(held_until_.begin() + first, held_until_.begin() + last + 1, clock::time_point());
    auto response = stand_ins::json_response(200, "{}");
    response.headers.emplace_back("Lovagetack-Handover", "handover-" + std::to_string(first));
    exchange->answer(response);
}

void backend::refuse(const exchange_pointer& exchange, int status) {
    auto response = stand_ins::json_response(status, "{}");
    response.headers.emplace_back("Lovagetack-Request-Id", header_of(exchange, "Lovagetack-Request-Id"));
    response.headers.emplace_back("Lovagetack-Not-Executed", "1");
    response.headers.emplace_back("Lovagetack-Server-Load", load());
    exchange->answer(response);
}

void backend::check_cold_rate() {
    const auto now = clock::now();
    if (now >= cold_until_) {
        return;
    }
    cold_arrivals_.push_back(now);
    while (now - cold_arrivals_.front() > 1s) {
        cold_arrivals_.pop_front();
    }
    const auto count = static_cast<int>(cold_arrivals_.size());
    if (count > cold_rate * cold_overshoot + cold_slack) {
        witness_.note_cold_excess(self_.id, count);
    }
}

void backend::handle_request(const exchange_pointer& exchange) {
    const auto id = header_of(exchange, "Lovagetack-Request-Id");
    if (!witness_.has_call(id)) {
        witness_.note_unknown_request(id, self_.id);
        refuse(exchange, 400);
        return;
    }
    if (leaving_since_ != clock::time_point::max()) {
        witness_.note_arrival_at_leaving(id, self_.id, leaving_since_);
    }
    if (evacuated_since_ != clock::time_point::max()) {
        witness_.note_arrival_at_leaving(id, self_.id, evacuated_since_ + additional_evacuation_time);
    }
    if (self_.keyed) {
        const auto key = std::strtoul(header_of(exchange, "Lovagetack-Shard-Key").c_str(), nullptr, 10);
        if (key >= keys || held_until_[key] <= clock::now()) {
            refuse(exchange, 421);
            return;
        }
    }
    check_cold_rate();
    if (fault_ == backend_fault::full || (running_ >= slots && queue_.size() >= queue_length)) {
        refuse(exchange, 503);
        return;
    }
    if (running_ >= slots) {
        queue_.push_back(exchange);
        return;
    }
    run(exchange);
}

void backend::run(const exchange_pointer& exchange) {
    const auto id = header_of(exchange, "Lovagetack-Request-Id");
    ++running_;
    witness_.note_run(id, self_.id);
    std::chrono::milliseconds work(10 + random_() % 60);
    if (fault_ == backend_fault::resets || fault_ == backend_fault::silent) {
        witness_.note_aborted(id);
    }
    if (fault_ == backend_fault::silent) {
        // The request occupies its slot until the server abandons it.
        QTimer::singleShot(1500ms, timer_context_.get(), [this, exchange] {
            exchange->close();
            release_slot();
        });
        return;
    }
    if (fault_ == backend_fault::slow) {
        work *= 5;
    }
    QTimer::singleShot(work, timer_context_.get(), [this, exchange, id] { finish(exchange, id); });
}

void backend::finish(const exchange_pointer& exchange, const std::string& id) {
    if (fault_ == backend_fault::resets) {
        exchange->close();
        release_slot();
        return;
    }
    stand_ins::http_response response;
    response.headers.emplace_back("Lovagetack-Request-Id", id);
    response.headers.emplace_back("Lovagetack-Response-Signature", "signed-" + id);
    response.headers.emplace_back("Lovagetack-Server-Load", load());
    response.headers.emplace_back("Keep-Alive", "timeout=5");
    response.status = fault_ == backend_fault::fails ? 500 : 200;
    response.body = "body of " + id;
    if (fault_ == backend_fault::cuts) {
        witness_.note_aborted(id);
        response.generated = stand_ins::generated_body{id, 2000, 700};
    }
    exchange->answer(response);
    release_slot();
}

void backend::release_slot() {
    --running_;
    while (running_ < slots && !queue_.empty()) {
        const auto next = queue_.front();
        queue_.pop_front();
        // Requests whose caller has disconnected are not executed.
        if (next->connection() != nullptr) {
            run(next);
        }
    }
}

} // namespace lovagetack::soak
