// Combines the parts of the configuration experiment into one report.

#include "ConfigurationMeasurements.h"
#include "Experiments.h"

#include <utility>

namespace almondwing {

Report runConfigurationExperiment(std::uint64_t seed)
{
    Report report{
        .experiment = "configuration", .seed = seed, .tables = measureConfigurationPropagation(seed)};
    report.tables.push_back(measureControlStart(seed));
    report.tables.push_back(measureChangeBytes(seed));
    report.tables.push_back(measureIdleLog(seed));
    report.notes = {
        "Spread: simulated time, link without loss; a datagram takes one way, a replication message three, a "
        "fetch four ways and 1 ms; ticks of 25 ms, checks for newer versions every 100 ms and ticks of the "
        "log every 50 ms at random phases. Syncs of the log take no simulated time.",
        "Start: real files and real time, file cache warm; until the state is restored and the configuration "
        "in force. The folders were written without syncs.",
        "Bytes: bodies as LibControlWire encodes them; HTTP with the headers that LibFrontEnd sends, "
        "including its answers, without TCP and IP."};
    return report;
}

} // namespace almondwing
