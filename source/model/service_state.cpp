#include "model/service_state.hpp"

namespace lovagetack::model {

std::string subject_kind_name(subject_kind kind) {
    switch (kind) {
    case subject_kind::data_centre:
        return "data-centre";
    case subject_kind::instance:
        return "instance";
    case subject_kind::backend_server:
        return "backend-server";
    }
    return {};
}

} // namespace lovagetack::model
