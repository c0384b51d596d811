#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "integration/process.hpp"
#include "integration/reserved_port.hpp"
#include "integration/temporary_folder.hpp"
#include "soak/store.hpp"
#include "stand_ins/http_server.hpp"

namespace lovagetack::crowds {

struct deployment_limits {
    /// Memory of the machine, in MiB.
    std::size_t memory = 96;
    std::size_t descriptors = 512;
    /// Most bytes of a request body.
    std::size_t body_bytes = std::size_t(8) * 1024 * 1024;
};

/// One instance, a store and a backend server, which answers every request with 200.
class deployment {
public:
    /// Returns once the instance takes connections. Requests go to a server of the test's own at `server_port`, if
    /// given.
    explicit deployment(const deployment_limits& limits, std::uint16_t server_port = 0);

    [[nodiscard]] std::uint16_t port() const { return callers_.number(); }
    /// Status of the answer to a request with a body; 0 if there was none.
    int ask(std::size_t body_bytes) const;
    /// Where operators get metrics and explanations.
    [[nodiscard]] std::string metrics_address() const { return metrics_.address(); }
    /// Output of the command line tool with these words, and its exit status.
    [[nodiscard]] std::pair<std::string, int> run_tool(const std::vector<std::string>& words) const;
    [[nodiscard]] bool lives() { return !instance_->status().has_value(); }
    /// A figure of /proc/PID/status in MiB: VmRSS (now) or VmHWM (at its peak).
    [[nodiscard]] double memory(const std::string& name) const;
    [[nodiscard]] std::size_t open_descriptors() const;
    /// Runs the event loop until the resident memory has not changed for a second: the kernel has taken what callers
    /// sent before the instance has read it.
    void wait_until_memory_rests() const;
    /// Runs the event loop until the resident memory has fallen to this figure, in MiB; false if it does not.
    [[nodiscard]] bool memory_falls_to(double most) const;

private:
    void write_configuration(std::uint16_t server_port);

    deployment_limits limits_;
    harness::temporary_folder folder_;
    harness::reserved_port callers_;
    harness::reserved_port readiness_;
    harness::reserved_port metrics_;
    harness::reserved_port internal_;
    soak::store store_;
    stand_ins::http_server server_;
    std::unique_ptr<harness::process> instance_;
};

} // namespace lovagetack::crowds
