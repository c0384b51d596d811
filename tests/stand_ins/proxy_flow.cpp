#include "stand_ins/proxy_flow.hpp"

#include <algorithm>

namespace lovagetack::stand_ins {

namespace {

constexpr std::int64_t buffer_bytes = 256LL * 1024;
constexpr std::int64_t block_bytes = 64LL * 1024;

} // namespace

proxy_flow::proxy_flow(QTcpSocket& from, QTcpSocket& to, link_condition& condition, link_mode drop_mode,
                       std::int64_t& forwarded_bytes, std::int64_t& dropped_bytes)
    : from_(from), to_(to), condition_(condition), drop_mode_(drop_mode), forwarded_bytes_(forwarded_bytes),
      dropped_bytes_(dropped_bytes) {
    from_.setReadBufferSize(buffer_bytes);
}

void proxy_flow::pump() {
    if (discards()) {
        discard();
        return;
    }
    read_source();
    write_due_blocks();
    if (source_closed_ && blocks_.empty() && from_.bytesAvailable() == 0) {
        to_.disconnectFromHost();
    }
}

void proxy_flow::source_closed() {
    if (discards()) {
        lost_bytes_ = true;
        return;
    }
    source_closed_ = true;
    pump();
}

void proxy_flow::discard() {
    const auto count = from_.readAll().size() + waiting_bytes_;
    blocks_.clear();
    waiting_bytes_ = 0;
    dropped_bytes_ += count;
    lost_bytes_ = lost_bytes_ || count > 0;
}

void proxy_flow::read_source() {
    while (from_.bytesAvailable() > 0 && waiting_bytes_ + to_.bytesToWrite() < buffer_bytes) {
        block next{due_time(), from_.read(block_bytes)};
        waiting_bytes_ += next.bytes.size();
        blocks_.push_back(std::move(next));
    }
}

void proxy_flow::write_due_blocks() {
    if (to_.state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const auto now = base::boot_clock::now();
    while (!blocks_.empty() && blocks_.front().due <= now) {
        const QByteArray& bytes = blocks_.front().bytes;
        to_.write(bytes);
        forwarded_bytes_ += bytes.size();
        waiting_bytes_ -= bytes.size();
        blocks_.pop_front();
    }
    to_.flush();
    if (!blocks_.empty() && blocks_.front().due != scheduled_pump_) {
        scheduled_pump_ = blocks_.front().due;
        pump_scheduler_(scheduled_pump_);
    }
}

base::boot_time proxy_flow::due_time() {
    auto due = base::boot_clock::now();
    if (condition_.mode == link_mode::delay) {
        std::uniform_int_distribution<std::int64_t> jitter(0, condition_.jitter.count());
        due += condition_.delay + std::chrono::milliseconds(jitter(condition_.random));
    }
    latest_due_ = std::max(latest_due_, due);
    return latest_due_;
}

} // namespace lovagetack::stand_ins
