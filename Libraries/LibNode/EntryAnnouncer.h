// Tells the entries of the failure domain that this control instance has started. After a loss of power
// everywhere, an entry knows only the seeds of its settings, and these may be the last control instances to
// come back. A control instance therefore remembers on its disk which entries have followed it, and calls
// them when it starts. An entry that has a view already only acknowledges.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibCore/Endpoint.h>
#include <LibCore/EventCatalogue.h>
#include <LibFrontEnd/IoRuntime.h>

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

// POST to the readiness endpoint of an entry; the body is formatEndpoints() of the control instance.
constexpr std::string_view controlStartedPath = "/v1/control-started";

// One endpoint a line. Lines that are no endpoints are left out.
std::string formatEndpoints(std::vector<Endpoint> const &endpoints);
std::vector<Endpoint> parseEndpoints(std::string const &text);

struct EntryAnnouncerSettings
{
    Endpoint self; // Of this control instance.
    std::string folder;
    // Almost twice the entries of a failure domain at the design size (680 in 5 failure domains), so that
    // replaced ones don't displace others soon.
    std::size_t maxEntries = 256;
    // Machines come back within some seconds of each other. A call is over before the next one.
    Duration announceInterval = 100ms;
    Duration announcePeriod = 4s;
    Duration callTimeout = 90ms;
    Duration saveInterval = 1s;

    friend bool operator==(EntryAnnouncerSettings const &, EntryAnnouncerSettings const &) = default;
};

class EntryAnnouncer
{
public:
    EntryAnnouncer(IoRuntime &ioRuntime, EntryAnnouncerSettings announcerSettings,
                   EventReporter eventReporter);

    // Loads the entries from the disk and begins to call them.
    void start();

    // Remembers the readiness endpoint of an entry that follows this instance.
    void note(Endpoint entry);

    // Stores the entries if they have changed. Doesn't block: a slow disk delays only the next copy.
    void saveIfDue(Timestamp now);

private:
    struct Call
    {
        Endpoint entry;
        bool isAcknowledged = false;

        friend bool operator==(Call const &, Call const &) = default;
    };

    void announce(Timestamp until);
    absl::Status save(std::vector<Endpoint> const &known);

    IoRuntime &runtime;
    EntryAnnouncerSettings settings;
    EventReporter report;
    SerialQueue queue;
    Cell<std::vector<Endpoint>> entries; // In the order of their first contact; at most maxEntries.
    Cell<std::vector<Endpoint>> savedEntries;
    Cell<std::vector<Call>> calls; // Of this start.
    std::atomic<Timestamp> lastSave{Timestamp{}};
    std::atomic<bool> isBusy{true}; // Until the entries are loaded, and while they are written.
};

} // namespace almondwing
