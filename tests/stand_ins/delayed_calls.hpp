#pragma once

#include <chrono>
#include <functional>
#include <map>

#include <QTimer>

#include "base/boot_time.hpp"

namespace lovagetack::stand_ins {

/// Calls functions on the event loop at given times; calls for the same time run in the order in which they were added.
class delayed_calls {
public:
    delayed_calls();

    void call_at(base::boot_time due, std::function<void()> call);
    void call_after(std::chrono::microseconds delay, std::function<void()> call);

private:
    void run_due();
    void schedule();

    std::multimap<base::boot_time, std::function<void()>> calls_;
    QTimer timer_;
};

} // namespace lovagetack::stand_ins
