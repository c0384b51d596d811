#pragma once

#include <filesystem>

namespace lovagetack::harness {

/// A new folder for log and settings files, removed with the object unless the environment variable
/// LOVAGETACK_KEEP_LOGS is set.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

} // namespace lovagetack::harness
