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

/// Operation ids of this module start here, so that replies to other modules' calls are not taken for its own.
inline constexpr std::uint64_t first_operation = 6ULL << 60U;

/// A newer configuration that could not be read.
struct rejected_configuration {
    std::uint64_t version = 0;
    std::string reason;
};

/// Everything that configuration remembers. Only reduce changes it.
class state {
public:
    /// Builds the deployment from the base file and the overlay of this instance's data centre.
    using parser = std::function<base::result<model::deployment>(const std::string& base, const std::string& overlay,
                                                                 std::uint64_t version)>;

    state(model::instance_id self, model::data_centre_id data_centre, parser parse, limits limits = {});

    /// Version in force; 0 while none is known.
    [[nodiscard]] std::uint64_t version() const { return deployment_.version; }
    [[nodiscard]] const model::deployment& deployment() const { return deployment_; }
    [[nodiscard]] const std::optional<rejected_configuration>& rejected() const { return rejected_; }
    /// All orders known, by row key.
    [[nodiscard]] std::vector<model::service_state> service_states() const;
    /// Orders given at this instance that lost against the row, latest last.
    [[nodiscard]] const std::deque<model::service_state>& superseded() const { return superseded_; }
    /// The last call to the store was answered.
    [[nodiscard]] bool is_store_reachable() const { return store_reachable_; }

private:
    friend class step;

    struct known_order {
        model::service_state state;
        base::boot_time learned_at;
        bool accepted_here = false;
        /// Version of the row when it was last read; the order's own until then.
        std::optional<std::uint64_t> found_version;
        base::boot_time next_write_at;
    };
    enum class call_kind : std::uint8_t { version, texts, states, write };
    struct call {
        call_kind kind = call_kind::version;
        base::boot_time at;
        /// Of a write: the row key and what is written.
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
    bool is_first_ = false;
    bool store_reachable_ = false;
};

} // namespace lovagetack::configuration
