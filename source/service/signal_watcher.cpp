#include "service/signal_watcher.hpp"

#include <csignal>
#include <utility>

#include <sys/signalfd.h>
#include <unistd.h>

namespace lovagetack::service {

signal_watcher::signal_watcher(std::function<void()> on_stop, std::function<void()> on_reload) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    descriptor_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                     [descriptor = descriptor_, stop = std::move(on_stop), reload = std::move(on_reload)] {
                         signalfd_siginfo information{};
                         while (read(descriptor, &information, sizeof information) == sizeof information) {
                             if (information.ssi_signo != SIGHUP) {
                                 stop();
                             } else if (reload) {
                                 reload();
                             }
                         }
                     });
}

signal_watcher::~signal_watcher() {
    notifier_.reset();
    close(descriptor_);
}

} // namespace lovagetack::service
