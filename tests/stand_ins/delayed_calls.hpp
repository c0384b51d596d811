#pragma once

#include <chrono>
#include <functional>
#include <map>

#include <QTimer>

#include "base/boot_time.hpp"

namespace lovagetack::stand_ins {

/// Calls functions later on the event loop, in the order of their times; calls for the same time keep their order.
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
