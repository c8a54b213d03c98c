// Fetches from peers what membership messages say is newer there: the configuration, and records that differ.

#pragma once

#include <LibFrontEnd/IoRuntime.h>
#include <LibInstance/Instance.h>

#include <atomic>

namespace almondwing {

class ConfigurationFetcher
{
public:
    ConfigurationFetcher(IoRuntime &ioRuntime, Instance &fetchingInstance);

    void start();

private:
    void fetchConfigurationIfOlder();
    void fetchRecordsIfStale();

    IoRuntime &runtime;
    Instance &instance;
    std::atomic<bool> isFetching = false; // One fetch of the configuration at a time.
};

} // namespace almondwing
