#pragma once

#include <functional>
#include <memory>

#include <QSocketNotifier>

namespace lovagetack::service {

/// Delivers SIGTERM, SIGINT and SIGHUP in the event loop (signalfd), so that no code runs in a signal handler. A
/// process may have only one watcher.
class signal_watcher {
public:
    /// SIGHUP is ignored when on_reload is empty.
    explicit signal_watcher(std::function<void()> on_stop, std::function<void()> on_reload = {});
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;
    ~signal_watcher();

private:
    int descriptor_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace lovagetack::service
