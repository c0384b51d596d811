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

/// Fault of a backend server; at most one is active at a time.
enum class backend_fault : std::uint8_t {
    none,
    /// Takes five times as long for a request.
    slow,
    /// Executes a request, then resets its connection without an answer.
    resets,
    /// Starts a request and never answers; closes the connection after 1.5 s.
    silent,
    /// Truncates its answers.
    cuts,
    /// Refuses all requests with 503, as if its queue were full.
    full,
    /// Answers 500.
    fails,
};

/// Stand-in for a backend server of the platform; reports requests and grants to the witness.
class backend {
public:
    struct identity {
        std::string id;
        std::string service;
        std::string data_centre;
        bool keyed = false;
    };

    backend(identity self, witness& witness, std::uint64_t seed);

    /// Sets all backend servers of the run, for the check that a key has one owner.
    void set_backends(const std::vector<std::unique_ptr<backend>>& backends) { backends_ = &backends; }

    /// Starts a new incarnation at the address of the previous one, or at a free port the first time.
    [[nodiscard]] base::result<void> start();
    /// Drops all connections and stops listening.
    void crash();
    void set_fault(backend_fault fault) { fault_ = fault; }
    void begin_leaving();
    /// Records when the store accepted that this server leaves; a request that arrives later than the drain time
    /// after it is a violation.
    void note_leaving_stored() { leaving_since_ = clock::now(); }
    void note_evacuated(bool evacuated) { evacuated_since_ = evacuated ? clock::now() : clock::time_point::max(); }
    [[nodiscard]] bool is_leaving() const { return leaving_; }
    void make_cold(std::chrono::milliseconds time);

    [[nodiscard]] const identity& self() const { return self_; }
    [[nodiscard]] bool is_up() const { return server_ != nullptr; }
    [[nodiscard]] QJsonObject registration() const;
    [[nodiscard]] std::chrono::milliseconds time_left(std::uint32_t key) const;

    /// Requests per second allowed to a cold server by the configuration.
    static constexpr double cold_rate = 6.0;

private:
    void handle(const stand_ins::exchange_pointer& exchange);
    void grant(const stand_ins::exchange_pointer& exchange);
    void release(const stand_ins::exchange_pointer& exchange);
    void handle_request(const stand_ins::exchange_pointer& exchange);
    void run(const stand_ins::exchange_pointer& exchange);
    void finish(const stand_ins::exchange_pointer& exchange, const std::string& id);
    void release_slot();
    void check_cold_rate();
    void refuse(const stand_ins::exchange_pointer& exchange, int status);
    [[nodiscard]] std::string load() const;

    identity self_;
    witness& witness_;
    const std::vector<std::unique_ptr<backend>>* backends_ = nullptr;
    std::mt19937_64 random_;
    model::address address_{"127.0.0.1", 0};
    std::unique_ptr<stand_ins::http_server> server_;
    /// Context object of the timers of one incarnation; destroying it cancels them.
    std::unique_ptr<QTimer> timer_context_;
    std::int64_t born_ = 0;
    backend_fault fault_ = backend_fault::none;
    bool leaving_ = false;
    clock::time_point leaving_since_ = clock::time_point::max();
    clock::time_point evacuated_since_ = clock::time_point::max();
    clock::time_point cold_until_;
    std::deque<clock::time_point> cold_arrivals_;
    std::vector<std::uint64_t> accepted_fences_;
    std::vector<clock::time_point> held_until_;
    std::deque<stand_ins::exchange_pointer> queue_;
    int running_ = 0;
};

} // namespace lovagetack::soak
