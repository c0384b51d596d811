#pragma once

#include <functional>
#include <utility>

#include <QCoreApplication>
#include <QEvent>
#include <QObject>

namespace lovagetack::http {

/// Calls functions from the event loop; those that were not called yet are dropped on destruction.
class deferred_calls final : public QObject {
public:
    void post(std::function<void()> function) { QCoreApplication::postEvent(this, new call(std::move(function))); }

    bool event(QEvent* posted) override {
        const auto* const found = dynamic_cast<call*>(posted);
        if (found == nullptr) {
            return QObject::event(posted);
        }
        // The function may destroy this object, so nothing is touched after it.
        found->function();
        return true;
    }

private:
    struct call final : QEvent {
        explicit call(std::function<void()> value) : QEvent(QEvent::User), function(std::move(value)) {}
        std::function<void()> function;
    };
};

} // namespace lovagetack::http
