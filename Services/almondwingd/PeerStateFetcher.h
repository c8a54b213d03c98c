// Fetches newer state from peers over HTTP: the configuration when a membership message reports a higher
// version, and member and target records when the digests differ.

#pragma once

#include <LibFrontEnd/IoRuntime.h>
#include <LibInstance/Instance.h>

#include <atomic>

namespace almondwing {

class PeerStateFetcher
{
public:
    PeerStateFetcher(IoRuntime &ioRuntime, Instance &fetchingInstance);

    void start();

private:
    void fetchConfigurationIfOlder(); // Fetches a newer one if the own one is older.
    void fetchClusterRecordsIfDue();

    IoRuntime &runtime;
    Instance &instance;
    std::atomic<bool> isFetchingConfiguration = false; // Limits configuration fetches to one at a time.
};

} // namespace almondwing
