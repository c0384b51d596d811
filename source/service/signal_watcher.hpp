#pragma once

#include <functional>
#include <memory>

#include <QSocketNotifier>

namespace lovagetack::service {

/// Delivers SIGTERM and SIGINT in the event loop (signalfd), so that no code runs in a signal handler. There is one
/// watcher in a process.
class signal_watcher {
public:
    explicit signal_watcher(std::function<void()> on_signal);
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;
    ~signal_watcher();

private:
    int descriptor_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace lovagetack::service
