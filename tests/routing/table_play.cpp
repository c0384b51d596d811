#include "routing/table_play.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagetack::routing::testing {
namespace {

constexpr auto step_time = 10ms;
constexpr auto message_delay = 10ms;
constexpr auto store_delay = 10ms;
/// Times of the platform's client, see platform/table_follower.cpp and platform/store.cpp.
constexpr auto wait_margin = 700ms;
constexpr auto brief_wait = 200ms;
constexpr auto retry_pause = 500ms;
const std::string row_key = "config";

} // namespace

table_play::table_play(int data_centres, int instances_each, std::uint64_t seed) : random_(seed) {
    written_at_[version_] = now_;
    std::vector<std::pair<model::instance_id, instance_record>> records;
    for (int rank = 0; rank < instances_each; ++rank) {
        for (int place = 0; place < data_centres; ++place) {
            const model::data_centre_id data_centre("place-" + std::to_string(place));
            const model::instance_id id(data_centre.value() + '-' + std::to_string(rank));
            numbers_[id] = static_cast<int>(records.size());
            records.emplace_back(
                id, instance_record{data_centre, 1, {}, static_cast<std::uint32_t>(500 - rank), own_protocol});
        }
    }
    instances_ = std::vector<played_instance>(records.size());
    for (int number = 0; number < instances(); ++number) {
        const auto& [id, record] = records.at(static_cast<std::size_t>(number));
        at(number).state.emplace(identity{id, record.data_centre, 1, record.processor}, seed + number);
        for (const auto& [other, other_record] : records) {
            process(number, instance_updated{other, other_record});
        }
        process(number, registry_complete{});
        process(number, assignments_complete{});
        report(number, at(number).copy.apply_whole({{row_key, version_, false, {}}}, version_), true);
    }
    run_for(3s);
}

void table_play::run_for(std::chrono::milliseconds time) {
    for (const auto end = now_ + time; now_ < end;) {
        now_ += step_time;
        while (!messages_.empty() && messages_.front().arrives_at <= now_) {
            const auto next = std::move(messages_.front());
            messages_.pop_front();
            if (runs(at(next.receiver))) {
                process(next.receiver, next.event);
            }
        }
        for (int number = 0; number < instances(); ++number) {
            if (runs(at(number))) {
                run_call(number);
                process(number, ticked{});
            }
        }
    }
}

void table_play::set_store_cut(int instance, bool cut) {
    at(instance).cut = cut;
    at(instance).disturbed_at = now_;
}

void table_play::silence_calls(int instance) {
    at(instance).disturbed_at = now_;
    if (at(instance).open_call) {
        at(instance).open_call->lost = true;
    }
}

void table_play::freeze(int instance, std::chrono::milliseconds time) {
    at(instance).frozen_until = now_ + time;
}

void table_play::change() {
    ++version_;
    written_at_[version_] = now_;
    for (auto& instance : instances_) {
        if (instance.open_call) {
            instance.open_call->answered_at = std::min(instance.open_call->answered_at, now_ + store_delay);
        }
    }
}

std::vector<std::string> table_play::late(std::chrono::milliseconds bound, std::chrono::milliseconds contact) {
    std::uint64_t due = 0;
    for (const auto& [version, written_at] : written_at_) {
        due = now_ - written_at > bound ? version : due;
    }
    std::vector<std::string> found;
    for (const auto& instance : instances_) {
        const auto disturbed_until = std::max(instance.disturbed_at, instance.frozen_until);
        if (!instance.cut && now_ - disturbed_until > contact && instance.state->configuration.version < due) {
            found.push_back(instance.state->self.instance.value() + " goes by version " +
                            std::to_string(instance.state->configuration.version) + ", due is " + std::to_string(due));
        }
    }
    return found;
}

void table_play::process(int number, const event& event) {
    for (const auto& effect : reduce(*at(number).state, now_, event)) {
        std::visit([this, number](const auto& body) { execute(number, body); }, effect);
    }
}

void table_play::begin_call(played_instance& instance) {
    ++store_calls_;
    const bool brief = std::exchange(instance.next_call_is_brief, false) || instance.failures > 0 || !instance.follows;
    const auto wait = brief ? brief_wait : instance.longest_wait;
    const bool has_news = instance.copy.version() < version_;
    instance.open_call = call{now_ + store_delay + (has_news ? 0ms : std::chrono::milliseconds(wait)),
                              now_ + wait + wait_margin, instance.cut, brief};
}

void table_play::run_call(int number) {
    auto& instance = at(number);
    if (!instance.open_call) {
        if (instance.calls_again && instance.next_call <= now_) {
            instance.calls_again = false;
            begin_call(instance);
        }
        return;
    }
    auto& open = *instance.open_call;
    if (open.answered_at <= now_ && instance.cut) {
        open.lost = true;
    }
    if (open.answered_at <= now_ && !open.lost) {
        instance.open_call.reset();
        instance.failures = 0;
        process(number, store_reachability_changed{true});
        report(number, instance.copy.apply_changes({{row_key, version_, false, {}}}), true);
        instance.calls_again = instance.follows;
        instance.next_call = now_;
        return;
    }
    if (open.given_up_at <= now_) {
        instance.open_call.reset();
        ++instance.failures;
        process(number, store_reachability_changed{false});
        instance.calls_again = true;
        instance.next_call = now_ + retry_pause;
    }
}

void table_play::report(int number, const table_change& news, bool from_store) {
    for (const auto& row : news.rows) {
        configuration configuration;
        configuration.version = row.version;
        process(number, configuration_updated{configuration});
    }
    process(number, table_updated{news, at(number).copy.version(), from_store});
}

void table_play::send(int sender, const model::instance_id& receiver, const event& event) {
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < lost_share_;
    if (!lost && !at(sender).mute) {
        messages_.push_back({now_ + message_delay, numbers_.at(receiver), event});
    }
}

void table_play::execute(int number, const follow_store& effect) {
    auto& instance = at(number);
    const bool starts = effect.follows && !instance.follows;
    instance.follows = effect.follows;
    instance.longest_wait = effect.longest_wait;
    if (starts) {
        execute(number, catch_up{followed_table::operators});
    }
}

void table_play::execute(int number, const catch_up& effect) {
    auto& instance = at(number);
    const bool waits = instance.open_call && !instance.open_call->brief;
    if (effect.table == followed_table::operators && (waits || (!instance.open_call && !instance.calls_again))) {
        instance.next_call_is_brief = true;
        begin_call(instance);
    }
}

void table_play::execute(int number, const apply_table_change& effect) {
    report(number, at(number).copy.apply_message(effect.change), false);
}

void table_play::execute(int number, const send_heartbeat& effect) {
    for (const auto& receiver : effect.receivers) {
        send(number, receiver, effect.heartbeat);
    }
}

void table_play::execute(int number, const send_table_change& effect) {
    for (const auto& receiver : effect.receivers) {
        send(number, receiver, table_change_received{at(number).state->self.instance, effect.change});
    }
}

void table_play::execute(int number, const request_table_changes& effect) {
    send(number, effect.receiver, effect.request);
}

void table_play::execute(int number, const send_known_changes& effect) {
    const auto changes = at(number).copy.changes_after(effect.after);
    if (!changes) {
        send(number, effect.receiver, table_changes_unknown{effect.table});
        return;
    }
    if (changes->empty()) {
        return;
    }
    for (auto& part : divide(join(*changes), rows_per_message)) {
        send(number, effect.receiver, table_change_received{at(number).state->self.instance, std::move(part)});
    }
}

} // namespace lovagetack::routing::testing
