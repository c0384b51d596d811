#include "requests/outcome_table.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace lovagetack::requests {

namespace {

using base::result_code;

constexpr std::int32_t misdirected = 421;

verdict not_run(result_code code) {
    return {true, outcome::not_run, 503, code, true};
}

verdict judge_refused(const attempt_ended& ended, bool relay) {
    if (relay && ended.code != 0) {
        auto passed_on = not_run(static_cast<result_code>(ended.code));
        passed_on.status = ended.status > 0 ? ended.status : passed_on.status;
        return passed_on;
    }
    auto refused = not_run(result_code::request_backend_server_refused);
    refused.status = ended.status == misdirected ? misdirected : refused.status;
    return refused;
}

verdict judge_lost(const attempt_ended& ended, bool relay) {
    const auto code = relay ? result_code::request_relay_failed : result_code::request_backend_server_unreachable;
    if (!ended.bytes_sent) {
        return not_run(code);
    }
    return {false, outcome::unknown, 502, code, true};
}

verdict judge_cut_short(const attempt_ended& /*ended*/, bool /*relay*/) {
    return {false, outcome::failed, 502, result_code::request_answer_cut_short, false};
}

verdict judge_malformed(const attempt_ended& /*ended*/, bool /*relay*/) {
    return {false, outcome::unknown, 502, result_code::request_answer_malformed, false};
}

verdict passed_on(const attempt_ended& ended, outcome told, bool worth_repeating) {
    const auto code = ended.code != 0 ? static_cast<result_code>(ended.code) : result_code::request_relay_failed;
    return {false, told, ended.status > 0 ? ended.status : 502, code, worth_repeating};
}

verdict judge_unknown(const attempt_ended& ended, bool /*relay*/) {
    return passed_on(ended, outcome::unknown, true);
}

verdict judge_relay_failed(const attempt_ended& ended, bool /*relay*/) {
    return passed_on(ended, outcome::failed, false);
}

verdict judge_completed(const attempt_ended& ended, bool /*relay*/) {
    return {false, outcome::failed, ended.status, result_code::ok, false};
}

using judgement = verdict (*)(const attempt_ended&, bool);

/// Indexed by attempt_outcome.
constexpr std::array<judgement, 8> judgements = {
    judge_completed, judge_refused,   judge_lost,    judge_lost,
    judge_cut_short, judge_malformed, judge_unknown, judge_relay_failed,
};

struct follow_up_rule {
    result_code code;
    follow_up divided_by_key;
    follow_up otherwise;
};

/// Codes that are not listed are final. A key has only one owner, so its request can only wait for a change; others
/// can go to another backend server at once.
constexpr std::array<follow_up_rule, 7> follow_up_rules = {{
    {result_code::request_not_home, follow_up::pause, follow_up::renew},
    {result_code::request_shutting_down, follow_up::pause, follow_up::renew},
    {result_code::request_relay_failed, follow_up::pause, follow_up::renew},
    {result_code::request_backend_server_unreachable, follow_up::pause, follow_up::renew},
    {result_code::request_backend_server_refused, follow_up::pause, follow_up::renew},
    {result_code::request_queue_full, follow_up::answer, follow_up::renew},
    {result_code::request_out_of_service, follow_up::answer, follow_up::renew},
}};

} // namespace

verdict judge(const attempt_ended& ended, bool relay) {
    const auto index = static_cast<std::size_t>(ended.outcome);
    assert(index < judgements.size());
    return judgements.at(index)(ended, relay);
}

follow_up follow_up_of(const verdict& verdict, const attempt_ended& ended, bool divided_by_key) {
    if (!verdict.surely_not_run) {
        return follow_up::renew;
    }
    const auto rule = std::find_if(follow_up_rules.begin(), follow_up_rules.end(),
                                   [&](const follow_up_rule& candidate) { return candidate.code == verdict.code; });
    if (rule == follow_up_rules.end()) {
        return follow_up::answer;
    }
    // An owner that sheds load stays the owner: waiting for a change would only delay the caller.
    const bool sheds_load = verdict.code == result_code::request_backend_server_refused && ended.status != misdirected;
    if (divided_by_key && sheds_load) {
        return follow_up::renew;
    }
    return divided_by_key ? rule->divided_by_key : rule->otherwise;
}

} // namespace lovagetack::requests
