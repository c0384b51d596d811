#include "stand_ins/execution_journal.hpp"

#include "base/json.hpp"

namespace lovagetack::stand_ins {

base::result<void> execution_journal::open(const std::string& file_name) {
    file_.open(file_name, std::ios::app);
    if (!file_) {
        return base::failure(base::result_code::usage, "cannot write " + file_name);
    }
    return base::success();
}

void execution_journal::write(const execution_record& record) {
    if (file_.is_open()) {
        // Flushes after each line, so that a kill between two records leaves no partial line.
        file_ << base::to_json_text(record) + '\n' << std::flush;
    }
}

} // namespace lovagetack::stand_ins
