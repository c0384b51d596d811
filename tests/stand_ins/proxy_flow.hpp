#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>

#include <QByteArray>
#include <QTcpSocket>

#include "base/boot_time.hpp"
#include "stand_ins/link_condition.hpp"

namespace lovagetack::stand_ins {

/// One direction of a proxied connection. Buffers are bounded, so that back-pressure passes through.
class proxy_flow {
public:
    /// Calls pump() of this flow at a time.
    using wake_up = std::function<void(base::boot_time)>;

    proxy_flow(QTcpSocket& from, QTcpSocket& to, link_condition& condition, link_mode drop_mode,
               std::int64_t& passed_bytes, std::int64_t& dropped_bytes);

    void set_wake_up(wake_up call) { wake_up_ = std::move(call); }
    /// Moves what can be moved now.
    void pump();
    /// The sender closed its side.
    void source_closed();
    /// From now on everything is swallowed.
    void silence() { silent_ = true; }
    /// Bytes are missing in the stream, so that it must not go on.
    [[nodiscard]] bool lost_bytes() const { return lost_bytes_; }

private:
    struct block {
        base::boot_time due;
        QByteArray bytes;
    };

    [[nodiscard]] bool swallows() const { return silent_ || condition_.mode == drop_mode_; }
    void swallow();
    void take_in();
    void pass_on();
    [[nodiscard]] base::boot_time due_time();

    QTcpSocket& from_;
    QTcpSocket& to_;
    link_condition& condition_;
    link_mode drop_mode_;
    std::int64_t& passed_bytes_;
    std::int64_t& dropped_bytes_;
    wake_up wake_up_;
    std::deque<block> blocks_;
    std::int64_t waiting_bytes_ = 0;
    base::boot_time latest_due_;
    base::boot_time woken_at_;
    bool silent_ = false;
    bool lost_bytes_ = false;
    bool ended_ = false;
};

} // namespace lovagetack::stand_ins
