// Converts the counters of an instance to metrics.

#pragma once

#include <LibFrontEnd/DecisionLog.h>
#include <LibFrontEnd/Metrics.h>
#include <LibNode/ControlServer.h>
#include <LibNode/EntryNode.h>

#include <vector>

namespace almondwing {

std::vector<MetricSample> sampleEntry(EntryCounters const &counters, ViewFreshness const &freshness,
                                      Timestamp now);
std::vector<MetricSample> sampleControl(ControlState const &state);
std::vector<MetricSample> sampleLog(DecisionLog const &log);

} // namespace almondwing
