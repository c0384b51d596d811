#include "requests/outcome_table.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace lovagetack::requests {

namespace {

using base::result_code;

constexpr std::int32_t misdirected = 421;

classification not_run(result_code code) {
    return {true, outcome::not_run, 503, code, true};
}

classification classify_refused(const attempt_ended& ended, bool relay) {
    if (relay && ended.code != 0) {
        auto reported_by_home = not_run(static_cast<result_code>(ended.code));
        reported_by_home.status = ended.status > 0 ? ended.status : reported_by_home.status;
        return reported_by_home;
    }
    auto refused = not_run(result_code::request_backend_server_refused);
    refused.status = ended.status == misdirected ? misdirected : refused.status;
    return refused;
}

classification classify_lost(const attempt_ended& ended, bool relay) {
    const auto code = relay ? result_code::request_relay_failed : result_code::request_backend_server_unreachable;
    if (!ended.bytes_sent) {
        return not_run(code);
    }
    return {false, outcome::unknown, 502, code, true};
}

classification classify_cut_short(const attempt_ended& /*ended*/, bool /*relay*/) {
    return {false, outcome::failed, 502, result_code::request_answer_cut_short, false};
}

classification classify_malformed(const attempt_ended& /*ended*/, bool /*relay*/) {
    return {false, outcome::unknown, 502, result_code::request_answer_malformed, false};
}

classification reported_by_home(const attempt_ended& ended, outcome caller_outcome, bool retry_if_idempotent) {
    const auto code = ended.code != 0 ? static_cast<result_code>(ended.code) : result_code::request_relay_failed;
    return {false, caller_outcome, ended.status > 0 ? ended.status : 502, code, retry_if_idempotent};
}

classification classify_unknown(const attempt_ended& ended, bool /*relay*/) {
    return reported_by_home(ended, outcome::unknown, true);
}

classification classify_relay_failed(const attempt_ended& ended, bool /*relay*/) {
    return reported_by_home(ended, outcome::failed, false);
}

classification classify_completed(const attempt_ended& ended, bool /*relay*/) {
    return {false, outcome::failed, ended.status, result_code::ok, false};
}

using classifier = classification (*)(const attempt_ended&, bool);

/// Indexed by attempt_outcome.
constexpr std::array<classifier, 8> classifiers = {
    classify_completed, classify_refused,   classify_lost,    classify_lost,
    classify_cut_short, classify_malformed, classify_unknown, classify_relay_failed,
};

struct follow_up_rule {
    result_code code;
    follow_up divided_by_key;
    follow_up otherwise;
};

/// Codes that are not listed are final. A key has only one owner, so its request can only wait for a change; others
/// can go to another backend server at once.
constexpr std::array<follow_up_rule, 7> follow_up_rules = {{
    {result_code::request_not_home, follow_up::retry_later, follow_up::retry_now},
    {result_code::request_shutting_down, follow_up::retry_later, follow_up::retry_now},
    {result_code::request_relay_failed, follow_up::retry_later, follow_up::retry_now},
    {result_code::request_backend_server_unreachable, follow_up::retry_later, follow_up::retry_now},
    {result_code::request_backend_server_refused, follow_up::retry_later, follow_up::retry_now},
    {result_code::request_queue_full, follow_up::answer, follow_up::retry_now},
    {result_code::request_out_of_service, follow_up::answer, follow_up::retry_now},
}};

} // namespace

classification classify(const attempt_ended& ended, bool relay) {
    const auto index = static_cast<std::size_t>(ended.outcome);
    assert(index < classifiers.size());
    return classifiers.at(index)(ended, relay);
}

follow_up follow_up_of(const classification& classification, const attempt_ended& ended, bool divided_by_key) {
    if (!classification.surely_not_run) {
        return follow_up::retry_now;
    }
    const auto rule =
        std::find_if(follow_up_rules.begin(), follow_up_rules.end(),
                     [&](const follow_up_rule& candidate) { return candidate.code == classification.code; });
    if (rule == follow_up_rules.end()) {
        return follow_up::answer;
    }
    // An owner that refuses because of overload stays the owner, so waiting for a change would only delay the caller.
    const bool sheds_load =
        classification.code == result_code::request_backend_server_refused && ended.status != misdirected;
    if (divided_by_key && sheds_load) {
        return follow_up::retry_now;
    }
    return divided_by_key ? rule->divided_by_key : rule->otherwise;
}

} // namespace lovagetack::requests
