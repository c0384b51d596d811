#include "soak/store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <set>

#include <QJsonDocument>
#include <QUrl>

namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;
using stand_ins::exchange_pointer;

constexpr auto copy_interval = 200ms;
/// Longer than the age of the oldest copy that is drawn.
constexpr auto copy_lifetime = 15s;
constexpr int longest_operator_pause = 300;
/// Backend servers are back in the registry about this many milliseconds after the store returned.
constexpr int longest_registration_pause = 2000;

std::string decoded(std::string_view text) {
    return QUrl::fromPercentEncoding(QByteArray(text.data(), static_cast<int>(text.size()))).toStdString();
}

std::uint64_t number(std::string_view text) {
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

std::string text_of(const QJsonObject& object, const char* name) {
    return object.value(QLatin1String(name)).toString().toStdString();
}

QByteArray compact(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::int64_t steady_milliseconds() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

store::store(std::uint64_t seed)
    : server_([this](const exchange_pointer& exchange) { handle(exchange); }), random_(seed) {
    QObject::connect(&copy_timer_, &QTimer::timeout, &copy_timer_, [this] { take_copy(); });
    copy_timer_.start(copy_interval);
}

base::result<model::address> store::listen() {
    return server_.listen({"127.0.0.1", 0});
}

void store::discard_history() {
    discarded_version_ = version_;
    history_.clear();
}

void store::take_copy() {
    const auto now = std::chrono::steady_clock::now();
    copies_.push_back({now, rows_, version_});
    while (now - copies_.front().at > copy_lifetime) {
        copies_.pop_front();
    }
}

void store::go_away() {
    away_ = true;
    for (const auto& feed : feeds_) {
        feed.exchange->close();
    }
    feeds_.clear();
}

void store::restore(std::chrono::steady_clock::time_point copied_at) {
    const auto later =
        std::find_if(copies_.begin(), copies_.end(), [&](const copy& taken) { return taken.at > copied_at; });
    const auto& restored = later == copies_.begin() ? *later : *std::prev(later);
    rows_ = restored.rows;
    version_ = restored.version;
    discard_history();
    ++era_;
    away_ = false;
    const std::chrono::milliseconds operator_pause(random_() % longest_operator_pause);
    for (const auto& [id, value] : direct_writes_) {
        const std::chrono::milliseconds registration_pause(random_() % longest_registration_pause);
        QTimer::singleShot(id.first == "op" ? operator_pause : registration_pause, &context_,
                           [this, id = id] { repeat_direct_write(id); });
    }
}

bool store::put(const std::string& table, const std::string& key, const QJsonObject& value) {
    return write_directly({table, key}, compact(value).toBase64().toStdString());
}

bool store::remove(const std::string& table, const std::string& key) {
    return write_directly({table, key}, std::nullopt);
}

bool store::write_directly(const row_id& id, const std::optional<std::string>& value) {
    if (is_down()) {
        return false;
    }
    direct_writes_[id] = value;
    if (!value && !rows_.contains(id)) {
        return true;
    }
    ++version_;
    if (value) {
        rows_[id] = {*value, version_};
    } else {
        rows_.erase(id);
    }
    append_change(id, !value);
    wake_feeds();
    return true;
}

void store::repeat_direct_write(const row_id& id) {
    if (is_down()) {
        QTimer::singleShot(100ms, &context_, [this, id] { repeat_direct_write(id); });
        return;
    }
    const auto value = direct_writes_.at(id);
    const auto row = rows_.find(id);
    const bool is_stored = row == rows_.end() ? !value : value == row->second.value;
    if (!is_stored) {
        write_directly(id, value);
    }
}

void store::handle(const exchange_pointer& exchange) {
    if (is_down()) {
        answer_later(exchange, 503, {});
        return;
    }
    const auto path = exchange->request().path();
    if (path == "/v1/rows-get") {
        read(exchange);
        return;
    }
    if (path == "/v1/rows-feed") {
        feed(exchange);
        return;
    }
    if (path == "/v1/rows-tx") {
        write(exchange);
        return;
    }
    answer_later(exchange, 404, {});
}

void store::answer_later(const exchange_pointer& exchange, int status, const QJsonObject& body) {
    auto response = stand_ins::json_response(status, compact(body).toStdString());
    response.headers.emplace_back("Store-Era", std::to_string(era_));
    QTimer::singleShot(faults_.delay, &context_, [exchange, response] { exchange->answer(response); });
}

QJsonObject store::envelope() const {
    return {{"ver", static_cast<qint64>(version_)}, {"now_ms", static_cast<qint64>(steady_milliseconds())}};
}

QJsonObject store::row_object(const row_id& id) const {
    QJsonObject object{
        {"table", QString::fromStdString(id.first)}, {"part", QString()}, {"key", QString::fromStdString(id.second)}};
    if (const auto found = rows_.find(id); found != rows_.end()) {
        object.insert("value", QString::fromStdString(found->second.value));
        object.insert("ver", static_cast<qint64>(found->second.version));
    }
    return object;
}

void store::read(const exchange_pointer& exchange) {
    const auto table = decoded(exchange->request().query("table"));
    const auto from = decoded(exchange->request().query("from"));
    const auto end = decoded(exchange->request().query("target"));
    const auto limit = std::max<std::uint64_t>(1, number(exchange->request().query("limit")));
    QJsonArray rows;
    auto at = rows_.lower_bound({table, from});
    const auto is_in_range = [&] {
        return at != rows_.end() && at->first.first == table && (end.empty() || at->first.second < end);
    };
    for (; is_in_range() && static_cast<std::uint64_t>(rows.size()) < limit; ++at) {
        rows.append(row_object(at->first));
    }
    auto body = envelope();
    body.insert("rows", rows);
    body.insert("has_more", is_in_range());
    answer_later(exchange, 200, body);
}

QJsonArray store::changes_after(const std::string& table, std::uint64_t after) const {
    // Only the newest change of each row is returned.
    std::map<std::uint64_t, row_id> newest;
    std::set<row_id> seen;
    for (auto at = history_.rbegin(); at != history_.rend() && at->version > after; ++at) {
        if (at->id.first == table && seen.insert(at->id).second) {
            newest[at->version] = at->id;
        }
    }
    QJsonArray rows;
    for (const auto& [version, id] : newest) {
        auto object = row_object(id);
        if (!rows_.contains(id)) {
            object.insert("deleted", true);
            object.insert("ver", static_cast<qint64>(version));
        }
        rows.append(object);
    }
    return rows;
}

void store::feed(const exchange_pointer& exchange) {
    const auto table = decoded(exchange->request().query("table"));
    const auto after = number(exchange->request().query("after"));
    if (after < discarded_version_ || after > version_) {
        answer_later(exchange, 410, {});
        return;
    }
    const std::chrono::milliseconds wait(number(exchange->request().query("wait_ms")));
    feeds_.push_back({exchange, table, after, ++last_feed_number_});
    const auto feed_number = last_feed_number_;
    wake_feeds();
    QTimer::singleShot(wait, &context_, [this, feed_number] {
        for (auto at = feeds_.begin(); at != feeds_.end(); ++at) {
            if (at->number == feed_number) {
                auto body = envelope();
                body.insert("rows", QJsonArray());
                answer_later(at->exchange, 200, body);
                feeds_.erase(at);
                return;
            }
        }
    });
}

void store::wake_feeds() {
    for (auto at = feeds_.begin(); at != feeds_.end();) {
        const auto rows = changes_after(at->table, at->after);
        if (rows.isEmpty()) {
            ++at;
            continue;
        }
        auto body = envelope();
        body.insert("rows", rows);
        answer_later(at->exchange, 200, body);
        at = feeds_.erase(at);
    }
}

void store::append_change(const row_id& id, bool deleted) {
    history_.push_back({version_, id, deleted});
}

QJsonArray store::conflicts(const QJsonObject& body) const {
    QJsonArray found;
    for (const auto& item : body.value("expect").toArray()) {
        const auto expected = item.toObject();
        const row_id id{text_of(expected, "table"), text_of(expected, "key")};
        const auto row = rows_.find(id);
        const auto version = row == rows_.end() ? 0 : row->second.version;
        if (version != static_cast<std::uint64_t>(expected.value("ver").toDouble())) {
            found.append(row_object(id));
        }
    }
    return found;
}

void store::commit(const QJsonObject& body) {
    ++version_;
    for (const auto& item : body.value("puts").toArray()) {
        const auto put = item.toObject();
        const row_id id{text_of(put, "table"), text_of(put, "key")};
        rows_[id] = {text_of(put, "value"), version_};
        append_change(id, false);
    }
    for (const auto& item : body.value("remove").toArray()) {
        const auto removed = item.toObject();
        const row_id id{text_of(removed, "table"), text_of(removed, "key")};
        rows_.erase(id);
        append_change(id, true);
    }
    wake_feeds();
}

void store::write(const exchange_pointer& exchange) {
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(exchange->request().body)).object();
    if (chance() < faults_.late_writes) {
        const std::chrono::milliseconds delay(1000 + random_() % 4000);
        QTimer::singleShot(delay, &context_, [this, body] {
            if (!is_down() && conflicts(body).isEmpty()) {
                commit(body);
            }
        });
        QTimer::singleShot(faults_.delay, &context_, [exchange] { exchange->close(); });
        return;
    }
    if (const auto rows = conflicts(body); !rows.isEmpty()) {
        auto answer = envelope();
        answer.insert("rows", rows);
        answer_later(exchange, 412, answer);
        return;
    }
    commit(body);
    if (chance() < faults_.lost_answers) {
        QTimer::singleShot(faults_.delay, &context_, [exchange] { exchange->close(); });
        return;
    }
    answer_later(exchange, 200, envelope());
}

} // namespace lovagetack::soak
