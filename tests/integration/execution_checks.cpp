#include "integration/execution_checks.hpp"

#include <map>
#include <utility>

#include "base/key_hash.hpp"

namespace lovagetack::harness {

namespace {

constexpr int status_misdirected = 421;

bool had_no_effect(const stand_ins::execution_record& record) {
    return record.status == status_misdirected && !record.committed;
}

std::string line_of(const stand_ins::execution_record& record) {
    return record.request_id + " key " + record.key + " at " + record.server + " fence " + record.fence + " start " +
           std::to_string(record.start.time_since_epoch().count()) + " end " +
           std::to_string(record.end.time_since_epoch().count());
}

std::pair<std::uint64_t, std::uint64_t> fence_of(const stand_ins::execution_record& record) {
    const auto dot = record.fence.find('.');
    if (dot == std::string::npos) {
        return {0, 0};
    }
    return {std::stoull(record.fence.substr(0, dot)), std::stoull(record.fence.substr(dot + 1))};
}

std::string expected_answer(const call_record& call) {
    const auto body = call.method == "POST" || call.method == "PUT" ? call.request_id : std::string();
    return "request " + call.request_id + "\nkey " + call.key + "\nserver " +
           call.result.header("lovagetack-backend-server") + "\nmethod " + call.method + "\nbody " +
           std::to_string(body.size()) + ' ' + std::to_string(base::key_hash(body)) + '\n';
}

} // namespace

std::string faults_in_answers(const call_list& calls, const execution_list& executions) {
    std::multimap<std::string, const stand_ins::execution_record*> by_request;
    for (const auto& record : executions) {
        by_request.emplace(record.request_id, &record);
    }
    std::string faults;
    for (const auto& call : calls) {
        if (!call.succeeded()) {
            continue;
        }
        if (call.result.body != expected_answer(call)) {
            faults += call.request_id + " got the answer '" + call.result.body + "'\n";
        }
        bool recorded = false;
        const auto [first, last] = by_request.equal_range(call.request_id);
        for (auto found = first; found != last; ++found) {
            recorded = recorded || (found->second->committed && found->second->key == call.key &&
                                    found->second->server == call.result.header("lovagetack-backend-server"));
        }
        if (!recorded) {
            faults += call.request_id + " was answered, but no backend server recorded it\n";
        }
    }
    return faults;
}

std::string faults_in_not_run(const call_list& calls, const execution_list& executions) {
    std::multimap<std::string, const stand_ins::execution_record*> by_request;
    for (const auto& record : executions) {
        by_request.emplace(record.request_id, &record);
    }
    std::string faults;
    for (const auto& call : calls) {
        if (call.outcome() != "not-run") {
            continue;
        }
        const auto [first, last] = by_request.equal_range(call.request_id);
        for (auto found = first; found != last; ++found) {
            if (!had_no_effect(*found->second)) {
                faults += "answered not-run, but executed: " + line_of(*found->second) + '\n';
            }
        }
    }
    return faults;
}

std::string faults_in_single_execution(const execution_list& executions) {
    std::map<std::string, const stand_ins::execution_record*> earlier;
    std::string faults;
    for (const auto& record : executions) {
        if (record.method != "POST" || had_no_effect(record)) {
            continue;
        }
        const auto name = record.idempotency_key.empty() ? record.request_id : "key " + record.idempotency_key;
        const auto [found, added] = earlier.emplace(name, &record);
        if (!added) {
            faults += "executed twice: " + line_of(*found->second) + " and " + line_of(record) + '\n';
        }
    }
    return faults;
}

std::string faults_in_ownership(const execution_list& executions) {
    std::map<std::pair<std::string, std::string>, const stand_ins::execution_record*> latest;
    std::string faults;
    for (const auto& record : executions) {
        if (!record.committed || record.key.empty()) {
            continue;
        }
        auto& earlier = latest[{record.service, record.key}];
        if (earlier != nullptr && earlier->server != record.server) {
            if (fence_of(record) <= fence_of(*earlier)) {
                faults += "fence not above that of the earlier owner: " + line_of(*earlier) + " then " +
                          line_of(record) + '\n';
            }
            if (record.start < earlier->end) {
                faults += "two owners at once: " + line_of(*earlier) + " and " + line_of(record) + '\n';
            }
        } else if (earlier != nullptr && fence_of(record) < fence_of(*earlier)) {
            faults += "fence went back: " + line_of(*earlier) + " then " + line_of(record) + '\n';
        }
        earlier = &record;
    }
    return faults;
}

std::string faults_in(const call_list& calls, const execution_list& executions) {
    return faults_in_answers(calls, executions) + faults_in_not_run(calls, executions) +
           faults_in_single_execution(executions) + faults_in_ownership(executions);
}

} // namespace lovagetack::harness
