#pragma once

#include <functional>
#include <utility>

#include <QCoreApplication>
#include <QEvent>
#include <QObject>

namespace lovagetack::http {

/// Calls functions from the event loop. Destruction drops the functions that have not been called yet.
class deferred_calls final : public QObject {
public:
    void post(std::function<void()> function) { QCoreApplication::postEvent(this, new call(std::move(function))); }

    bool event(QEvent* posted) override {
        const auto* const found = dynamic_cast<call*>(posted);
        if (found == nullptr) {
            return QObject::event(posted);
        }
        // The function may destroy this object, which must not be accessed afterwards.
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
