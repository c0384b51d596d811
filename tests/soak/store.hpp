#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <QJsonArray>
#include <QJsonObject>
#include <QTimer>

#include "model/address.hpp"
#include "stand_ins/http_server.hpp"

namespace lovagetack::soak {

/// Faults that the store currently injects.
struct store_faults {
    /// All calls are refused with 503.
    bool down = false;
    /// Fraction of the writes that are committed, but whose answer is lost.
    double lost_answers = 0;
    /// Fraction of the writes that are committed 1 to 5 s later, without an answer.
    double late_writes = 0;
    std::chrono::milliseconds delay{4};
};

/// Stand-in for the platform's store: rows with versions, conditional transactions and feeds.
class store {
public:
    explicit store(std::uint64_t seed);

    [[nodiscard]] base::result<model::address> listen();
    void set_faults(const store_faults& faults) { faults_ = faults; }
    /// Discards all changes so far; feeds that continue from an earlier version get 410.
    void discard_history();
    /// Refuses all calls with 503 until the store is restored; waiting feeds end without an answer.
    void go_away();
    /// Continues from a copy of the given time, or the oldest one, in a new era. Operators and backend servers then
    /// repeat the direct writes that the copy lacks.
    void restore(std::chrono::steady_clock::time_point copied_at);

    // Direct writes of operators and backend servers; they fail only while the store is down or away.
    bool put(const std::string& table, const std::string& key, const QJsonObject& value);
    bool remove(const std::string& table, const std::string& key);

private:
    using row_id = std::pair<std::string, std::string>;

    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    struct change {
        std::uint64_t version = 0;
        row_id id;
        bool deleted = false;
    };

    struct copy {
        std::chrono::steady_clock::time_point at;
        std::map<row_id, row> rows;
        std::uint64_t version = 0;
    };

    struct waiting_feed {
        stand_ins::exchange_pointer exchange;
        std::string table;
        std::uint64_t after = 0;
        std::uint64_t number = 0;
    };

    [[nodiscard]] bool is_down() const { return faults_.down || away_; }
    bool write_directly(const row_id& id, const std::optional<std::string>& value);
    void repeat_direct_write(const row_id& id);
    void take_copy();

    void handle(const stand_ins::exchange_pointer& exchange);
    void answer_later(const stand_ins::exchange_pointer& exchange, int status, const QJsonObject& body);
    void read(const stand_ins::exchange_pointer& exchange);
    void feed(const stand_ins::exchange_pointer& exchange);
    void write(const stand_ins::exchange_pointer& exchange);
    [[nodiscard]] QJsonArray conflicts(const QJsonObject& body) const;
    void commit(const QJsonObject& body);
    void append_change(const row_id& id, bool deleted);
    void wake_feeds();
    [[nodiscard]] QJsonArray changes_after(const std::string& table, std::uint64_t after) const;
    [[nodiscard]] QJsonObject row_object(const row_id& id) const;
    [[nodiscard]] QJsonObject envelope() const;
    double chance() { return static_cast<double>(random_() % 10000) / 10000.0; }

    stand_ins::http_server server_;
    store_faults faults_;
    std::mt19937_64 random_;
    std::map<row_id, row> rows_;
    std::deque<change> history_;
    std::uint64_t version_ = 0;
    /// Counts the restorations.
    std::uint64_t era_ = 1;
    bool away_ = false;
    /// Ascending by time.
    std::deque<copy> copies_;
    /// Newest direct write of each row; nothing if it removed the row.
    std::map<row_id, std::optional<std::string>> direct_writes_;
    /// Changes up to this version have been discarded.
    std::uint64_t discarded_version_ = 0;
    std::list<waiting_feed> feeds_;
    std::uint64_t last_feed_number_ = 0;
    QTimer copy_timer_;
    QTimer context_;
};

} // namespace lovagetack::soak
