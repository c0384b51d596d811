#include "integration/temporary_folder.hpp"

#include <cerrno>
#include <cstdlib>
#include <string>
#include <system_error>

namespace lovagetack::harness {

temporary_folder::temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "lovagetack-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "cannot create a temporary folder");
    }
    path_ = name;
}

temporary_folder::~temporary_folder() {
    if (std::getenv("LOVAGETACK_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
}

} // namespace lovagetack::harness
