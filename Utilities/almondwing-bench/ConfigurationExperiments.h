// The parts of the experiment on the configuration, one for each table of its report.

#pragma once

#include "Report.h"

#include <cstdint>
#include <vector>

namespace almondwing {

// From the submission of a change until it is in force on every instance, and its growth with the size.
std::vector<ReportTable> measureConfigurationSpread(std::uint64_t seed);

// The start of a control instance after many changes.
ReportTable measureControlStart(std::uint64_t seed);

// Bytes for each change, on the disk and between instances.
ReportTable measureChangeBytes(std::uint64_t seed);

// Bytes that control instances send while there are no changes.
ReportTable measureIdleLog(std::uint64_t seed);

} // namespace almondwing
