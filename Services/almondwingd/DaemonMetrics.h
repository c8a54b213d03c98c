// Samples the metrics of the daemon from the counters and state of its parts.

#pragma once

#include "ControlReplica.h"
#include "DatagramSockets.h"

#include <LibFrontEnd/EventLog.h>
#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/Metrics.h>
#include <LibInstance/Instance.h>

#include <vector>

namespace almondwing {

std::vector<MetricSample> sampleInstance(Instance const &instance);
std::vector<MetricSample> sampleDatagrams(DatagramCounters const &counters);
std::vector<MetricSample> sampleHttp(HttpServerCounters const &counters);
std::vector<MetricSample> sampleEvents(EventLog const &log);
std::vector<MetricSample> sampleReplication(ReplicationStatus const &status,
                                            ReplicationCounters const &counters);

} // namespace almondwing
