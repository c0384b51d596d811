#include "routing/assignment_rows.hpp"

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/json.hpp"

namespace lovagetack::routing {
namespace {

using range_iterator = std::vector<key_range>::const_iterator;

std::string text_of(const QJsonObject& json) {
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject object_of(const std::string& text) {
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

/// Servers that the ranges of a part name, each stored once.
class server_list {
public:
    qint64 index_of(const model::backend_server_id& id, std::uint64_t born) {
        const auto [found, is_new] = indices_.try_emplace({id, born}, json_.size());
        if (is_new) {
            json_.append(QJsonArray{QString::fromStdString(id.value()), static_cast<qint64>(born)});
        }
        return found->second;
    }
    [[nodiscard]] const QJsonArray& json() const { return json_; }

private:
    std::map<std::pair<model::backend_server_id, std::uint64_t>, qint64> indices_;
    QJsonArray json_;
};

/// Ranges are arrays of first key, owner, fencing token and, while they move, leaving owner and its token. Each range
/// ends before the next one.
QJsonObject encode_part(range_iterator begin, range_iterator end) {
    server_list servers;
    QJsonArray ranges;
    for (auto at = begin; at != end; ++at) {
        QJsonArray range{static_cast<qint64>(at->first), servers.index_of(at->owner, at->owner_born),
                         static_cast<qint64>(at->fence)};
        if (at->moving()) {
            range.append(servers.index_of(at->leaving, at->leaving_born));
            range.append(static_cast<qint64>(at->leaving_fence));
        }
        ranges.append(range);
    }
    return {{"last", static_cast<qint64>(std::prev(end)->last)}, {"servers", servers.json()}, {"ranges", ranges}};
}

/// False if the part cannot be read.
bool decode_part(const QJsonObject& json, std::vector<key_range>& ranges) {
    const auto servers = json.value("servers").toArray();
    const auto read_server = [&servers](const QJsonValue& index, model::backend_server_id& id, std::uint64_t& born) {
        const auto server = servers.at(static_cast<qsizetype>(index.toInteger(-1))).toArray();
        id = model::backend_server_id(server.at(0).toString().toStdString());
        born = static_cast<std::uint64_t>(server.at(1).toInteger());
        return !id.empty();
    };
    const auto first_of_part = ranges.size();
    for (const auto& item : json.value("ranges").toArray()) {
        const auto fields = item.toArray();
        key_range range;
        range.first = static_cast<std::uint32_t>(fields.at(0).toInteger());
        range.fence = static_cast<std::uint64_t>(fields.at(2).toInteger());
        if (!read_server(fields.at(1), range.owner, range.owner_born)) {
            return false;
        }
        if (fields.size() > 3) {
            range.leaving_fence = static_cast<std::uint64_t>(fields.at(4).toInteger());
            if (!read_server(fields.at(3), range.leaving, range.leaving_born)) {
                return false;
            }
        }
        if (ranges.size() > first_of_part) {
            ranges.back().last = range.first - 1;
        }
        ranges.push_back(std::move(range));
    }
    if (ranges.size() == first_of_part) {
        return false;
    }
    ranges.back().last = static_cast<std::uint32_t>(json.value("last").toInteger());
    return true;
}

/// Encodes the ranges as one part, or as several if that would be too long.
void divide(range_iterator begin, range_iterator end, std::size_t most_bytes,
            std::map<std::uint32_t, QJsonObject>& parts) {
    auto part = encode_part(begin, end);
    const auto count = end - begin;
    if (count > 1 && text_of(part).size() > most_bytes) {
        divide(begin, begin + count / 2, most_bytes, parts);
        divide(begin + count / 2, end, most_bytes, parts);
        return;
    }
    parts.emplace(begin->first, std::move(part));
}

bool covers_all_keys(const std::vector<key_range>& ranges) {
    std::uint32_t covered = 0;
    for (const auto& range : ranges) {
        if (range.first != covered || range.last < range.first) {
            return false;
        }
        covered = range.last + 1;
    }
    return covered == key_count;
}

} // namespace

void assignment_rows::learn(const assignment_row& row, std::uint64_t version) {
    auto& known = row.part ? parts_[*row.part] : head_;
    if (version > known.version) {
        known = {version, row.value};
    }
    if (row.part && known.value.empty()) {
        parts_.erase(*row.part);
    }
}

assignment_rows::part_list assignment_rows::listed_parts() const {
    part_list parts;
    for (const auto& item : object_of(head_.value).value("parts").toArray()) {
        const auto entry = item.toArray();
        parts[static_cast<std::uint32_t>(entry.at(0).toInteger())] =
            static_cast<std::uint64_t>(entry.at(1).toInteger());
    }
    return parts;
}

std::optional<assignment> assignment_rows::joined() const {
    assignment result;
    if (!base::from_json_text(head_.value, result)) {
        return std::nullopt;
    }
    const auto parts = listed_parts();
    if (parts.empty()) {
        return result;
    }
    result.ranges.clear();
    for (const auto& [first, revision] : parts) {
        const auto found = parts_.find(first);
        if (found == parts_.end()) {
            return std::nullopt;
        }
        const auto json = object_of(found->second.value);
        if (static_cast<std::uint64_t>(json.value("revision").toInteger()) != revision ||
            !decode_part(json, result.ranges)) {
            return std::nullopt;
        }
    }
    if (!covers_all_keys(result.ranges)) {
        return std::nullopt;
    }
    return result;
}

std::vector<assignment_row> assignment_rows::rows_to_write(const assignment& assignment) const {
    std::vector<assignment_row> rows;
    const auto listed = listed_parts();
    auto whole = base::to_json_text(assignment);
    std::map<std::uint32_t, QJsonObject> parts;
    if (whole.size() > largest_value_) {
        // Ranges stay in the part of their first key, so that a change touches few parts.
        auto begin = assignment.ranges.begin();
        while (begin != assignment.ranges.end()) {
            const auto next_part = listed.upper_bound(begin->first);
            const auto end = next_part == listed.end()
                                 ? assignment.ranges.end()
                                 : std::find_if(begin, assignment.ranges.end(), [&](const key_range& range) {
                                       return range.first >= next_part->first;
                                   });
            divide(begin, end, part_bytes(), parts);
            begin = end;
        }
    }
    QJsonArray list;
    // No two writes of parts have the same revision. The next fencing token also grows while an assignment is not
    // divided.
    std::uint64_t revision = assignment.next_fence;
    for (const auto& [first, known] : listed) {
        revision = std::max(revision, known + 1);
    }
    for (auto& [first, json] : parts) {
        const auto known = parts_.find(first);
        auto known_json = known == parts_.end() ? QJsonObject() : object_of(known->second.value);
        const auto known_revision = known_json.take("revision").toInteger();
        const auto listed_part = listed.find(first);
        const bool unchanged = listed_part != listed.end() && known_json == json &&
                               listed_part->second == static_cast<std::uint64_t>(known_revision);
        const auto part_revision = unchanged ? static_cast<qint64>(known_revision) : static_cast<qint64>(revision);
        list.append(QJsonArray{static_cast<qint64>(first), part_revision});
        if (!unchanged) {
            json.insert("revision", part_revision);
            rows.push_back({first, text_of(json)});
        }
    }
    for (const auto& [first, known] : parts_) {
        if (!parts.contains(first)) {
            rows.push_back({first, {}});
        }
    }
    if (!parts.empty()) {
        routing::assignment head;
        head.next_fence = assignment.next_fence;
        head.keeper = assignment.keeper;
        head.era = assignment.era;
        auto json = base::to_json(head).toObject();
        json.insert("parts", list);
        whole = text_of(json);
    }
    rows.push_back({std::nullopt, std::move(whole)});
    return rows;
}

} // namespace lovagetack::routing
