// The parts of the configuration experiment.

#pragma once

#include "Report.h"

#include <cstdint>
#include <vector>

namespace almondwing {

// The time from the submission of a change until it is in force on every instance, and how this time grows
// with the number of instances.
std::vector<ReportTable> measureConfigurationPropagation(std::uint64_t seed);

// The time that a control instance takes to start after many changes.
ReportTable measureControlStart(std::uint64_t seed);

// Bytes per change, written to disk and sent between instances.
ReportTable measureChangeBytes(std::uint64_t seed);

// Bytes per second that control instances send while there are no changes.
ReportTable measureIdleLog(std::uint64_t seed);

} // namespace almondwing
