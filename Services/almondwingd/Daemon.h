// Creates the parts of the daemon from its settings and runs them until a graceful shutdown is complete.

#pragma once

#include "ControlReplica.h"
#include "DatagramSockets.h"
#include "HealthPoller.h"
#include "HttpApi.h"
#include "PeerStateFetcher.h"

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

    // Returns when the graceful shutdown that SIGTERM or SIGINT starts is complete.
    void run();

private:
    absl::Status openControlReplica();
    void startInstance();
    void tick();
    void sendBulkParts();
    void beginStop();
    EventReporter reporter();

    DaemonSettings settings;
    EventLog log;
    IoRuntime runtime;
    std::unique_ptr<DatagramSockets> sockets;
    std::unique_ptr<Instance> instance;
    std::shared_ptr<ControlReplica> control; // Null without a data folder.
    Metrics metrics;
    std::unique_ptr<HttpApi> api;
    std::shared_ptr<HttpServer> http;
    std::unique_ptr<PeerStateFetcher> fetcher;
    std::unique_ptr<HealthPoller> poller;
};

} // namespace almondwing
