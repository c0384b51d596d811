#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <QJsonObject>
#include <QTimer>

#include "model/address.hpp"
#include "soak/witness.hpp"
#include "stand_ins/http_server.hpp"

namespace lovagetack::soak {

/// How a backend server misbehaves; one of these at a time.
enum class backend_fault : std::uint8_t {
    none,
    /// Works five times as long.
    slow,
    /// Begins a request and resets its connection.
    resets,
    /// Begins a request and never answers.
    silent,
    /// Ends its answers early.
    cuts,
    /// Refuses all requests as full.
    full,
    /// Answers 500.
    fails,
};

/// Stand-in for a backend server of the platform, which reports what it sees to the witness.
class backend {
public:
    struct identity {
        std::string id;
        std::string service;
        std::string data_centre;
        bool keyed = false;
    };

    backend(identity self, witness& witness, std::uint64_t seed);

    /// The others of its service, for the check of double owners.
    void set_others(const std::vector<std::unique_ptr<backend>>& all) { all_ = &all; }

    /// Begins a new life at the address of the last one, or a free one.
    [[nodiscard]] base::result<void> start();
    /// Drops all connections and stops listening.
    void crash();
    void set_fault(backend_fault fault) { fault_ = fault; }
    void begin_leaving();
    /// Requests arrive too late when drain time has passed since; the time at which the store took the report.
    void note_leaving() { leaving_since_ = clock::now(); }
    void note_evacuated(bool evacuated) { evacuated_since_ = evacuated ? clock::now() : clock::time_point::max(); }
    [[nodiscard]] bool is_leaving() const { return leaving_; }
    void make_cold(std::chrono::milliseconds time);

    [[nodiscard]] const identity& self() const { return self_; }
    [[nodiscard]] bool is_up() const { return server_ != nullptr; }
    [[nodiscard]] QJsonObject registration() const;
    [[nodiscard]] std::chrono::milliseconds time_left(std::uint32_t key) const;

    /// Requests per second that a cold one bears, as the configuration says.
    static constexpr double cold_rate = 6.0;

private:
    void handle(const stand_ins::exchange_pointer& exchange);
    void grant(const stand_ins::exchange_pointer& exchange);
    void release(const stand_ins::exchange_pointer& exchange);
    void take_request(const stand_ins::exchange_pointer& exchange);
    void run(const stand_ins::exchange_pointer& exchange);
    void finish(const stand_ins::exchange_pointer& exchange, const std::string& id);
    void end_one();
    void check_cold();
    void refuse(const stand_ins::exchange_pointer& exchange, int status);
    [[nodiscard]] std::string load() const;

    identity self_;
    witness& witness_;
    const std::vector<std::unique_ptr<backend>>* all_ = nullptr;
    std::mt19937_64 random_;
    model::address address_{"127.0.0.1", 0};
    std::unique_ptr<stand_ins::http_server> server_;
    /// Receives the timers of one life.
    std::unique_ptr<QTimer> life_;
    std::int64_t born_ = 0;
    backend_fault fault_ = backend_fault::none;
    bool leaving_ = false;
    clock::time_point leaving_since_ = clock::time_point::max();
    clock::time_point evacuated_since_ = clock::time_point::max();
    clock::time_point cold_until_;
    std::deque<clock::time_point> cold_arrivals_;
    std::vector<std::uint64_t> seen_tokens_;
    std::vector<clock::time_point> held_until_;
    std::deque<stand_ins::exchange_pointer> queue_;
    int running_ = 0;
};

} // namespace lovagetack::soak
