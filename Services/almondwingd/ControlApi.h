// The HTTP surface of the daemon: announcements of targets, changes and questions of operators, and what
// instances fetch from each other.

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
    // `node` is null on instances without a data folder.
    ControlApi(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings, Instance &servedInstance,
               std::shared_ptr<ControlNode> controlNode, Metrics const &shownMetrics);

    void handle(HttpRequest const &request, HttpResponder const &respond);

private:
    // Whether an earlier server may have the change under way.
    enum class PassOnState { NotDone, MayBeUnderWay };

    void handleAnnouncement(HttpRequest const &request, HttpResponder const &respond);
    void handleChange(HttpRequest const &request, HttpResponder const &respond);
    void submitHere(ChangeRequest const &change, HttpRequest const &request, HttpResponder const &respond);
    void passOnChange(HttpRequest const &request, std::vector<Endpoint> servers, PassOnState state,
                      HttpResponder const &respond);
    void handleCoverage(HttpRequest const &request, HttpResponder const &respond);
    void handleAudit(HttpRequest const &request, HttpResponder const &respond);
    void passOnQuestion(HttpRequest const &request, std::vector<Endpoint> servers,
                        HttpResponder const &respond);
    HttpResponse explain(HttpRequest const &request) const;
    std::vector<Endpoint> otherControlInstances() const;

    IoRuntime &runtime;
    DaemonSettings settings;
    Instance &instance;
    std::shared_ptr<ControlNode> node;
    Metrics const &metrics;
    OperatorRegister operators;
};

} // namespace almondwing
