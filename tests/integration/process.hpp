#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagetack::harness {

/// A child process. Its output goes to a log file, and it is killed when the object goes away.
class process {
public:
    /// Starts the program command[0]; the log file is folder/name.log. Throws std::system_error when it cannot start.
    process(const std::string& name, const std::vector<std::string>& command, const std::filesystem::path& folder);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// SIGSTOP, returns once the process is stopped.
    void pause();
    /// SIGCONT
    void resume();
    /// SIGTERM
    void terminate();
    /// SIGKILL, returns once the process has ended.
    void kill();
    /// Waits for the end; the exit status, or 128 + the signal that ended it. Throws when it hangs.
    int wait();
    /// The status as of wait(), nothing while it runs.
    [[nodiscard]] std::optional<int> status();

    [[nodiscard]] pid_t id() const { return id_; }
    [[nodiscard]] std::string log() const;
    /// Addresses of the lines "listening NAME HOST:PORT", once there are at least count of them.
    [[nodiscard]] std::map<std::string, std::string> listening(std::size_t count);

private:
    void send(int signal) const;

    std::string name_;
    std::filesystem::path log_file_;
    /// -1 once it has ended.
    pid_t id_ = -1;
    std::optional<int> status_;
};

} // namespace lovagetack::harness
