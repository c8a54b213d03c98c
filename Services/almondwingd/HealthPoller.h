// Polls the health and load of the targets of this instance over HTTP when a check is due.

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
    void checkLoad(HealthCheck const &check);

    IoRuntime &runtime;
    Instance &instance;
};

} // namespace almondwing
