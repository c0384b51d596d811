#include <catch2/catch.hpp>

#include <map>

#include "base/json.hpp"
#include "configuration/reduce.hpp"

namespace lovagetack::configuration {
namespace {

using model::availability;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The word "bad" cannot be parsed; a data centre's name stands for the whole.
base::result<model::deployment> parse(const std::string& text, const std::string& overlay, std::uint64_t version) {
    if (text == "bad") {
        return base::failure(base::result_code::settings_malformed, "bad");
    }
    model::deployment deployment;
    deployment.version = version;
    deployment.data_centres = {model::data_centre_id(text + overlay)};
    return deployment;
}

/// Instances with a shared table and facts that reach everyone at once.
struct fixture {
    using key = std::pair<std::string, std::string>;

    explicit fixture(const std::vector<std::string>& names) {
        for (const auto& name : names) {
            start(name);
        }
    }

    void start(const std::string& name) {
        states.insert_or_assign(name, state(model::instance_id(name), model::data_centre_id("d"), parse));
        model::members_changed members;
        for (const auto& [id, other] : states) {
            model::member member;
            member.id = model::instance_id(id);
            member.data_centre = model::data_centre_id("d");
            member.state = model::member_state::live;
            members.members.push_back(member);
        }
        for (const auto& [id, other] : states) {
            apply(id, members);
        }
        for (const auto& [fact_name, fact] : std::map(facts)) {
            apply(name, model::fact_learned{fact});
        }
    }

    void apply(const std::string& name, const event& happened) {
        for (const auto& produced : reduce(states.at(name), now, ++random, happened)) {
            carry_out(name, produced);
        }
    }

    void carry_out(const std::string& name, const effect& produced) {
        if (const auto* const read = std::get_if<model::store_read>(&produced)) {
            ++reads[name];
            apply(name, answer(*read));
        } else if (const auto* const transaction = std::get_if<model::store_transaction>(&produced)) {
            apply(name, answer(*transaction));
        } else if (const auto* const published = std::get_if<model::publish_fact>(&produced)) {
            spread(published->fact);
        }
    }

    void spread(const model::fact& fact) {
        auto& known = facts[{static_cast<int>(fact.kind), fact.name}];
        const auto order = [](const model::fact& f) { return std::make_pair(f.version.epoch, f.version.sequence); };
        if (!known.name.empty() && order(fact) <= order(known)) {
            return;
        }
        known = fact;
        for (const auto& [name, unused] : states) {
            if (!partitioned) {
                apply(name, model::fact_learned{fact});
            }
        }
    }

    model::store_reply answer(const model::store_read& read) {
        model::store_reply reply{read.operation, model::store_status::unknown, {}, {}};
        if (!down) {
            reply.status = model::store_status::done;
            for (const auto& [name, row] : rows) {
                if (name.first == read.table && (read.key.empty() || read.key == name.second)) {
                    reply.rows.push_back(row);
                }
            }
        }
        return reply;
    }

    model::store_reply answer(const model::store_transaction& transaction) {
        const auto& condition = transaction.conditions.at(0);
        const auto& write = transaction.writes.at(0);
        model::store_reply reply{transaction.operation, model::store_status::unknown, {}, {}};
        auto& row = rows[{condition.table, condition.key}];
        if (down) {
            return reply;
        }
        if (row.version != condition.version) {
            reply.status = model::store_status::conflict;
            return reply;
        }
        row = {condition.table, condition.key, row.version + 1, *write.value};
        if (!lose_answers) {
            reply.status = model::store_status::done;
            reply.versions = {row.version};
        }
        return reply;
    }

    void push(const std::string& text) {
        const auto put = [&](const std::string& name, const std::string& value) {
            auto& row = rows[{"configuration", name}];
            row = {"configuration", name, row.version + 1, value};
        };
        put("base", text);
        put("overlay.d", "+d");
        put("version", "{}");
    }

    void order(const std::string& name, availability wanted, milliseconds time) {
        apply(name, service_state_ordered{{model::subject_kind::data_centre, "x", wanted, 0, time}});
    }

    void run_for(std::chrono::microseconds duration) {
        for (const auto end = now + duration; now < end; now += milliseconds(20)) {
            for (const auto& [name, unused] : states) {
                apply(name, model::tick{});
            }
        }
    }

    [[nodiscard]] availability seen_by(const std::string& name) const {
        return states.at(name).service_states().at(0).availability;
    }

    base::boot_time now{seconds(100)};
    std::uint64_t random = 0;
    std::map<std::string, state> states;
    std::map<key, model::row> rows;
    std::map<std::pair<int, std::string>, model::fact> facts;
    std::map<std::string, int> reads;
    bool down = false;
    bool lose_answers = false;
    bool partitioned = false;
};

// Guards against versions that go back through a stale read, and an unreadable one replacing what is in force.
TEST_CASE("only higher readable versions come into force") {
    fixture f({"a", "b"});
    f.push("one");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 1);
    CHECK(f.states.at("b").deployment().data_centres.at(0).value() == "one+d");
    const auto stale = f.rows;
    f.push("two");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 2);
    f.rows = stale;
    f.run_for(seconds(30));
    CHECK(f.states.at("a").version() == 2);
    f.rows.clear();
    f.push("");
    f.push("");
    f.push("bad");
    f.run_for(seconds(2));
    CHECK(f.states.at("a").version() == 2);
    REQUIRE(f.states.at("b").rejected().has_value());
    CHECK(f.states.at("b").rejected()->version == 3);
    f.push("four");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 4);
    CHECK_FALSE(f.states.at("b").rejected().has_value());
}

