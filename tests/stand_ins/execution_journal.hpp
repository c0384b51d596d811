#pragma once

#include <fstream>
#include <string>

#include "base/result.hpp"
#include "stand_ins/execution_record.hpp"

namespace lovagetack::stand_ins {

/// A file of execution records, one JSON object per line, which remains when the server is killed. A record is written
/// when the execution starts and again when it ends, before the answer is sent; the later line is the valid one.
class execution_journal {
public:
    /// Opens the file for appending; fails with usage when it cannot be written.
    [[nodiscard]] base::result<void> open(const std::string& file_name);
    /// Does nothing while no file is open.
    void write(const execution_record& record);

private:
    std::ofstream file_;
};

} // namespace lovagetack::stand_ins
