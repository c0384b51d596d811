#include "service/signal_watcher.hpp"

#include <csignal>
#include <utility>

#include <sys/signalfd.h>
#include <unistd.h>

namespace lovagetack::service {

signal_watcher::signal_watcher(std::function<void()> on_signal) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    descriptor_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                     [descriptor = descriptor_, handler = std::move(on_signal)] {
                         signalfd_siginfo information{};
                         while (read(descriptor, &information, sizeof information) == sizeof information) {
                             handler();
                         }
                     });
}

signal_watcher::~signal_watcher() {
    notifier_.reset();
    close(descriptor_);
}

} // namespace lovagetack::service
