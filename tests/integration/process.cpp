#include "integration/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "integration/wait_for.hpp"

namespace lovagetack::harness {

namespace {

std::vector<char*> to_arguments(std::vector<std::string>& command) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& part : command) {
        arguments.push_back(part.data());
    }
    arguments.push_back(nullptr);
    return arguments;
}

int status_of(int wait_status) {
    constexpr int signal_base = 128;
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : signal_base + WTERMSIG(wait_status);
}

} // namespace

process::process(const std::string& name, const std::vector<std::string>& command, const std::filesystem::path& folder)
    : name_(name), log_file_(folder / (name + ".log")) {
    auto copy = command;
    auto arguments = to_arguments(copy);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&id_, copy[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        id_ = -1;
        throw std::system_error(error, std::generic_category(), "cannot start " + copy[0]);
    }
}

process::~process() {
    if (id_ >= 0) {
        ::kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
    }
}

process::process(process&& other) noexcept
    : name_(std::move(other.name_)), log_file_(std::move(other.log_file_)), id_(std::exchange(other.id_, -1)),
      status_(other.status_) {}

process& process::operator=(process&& other) noexcept {
    std::swap(name_, other.name_);
    std::swap(log_file_, other.log_file_);
    std::swap(id_, other.id_);
    std::swap(status_, other.status_);
    return *this;
}

void process::pause() {
    send(SIGSTOP);
    int wait_status = 0;
    waitpid(id_, &wait_status, WUNTRACED);
    if (!WIFSTOPPED(wait_status)) {
        id_ = -1;
        status_ = status_of(wait_status);
        throw std::runtime_error(name_ + " ended before it could be paused");
    }
}

void process::resume() {
    send(SIGCONT);
}

void process::terminate() {
    send(SIGTERM);
}

void process::kill() {
    send(SIGKILL);
    wait();
}

int process::wait() {
    wait_for([this] { return status().has_value(); }, "end of " + name_);
    return *status_;
}

std::optional<int> process::status() {
    int wait_status = 0;
    if (id_ >= 0 && waitpid(id_, &wait_status, WNOHANG) == id_) {
        id_ = -1;
        status_ = status_of(wait_status);
    }
    return status_;
}

std::string process::log() const {
    std::ifstream file(log_file_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::map<std::string, std::string> process::listening(std::size_t count) {
    std::map<std::string, std::string> addresses;
    const auto read = [&] {
        if (status()) {
            throw std::runtime_error(name_ + " ended early: " + log());
        }
        std::istringstream lines(log());
        std::string line;
        while (std::getline(lines, line) && !lines.eof()) {
            std::istringstream words(line);
            std::string word;
            std::string name;
            std::string address;
            if (words >> word >> name >> address && word == "listening") {
                addresses[name] = address;
            }
        }
        return addresses.size() >= count;
    };
    wait_for(read, name_ + " to listen");
    return addresses;
}

void process::send(int signal) const {
    if (id_ < 0 || ::kill(id_, signal) != 0) {
        throw std::runtime_error(name_ + " is not running");
    }
}

} // namespace lovagetack::harness
