#include <catch2/catch.hpp>

#include <map>

#include "base/json.hpp"
#include "configuration/reduce.hpp"

namespace lovagetack::configuration {
namespace {

using model::availability;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fails for the text "bad"; else returns a deployment whose only data centre is named by text and overlay.
base::result<model::deployment> parse(const std::string& text, const std::string& overlay, std::uint64_t version) {
    if (text == "bad") {
        return base::failure(base::result_code::settings_malformed, "bad");
    }
    model::deployment deployment;
    deployment.version = version;
    deployment.data_centres = {model::data_centre_id(text + overlay)};
    return deployment;
}

/// Instances with a shared store, whose facts are delivered to all instances at once.
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

    void apply(const std::string& name, const event& received) {
        for (const auto& produced : reduce(states.at(name), now, ++random, received)) {
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
            deliver(published->fact);
        }
    }

    void deliver(const model::fact& fact) {
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
        if (!store_unreachable) {
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
        if (store_unreachable) {
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

    void write_configuration(const std::string& text) {
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

    [[nodiscard]] availability availability_at(const std::string& name) const {
        return states.at(name).service_states().at(0).availability;
    }

    base::boot_time now{seconds(100)};
    std::uint64_t random = 0;
    std::map<std::string, state> states;
    std::map<key, model::row> rows;
    std::map<std::pair<int, std::string>, model::fact> facts;
    std::map<std::string, int> reads;
    bool store_unreachable = false;
    bool lose_answers = false;
    bool partitioned = false;
};

// Guards against a stale read that brings an older version into force, and against replacing a valid configuration by
// one that cannot be parsed.
TEST_CASE("only newer versions that can be parsed come into force") {
    fixture f({"a", "b"});
    f.write_configuration("one");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 1);
    CHECK(f.states.at("b").deployment().data_centres.at(0).value() == "one+d");
    const auto stale = f.rows;
    f.write_configuration("two");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 2);
    f.rows = stale;
    f.run_for(seconds(30));
    CHECK(f.states.at("a").version() == 2);
    f.rows.clear();
    f.write_configuration("");
    f.write_configuration("");
    f.write_configuration("bad");
    f.run_for(seconds(2));
    CHECK(f.states.at("a").version() == 2);
    REQUIRE(f.states.at("b").rejected().has_value());
    CHECK(f.states.at("b").rejected()->version == 3);
    f.write_configuration("four");
    f.run_for(seconds(2));
    CHECK(f.states.at("b").version() == 4);
    CHECK_FALSE(f.states.at("b").rejected().has_value());
}

// Guards against all instances polling the store every second.
TEST_CASE("only the first live instance polls every second") {
    fixture f({"a", "b", "c"});
    f.run_for(seconds(2));
    f.reads.clear();
    f.run_for(seconds(60));
    CHECK(f.reads["a"] >= 100);
    CHECK(f.reads["b"] <= 14);
    CHECK(f.reads["c"] <= 14);
}

// Guards against losing the configuration when all instances are replaced while the store is unreachable.
TEST_CASE("the newest version is learned from peers while the store is unreachable") {
    fixture f({"a", "b", "c"});
    f.write_configuration("one");
    f.run_for(seconds(2));
    f.write_configuration("two");
    f.run_for(seconds(2));
    f.store_unreachable = true;
    for (const auto* const name : {"a", "b", "c"}) {
        f.start(name);
        f.run_for(seconds(1));
        CHECK(f.states.at(name).version() == 2);
    }
}

// Guards against losing or reverting an order that was given while the store was unreachable.
TEST_CASE("an order given during an outage is in force at once and written later") {
    fixture f({"a", "b"});
    f.run_for(seconds(2));
    f.store_unreachable = true;
    f.order("b", availability::drained, milliseconds(5));
    CHECK(f.availability_at("a") == availability::drained);
    f.run_for(seconds(20));
    CHECK_FALSE(f.states.at("a").service_states().at(0).in_store);
    const bool replaced = GENERATE(false, true);
    if (replaced) {
        f.states.erase("b");
    }
    f.store_unreachable = false;
    f.run_for(seconds(15));
    CHECK(f.states.at("a").service_states().at(0).in_store);
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);
    CHECK(f.availability_at("a") == availability::drained);
}

// Guards against a loop of writes and reads when the condition of a write can never hold, which called the store 2,000
// times per second.
TEST_CASE("an order whose expected row was deleted does not flood the store") {
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
    CHECK(f.availability_at("a") == availability::drained);
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version >= 1);
    // Regular polls make two reads per second; the loop made an unbounded number.
    CHECK(f.reads["a"] <= 50);
}

// Guards against repeating a completed write, or reporting it as superseded, after its answer was lost.
TEST_CASE("an order whose answer was lost is found in the row") {
    fixture f({"a"});
    f.lose_answers = true;
    f.order("a", availability::lost, milliseconds(5));
    f.run_for(seconds(15));
    CHECK(f.states.at("a").service_states().at(0).in_store);
    CHECK(f.states.at("a").superseded().empty());
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);
}

// Guards against an order that is superseded without a report to its operator.
TEST_CASE("the row wins over an order that was given without the store") {
    fixture f({"a", "b"});
    f.order("a", availability::in_service, milliseconds(1));
    f.run_for(seconds(2));
    f.store_unreachable = true;
    f.order("b", availability::drained, milliseconds(9));
    auto& row = f.rows.at({"service_states", "data-centre.x"});
    const model::service_state other{model::subject_kind::data_centre, "x", availability::lost, 1, milliseconds(4)};
    row = {"service_states", "data-centre.x", 2, base::to_json_text(other)};
    f.store_unreachable = false;
    f.run_for(seconds(30));
    CHECK(f.availability_at("a") == availability::lost);
    CHECK(f.availability_at("b") == availability::lost);
    REQUIRE(f.states.at("b").superseded().size() == 1);
    CHECK(f.states.at("b").superseded().at(0).availability == availability::drained);
}

// Guards against two concurrent orders at different instances that both appear to be in force.
TEST_CASE("one of two concurrent orders wins at all instances") {
    fixture f({"a", "b"});
    f.partitioned = true;
    f.order("a", availability::drained, milliseconds(9));
    const auto stale = f.rows;
    f.order("b", availability::lost, milliseconds(10));
    CHECK(f.availability_at("b") == availability::drained);
    CHECK(f.states.at("b").superseded().size() == 1);
    CHECK(f.states.at("a").superseded().empty());
    CHECK(f.rows.at({"service_states", "data-centre.x"}).version == 1);

    f.order("b", availability::lost, milliseconds(11));
    f.run_for(seconds(15));
    CHECK(f.availability_at("a") == availability::lost);
    f.rows = stale;
    f.run_for(seconds(15));
    CHECK(f.availability_at("a") == availability::lost);
    CHECK(f.availability_at("b") == availability::lost);
}

// Guards against a later order that loses to an earlier one because the clock of its machine is behind.
TEST_CASE("a later order at the same row version wins") {
    fixture f({"a", "b"});
    f.store_unreachable = true;
    f.order("a", availability::drained, milliseconds(1000));
    f.order("b", availability::in_service, milliseconds(10));
    CHECK(f.availability_at("a") == availability::in_service);
    f.store_unreachable = false;
    f.run_for(seconds(30));
    CHECK(f.availability_at("a") == availability::in_service);
    CHECK(f.states.at("a").service_states() == f.states.at("b").service_states());
}

} // namespace
} // namespace lovagetack::configuration
