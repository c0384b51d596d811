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

/// One direction of a proxied connection. Buffers are bounded, so that back-pressure reaches the sender.
class proxy_flow {
public:
    /// Schedules a call of pump() of this flow at the given time.
    using pump_scheduler = std::function<void(base::boot_time)>;

    proxy_flow(QTcpSocket& from, QTcpSocket& to, link_condition& condition, link_mode drop_mode,
               std::int64_t& forwarded_bytes, std::int64_t& dropped_bytes);

    void set_pump_scheduler(pump_scheduler call) { pump_scheduler_ = std::move(call); }
    /// Reads from the source and writes the blocks that are due, as far as the buffers allow now.
    void pump();
    /// Called when the source socket is closed.
    void source_closed();
    /// Discards all bytes from now on.
    void silence() { silent_ = true; }
    /// True when bytes of the stream were lost; the connection must not be used again.
    [[nodiscard]] bool lost_bytes() const { return lost_bytes_; }

private:
    struct block {
        base::boot_time due;
        QByteArray bytes;
    };

    [[nodiscard]] bool discards() const { return silent_ || condition_.mode == drop_mode_; }
    void discard();
    void read_source();
    void write_due_blocks();
    [[nodiscard]] base::boot_time due_time();

    QTcpSocket& from_;
    QTcpSocket& to_;
    link_condition& condition_;
    link_mode drop_mode_;
    std::int64_t& forwarded_bytes_;
    std::int64_t& dropped_bytes_;
    pump_scheduler pump_scheduler_;
    std::deque<block> blocks_;
    std::int64_t waiting_bytes_ = 0;
    base::boot_time latest_due_;
    base::boot_time scheduled_pump_;
    bool silent_ = false;
    bool lost_bytes_ = false;
    bool source_closed_ = false;
};

} // namespace lovagetack::stand_ins
