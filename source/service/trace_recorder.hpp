#pragma once

#include <fstream>
#include <string>

#include "core/trace.hpp"

namespace lovagetack::service {

/// Writes every event of this instance to a file for `lovagetack replay`.
class trace_recorder {
public:
    /// Nothing is recorded when the file name is empty.
    trace_recorder(const std::string& file, const core::identity& identity);
    trace_recorder(const trace_recorder&) = delete;
    trace_recorder& operator=(const trace_recorder&) = delete;
    ~trace_recorder();

    void record(const core::event& event, const core::effects& effects);

private:
    std::ofstream file_;
    core::effect_digest digest_;
};

} // namespace lovagetack::service