// Guards against every instance polling the store each second.
TEST_CASE("only the first live instance polls every second") {
    fixture f({"a", "b", "c"});
    f.run_for(seconds(2));
    f.reads.clear();
    f.run_for(seconds(60));
    CHECK(f.reads["a"] >= 100);
    CHECK(f.reads["b"] <= 14);
    CHECK(f.reads["c"] <= 14);
}

// Guards against a configuration that is lost when all instances are replaced during an outage of the store.
TEST_CASE("the newest version is learned from peers while the store is down") {
    fixture f({"a", "b", "c"});
    f.push("one");
    f.run_for(seconds(2));
    f.push("two");
    f.run_for(seconds(2));
    f.down = true;
    for (const auto* const name : {"a", "b", "c"}) {
        f.start(name);
        f.run_for(seconds(1));
        CHECK(f.states.at(name).version() == 2);
    }
}

// Guards against an order that is lost, or reverts, when the store is down while it is given.
TEST_CASE("an order given during an outage is in force at once and written later") {
    fixture f({"a", "b"});
    f.run_for(seconds(2));
    f.down = true;
    f.order("b", availability::drained, milliseconds(5));
    CHECK(f.seen_by("a") == availability::drained);
    f.run_for(seconds(20));
    CHECK_FALSE(f.states.at("a").service_states().at(0).in_store);
    const bool replaced = GENERATE(false, true);
    if (replaced) {
        f.states.erase("b");
    }
    f.down = false;
    f.run_for(seconds(15));
    CHECK(f.states.at("a").service_states().at(0).in_store);
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);
    CHECK(f.seen_by("a") == availability::drained);
}

// Guards against a loop of writes and reads when the row cannot take the order, which met the store 2,000 times a
// second.
TEST_CASE("an order that builds on a row that is gone does not flood the store") {
    fixture f({"a"});
    f.run_for(seconds(2));
    f.order("a", availability::drained, milliseconds(5));
    f.run_for(seconds(2));
    REQUIRE(f.states.at("a").service_states().at(0).in_store);
    f.order("a", availability::in_service, milliseconds(6));
    f.run_for(seconds(2));
    f.rows.erase({"service_states", "data-centre.x"});
    f.order("a", availability::drained, milliseconds(7));
    f.reads.clear();
    f.run_for(seconds(10));
    CHECK(f.seen_by("a") == availability::drained);
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version >= 1);
    // Two reads a second are the regular polls; the loop had no bound.
    CHECK(f.reads["a"] <= 50);
}

// Guards against a write that took effect being repeated or reported as superseded when its answer was lost.
TEST_CASE("an order whose answer was lost is found in the row") {
    fixture f({"a"});
    f.lose_answers = true;
    f.order("a", availability::lost, milliseconds(5));
    f.run_for(seconds(15));
    CHECK(f.states.at("a").service_states().at(0).in_store);
    CHECK(f.states.at("a").superseded().empty());
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);
}

// Guards against two operators who both believe that their order holds.
TEST_CASE("the row wins over an order that was given without the store") {
    fixture f({"a", "b"});
    f.order("a", availability::in_service, milliseconds(1));
    f.run_for(seconds(2));
    f.down = true;
    f.order("b", availability::drained, milliseconds(9));
    auto& row = f.rows.at({"service_states", "data-centre.x"});
    const model::service_state other{model::subject_kind::data_centre, "x", availability::lost, 1, milliseconds(4)};
    row = {"service_states", "data-centre.x", 2, base::to_json_text(other)};
    f.down = false;
    f.run_for(seconds(30));
    CHECK(f.seen_by("a") == availability::lost);
    CHECK(f.seen_by("b") == availability::lost);
    REQUIRE(f.states.at("b").superseded().size() == 1);
    CHECK(f.states.at("b").superseded().at(0).availability == availability::drained);
}

// Guards against two operators at two instances who both believe that their order holds.
TEST_CASE("one of two racing orders wins everywhere") {
    fixture f({"a", "b"});
    f.partitioned = true;
    f.order("a", availability::drained, milliseconds(9));
    const auto stale = f.rows;
    f.order("b", availability::lost, milliseconds(10));
    CHECK(f.seen_by("b") == availability::drained);
    CHECK(f.states.at("b").superseded().size() == 1);
    CHECK(f.states.at("a").superseded().empty());
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);

    f.order("b", availability::lost, milliseconds(11));
    f.run_for(seconds(15));
    CHECK(f.seen_by("a") == availability::lost);
    f.rows = stale;
    f.run_for(seconds(15));
    CHECK(f.seen_by("a") == availability::lost);
    CHECK(f.seen_by("b") == availability::lost);
}

// Guards against a later order losing to an earlier one because its machine's clock is behind.
TEST_CASE("a later order at the same row version wins") {
    fixture f({"a", "b"});
    f.down = true;
    f.order("a", availability::drained, milliseconds(1000));
    f.order("b", availability::in_service, milliseconds(10));
    CHECK(f.seen_by("a") == availability::in_service);
    f.down = false;
    f.run_for(seconds(30));
    CHECK(f.seen_by("a") == availability::in_service);
    CHECK(f.states.at("a").service_states() == f.states.at("b").service_states());
}

} // namespace
} // namespace lovagetack::configuration
