#pragma once

#include <fstream>
#include <string>

#include "base/result.hpp"
#include "stand_ins/execution_record.hpp"

namespace lovagetack::stand_ins {

/// A file of execution records, one JSON object a line, which outlives a killed server. A record is written when the
/// execution starts and again when it ends, before the answer is sent; the later line counts.
class execution_journal {
public:
    /// Appends to the file.
    [[nodiscard]] base::result<void> open(const std::string& file_name);
    /// Does nothing while no file is open.
    void write(const execution_record& record);

private:
    std::ofstream file_;
};

} // namespace lovagetack::stand_ins
