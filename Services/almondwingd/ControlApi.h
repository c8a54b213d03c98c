// The HTTP API of the daemon: target announcements, configuration changes and queries of operators, and the
// state that instances fetch from each other.

#pragma once

#include "ControlNode.h"
#include "OperatorRegister.h"

#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibFrontEnd/Metrics.h>
#include <LibInstance/Instance.h>
#include <LibSettings/DaemonSettings.h>

#include <memory>
#include <vector>

namespace almondwing {

class ControlApi
{
public:
    // `controlNode` is null on instances without a data folder.
    ControlApi(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings, Instance &servedInstance,
               std::shared_ptr<ControlReplica> controlNode, Metrics const &shownMetrics);

    void handle(HttpRequest const &request, HttpResponder const &respond);

private:
    // Whether an earlier attempt at another control instance may still apply the change.
    enum class EarlierAttempt { NotApplied, MayBeApplied };

    void handleAnnouncement(HttpRequest const &request, HttpResponder const &respond);
    void handleChange(HttpRequest const &request, HttpResponder const &respond);
    void submitLocally(ChangeRequest const &change, HttpRequest const &request, HttpResponder const &respond);
    void forwardChange(HttpRequest const &request, std::vector<Endpoint> servers, EarlierAttempt earlier,
                       HttpResponder const &respond);
    void handleCoverage(HttpRequest const &request, HttpResponder const &respond);
    void handleAudit(HttpRequest const &request, HttpResponder const &respond);
    void forwardQuery(HttpRequest const &request, std::vector<Endpoint> servers,
                      HttpResponder const &respond);
    HttpResponse explain(HttpRequest const &request) const;
    std::vector<Endpoint> otherControlInstances() const;

    IoRuntime &runtime;
    DaemonSettings settings;
    Instance &instance;
    std::shared_ptr<ControlReplica> node;
    Metrics const &metrics;
    OperatorRegister operators;
};

} // namespace almondwing
