#include "routing/lease_row.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/json.hpp"

namespace lovagetack::routing {
namespace {

constexpr auto holds_until = "holds_until";
constexpr auto counters = "counters";
constexpr auto earlier_renewals_until = "earlier_renewals_until";
/// A time of the store's clock, in milliseconds, that does not come. A JSON number holds it exactly.
constexpr std::int64_t never = std::int64_t(1) << 52;

} // namespace

std::string lease_text(const keeper_lease& lease, bool divided) {
    auto row = lease;
    if (divided) {
        row.until = never;
    }
    auto json = base::to_json(row).toObject();
    if (divided) {
        json.insert(holds_until, static_cast<qint64>(lease.until));
    }
    if (!lease.counters.empty()) {
        json.insert(counters, base::to_json(lease.counters));
    }
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<keeper_lease> read_lease_text(const std::string& text) {
    keeper_lease lease;
    if (!base::from_json_text(text, lease)) {
        return std::nullopt;
    }
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    if (json.contains(holds_until)) {
        lease.until = json.value(holds_until).toInteger();
    }
    base::from_json(json.value(counters), lease.counters);
    if (!json.contains(earlier_renewals_until)) {
        // Builds without the field give one time for all holders.
        lease.earlier_renewals_until = lease.renewals_until;
    }
    return lease;
}

} // namespace lovagetack::routing
