#pragma once

namespace lovagetack::measure {

/// Each runs one experiment and writes its section of docs/measurements.md and its plots.
void measure_control_cost();
void measure_request_path();
void measure_loss();
void measure_stragglers();
void measure_data_centre_drain();
void measure_moving_hot_keys();
void measure_cold_restart();

} // namespace lovagetack::measure
