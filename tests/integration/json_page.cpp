#include "integration/json_page.hpp"

#include <stdexcept>

#include <QJsonDocument>

#include "integration/http_call.hpp"

namespace lovagetack::harness {

QJsonObject json_page(const std::string& address, const std::string& target) {
    const auto result = http_get(address, target);
    if (result.end != call_end::answered || result.status != 200) {
        return {};
    }
    return QJsonDocument::fromJson(QByteArray::fromStdString(result.body)).object();
}

void post_order(const std::string& address, const std::string& target, const std::string& body) {
    const auto result = http_post(address, target, body);
    if (result.end != call_end::answered || result.status != 200) {
        throw std::runtime_error("order " + body + " was answered with " + std::to_string(result.status));
    }
}

std::string text_of(const QJsonObject& object, const char* name) {
    return object.value(QLatin1StringView(name)).toString().toStdString();
}

} // namespace lovagetack::harness
