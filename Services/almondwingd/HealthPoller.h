// Asks the targets of this instance for their health and load over HTTP when a check is due.

#pragma once

#include <LibFrontEnd/IoRuntime.h>
#include <LibInstance/Instance.h>

namespace almondwing {

class HealthPoller
{
public:
    HealthPoller(IoRuntime &ioRuntime, Instance &polledInstance);

    void start();

private:
    void check(HealthCheck const &check);
    void askForLoad(HealthCheck const &check);

    IoRuntime &runtime;
    Instance &instance;
};

} // namespace almondwing
