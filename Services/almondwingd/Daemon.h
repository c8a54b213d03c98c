// Creates the parts of the daemon from its settings and runs them until a graceful shutdown is complete.

#pragma once

#include "ConfigurationFetcher.h"
#include "ControlApi.h"
#include "ControlNode.h"
#include "HealthPoller.h"
#include "PacketPort.h"

#include <LibFrontEnd/EventLog.h>
#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibFrontEnd/Metrics.h>
#include <LibInstance/Instance.h>
#include <LibSettings/DaemonSettings.h>

#include <absl/status/status.h>

#include <memory>

namespace almondwing {

class Daemon
{
public:
    explicit Daemon(DaemonSettings daemonSettings);

    // Opens the sockets and the data folder. An error names the part that could not be opened and the cause.
    absl::Status open();

    // Serves until SIGTERM or SIGINT and the graceful shutdown that follows.
    void run();

private:
    absl::Status openControlNode();
    void startInstance();
    void tick();
    void sendBulkParts();
    void beginStop();
    EventReporter reporter();

    DaemonSettings settings;
    EventLog log;
    IoRuntime runtime;
    std::unique_ptr<PacketPort> packets;
    std::unique_ptr<Instance> instance;
    std::shared_ptr<ControlReplica> node; // Null without a data folder.
    Metrics metrics;
    std::unique_ptr<ControlApi> api;
    std::shared_ptr<HttpServer> http;
    std::unique_ptr<PeerStateFetcher> fetcher;
    std::unique_ptr<HealthPoller> poller;
};

} // namespace almondwing
