#pragma once

#include <string>
#include <vector>

#include "integration/caller_load.hpp"
#include "stand_ins/execution_record.hpp"

/// Checks of what callers were told against what the backend servers recorded. Each result names the faults, one a
/// line, and is empty when there are none; executions are ordered by start.
namespace lovagetack::harness {

using execution_list = std::vector<stand_ins::execution_record>;
using call_list = std::vector<call_record>;

/// Every successful call has the answer to its own request id, key and body, from a backend server that recorded it.
[[nodiscard]] std::string faults_in_answers(const call_list& calls, const execution_list& executions);

/// No request that was answered not-run was executed: a recorded start is allowed only if the backend server itself
/// gave the execution up without an effect and said so (421).
[[nodiscard]] std::string faults_in_not_run(const call_list& calls, const execution_list& executions);

/// A POST has at most one execution, and so has an idempotency key.
[[nodiscard]] std::string faults_in_single_execution(const execution_list& executions);

/// Committed executions of a key: fences never go back, each fence belongs to one backend server, and executions at
/// different backend servers don't overlap in time.
[[nodiscard]] std::string faults_in_ownership(const execution_list& executions);

/// All of the above.
[[nodiscard]] std::string faults_in(const call_list& calls, const execution_list& executions);

} // namespace lovagetack::harness
