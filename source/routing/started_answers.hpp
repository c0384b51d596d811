#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// Deadlines of requests whose answer has started. Such an answer cannot be replaced, but one that has stopped, or that
// is far from its end, would keep its caller waiting for nothing.

/// Replaces the deadline of the request by checks of the progress of its answer.
void watch_started_answer(step& step, const answer_forwarding_started& event);
/// Asks for the progress of the answers whose check is due.
void check_started_answers(step& step);
/// Ends an answer that has stopped by its deadline, or that is not complete some time after it.
void note_answer_progress(step& step, const answer_progress& event);

} // namespace lovagetack::routing
