#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "base/result.hpp"
#include "configuration/configuration_texts.hpp"
#include "configuration/limits.hpp"
#include "model/deployment.hpp"
#include "model/ids.hpp"
#include "model/service_state.hpp"

/// The configuration in force and the orders of operators (section 7 of the design).
namespace lovagetack::configuration {

class step;

/// First operation id of this module, so that replies to calls of other modules are not taken for its own.
inline constexpr std::uint64_t first_operation = 6ULL << 60U;

/// A newer configuration that could not be parsed.
struct rejected_configuration {
    std::uint64_t version = 0;
    std::string reason;
};

/// State of the configuration module. Only reduce() changes it.
class state {
public:
    /// Builds the deployment from the base file and the overlay of this instance's data centre.
    using parser = std::function<base::result<model::deployment>(const std::string& base, const std::string& overlay,
                                                                 std::uint64_t version)>;

    state(model::instance_id self, model::data_centre_id data_centre, parser parse, limits limits = {});

    /// Version of the configuration in force; 0 without one.
    [[nodiscard]] std::uint64_t version() const { return deployment_.version; }
    [[nodiscard]] const model::deployment& deployment() const { return deployment_; }
    [[nodiscard]] const std::optional<rejected_configuration>& rejected() const { return rejected_; }
    /// All known orders, sorted by row key.
    [[nodiscard]] std::vector<model::service_state> service_states() const;
    /// Orders accepted at this instance that another order superseded before they were stored, latest last.
    [[nodiscard]] const std::deque<model::service_state>& superseded() const { return superseded_; }
    /// True if the last call to the store was answered.
    [[nodiscard]] bool is_store_reachable() const { return store_reachable_; }

private:
    friend class step;

    struct known_order {
        model::service_state state;
        base::boot_time learned_at;
        bool accepted_here = false;
        /// Version of the row when it was last read, 0 if it was absent. Before the first read, writes expect the
        /// version of the order.
        std::optional<std::uint64_t> last_read_version;
        base::boot_time next_write_at;
    };
    enum class call_kind : std::uint8_t { version, texts, states, write };
    struct call {
        call_kind kind = call_kind::version;
        base::boot_time at;
        /// Row key and value of a write.
        std::string key;
        model::service_state written;
    };

    model::instance_id self_;
    model::data_centre_id data_centre_;
    parser parse_;
    limits limits_;
    model::deployment deployment_;
    std::optional<rejected_configuration> rejected_;
    std::map<std::string, known_order> orders_;
    std::deque<model::service_state> superseded_;
    std::map<std::uint64_t, call> calls_;
    std::uint64_t next_operation_ = first_operation;
    std::optional<base::boot_time> next_poll_;
    bool is_first_instance_ = false;
    bool store_reachable_ = false;
};

} // namespace lovagetack::configuration
