// The catalogue of numbered events.

#include <LibCore/EventCatalogue.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>

namespace almondwing {

namespace {

constexpr std::array catalogue{
    EventDescription{Event::ProcessStarted, Severity::Information, "ProcessStarted",
                     "The daemon has started and listens on its sockets.", "None."},
    EventDescription{Event::ProcessStopping, Severity::Information, "ProcessStopping",
                     "The daemon got a signal and begins a graceful shutdown.", "None."},
    EventDescription{Event::ProcessStopped, Severity::Information, "ProcessStopped",
                     "The graceful shutdown is complete.", "None."},
    EventDescription{Event::SettingsRejected, Severity::Error, "SettingsRejected",
                     "The settings file has errors; each is listed with its line and key.",
                     "Correct the file and start again."},
    EventDescription{Event::InputDropped, Severity::Warning, "InputDropped",
                     "A socket received input that is malformed, foreign or not allowed there.",
                     "Look at the reason and the sender if the count keeps growing."},
    EventDescription{Event::ReplicaStarted, Severity::Information, "ReplicaStarted",
                     "A control instance has opened its data folder and takes part in replication.", "None."},
    EventDescription{Event::ReplicaCreated, Severity::Information, "ReplicaCreated",
                     "An empty data folder got a new replica id.",
                     "None, unless the folder was expected to have contents; then look for a lost disk."},
    EventDescription{Event::BootstrapCompleted, Severity::Information, "BootstrapCompleted",
                     "Every control instance was empty and a new history begins.",
                     "None, unless the cluster is an old one; then stop it and restore a disk."},
    EventDescription{Event::BootstrapRefused, Severity::Warning, "BootstrapRefused",
                     "This replica is empty, but not every control instance is, or their settings differ.",
                     "Compare `control_instances` in the settings; otherwise wait for the replica to join."},
    EventDescription{Event::LeaderElected, Severity::Information, "LeaderElected",
                     "This replica leads the replicated log.", "None."},
    EventDescription{Event::LeaderSteppedDown, Severity::Warning, "LeaderSteppedDown",
                     "This replica no longer leads the replicated log.",
                     "Look at the reason; check the links between control instances if it recurs."},
    EventDescription{Event::ReplicaJoined, Severity::Information, "ReplicaJoined",
                     "An empty replica gets the log from a leader and waits to be admitted as a voter.",
                     "None."},
    EventDescription{Event::ReplicaMembershipChanged, Severity::Information, "ReplicaMembershipChanged",
                     "A change of the voters of the replicated log is committed.", "None."},
    EventDescription{Event::SnapshotInstalled, Severity::Information, "SnapshotInstalled",
                     "The replica was far behind and has taken over a snapshot.", "None."},
    EventDescription{Event::MajorityOfDisksLost, Severity::Error, "MajorityOfDisksLost",
                     "Most voters came back with empty or other disks, so that no leader can be elected and "
                     "changes are refused.",
                     "Bring back the old data folders of enough control instances."},
    EventDescription{
        Event::ReplicaStorageFailed, Severity::Error, "ReplicaStorageFailed",
        "A write or sync in the data folder failed; the replica acknowledges nothing until it is restarted.",
        "Free space or replace the disk, then restart."},
    EventDescription{Event::ReplicaStorageRefused, Severity::Error, "ReplicaStorageRefused",
                     "The data folder is damaged or belongs to another instance; the replica does not start.",
                     "Read the reason; to rejoin as a new replica, move the folder away and restart."},
    EventDescription{
        Event::TornRecordCut, Severity::Warning, "TornRecordCut",
        "The last record of the log was incomplete after a crash and was cut off; it was never acknowledged.",
        "None."},
    EventDescription{
        Event::ForeignHistoryRefused, Severity::Error, "ForeignHistoryRefused",
        "A replica of another history was heard and is ignored.",
        "Find the instance that was started with other control instances and empty its data folder."},
    EventDescription{Event::DuplicateInstance, Severity::Error, "DuplicateInstance",
                     "Two live replicas use the same instance name; the new one is not admitted.",
                     "Stop one of them."},
};

} // namespace

std::span<EventDescription const> eventCatalogue()
{
    return catalogue;
}

EventDescription const &describeEvent(Event event)
{
    auto const *const description = std::ranges::find(catalogue, event, &EventDescription::event);
    VERIFY(description != catalogue.end());
    return *description;
}

} // namespace almondwing
