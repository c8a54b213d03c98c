// Texts of the numbered events.

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
                     "The daemon received a signal and starts a graceful shutdown.", "None."},
    EventDescription{Event::ProcessStopped, Severity::Information, "ProcessStopped",
                     "The graceful shutdown is complete.", "None."},
    EventDescription{Event::SettingsRejected, Severity::Error, "SettingsRejected",
                     "The settings file has errors; each is listed with its line and key.",
                     "Correct the file and start again."},
    EventDescription{Event::InputDropped, Severity::Warning, "InputDropped",
                     "A socket received input that is malformed, from another cluster or not allowed there.",
                     "Look at the reason and the sender if the count keeps growing."},
    EventDescription{Event::ReplicaStarted, Severity::Information, "ReplicaStarted",
                     "A control instance has opened its data folder and takes part in replication.", "None."},
    EventDescription{
        Event::ReplicaCreated, Severity::Information, "ReplicaCreated",
        "A new replica ID was created in an empty data folder.",
        "None, unless the folder should not have been empty; in that case look for a lost disk."},
    EventDescription{
        Event::BootstrapCompleted, Severity::Information, "BootstrapCompleted",
        "The data folders of all control instances were empty, and a new replicated log was started.",
        "None, unless the cluster existed before; in that case stop it and restore a disk."},
    EventDescription{Event::BootstrapRefused, Severity::Warning, "BootstrapRefused",
                     "This replica is empty, but not every control instance is, or their settings differ.",
                     "Compare `control_instances` in the settings; otherwise wait for the replica to join."},
    EventDescription{Event::LeaderElected, Severity::Information, "LeaderElected",
                     "This replica leads the replicated log.", "None."},
    EventDescription{Event::LeaderSteppedDown, Severity::Warning, "LeaderSteppedDown",
                     "This replica no longer leads the replicated log.",
                     "Look at the reason; check the links between control instances if it recurs."},
    EventDescription{Event::ReplicaJoined, Severity::Information, "ReplicaJoined",
                     "An empty replica receives the log from a leader and waits to be admitted as a voter.",
                     "None."},
    EventDescription{Event::ReplicaMembershipChanged, Severity::Information, "ReplicaMembershipChanged",
                     "A change of the voters of the replicated log was committed.", "None."},
    EventDescription{Event::SnapshotInstalled, Severity::Information, "SnapshotInstalled",
                     "The replica was far behind and installed a snapshot.", "None."},
    EventDescription{Event::MajorityOfDisksLost, Severity::Error, "MajorityOfDisksLost",
                     "Most voters restarted with empty or different disks, so that no leader can be elected "
                     "and changes are refused.",
                     "Restore the previous data folders of enough control instances."},
    EventDescription{
        Event::ReplicaStorageFailed, Severity::Error, "ReplicaStorageFailed",
        "A write or sync in the data folder failed; the replica acknowledges nothing until its data folder "
        "is "
        "opened again.",
        "Free space or replace the disk, then restart; almondwing-node opens the folder again by itself."},
    EventDescription{
        Event::ReplicaStorageRefused, Severity::Error, "ReplicaStorageRefused",
        "The data folder can't be opened, is damaged or belongs to another instance; the replica does "
        "not run.",
        "Read the reason; to rejoin as a new replica, move the folder away and restart."},
    EventDescription{Event::TornRecordCut, Severity::Warning, "TornRecordCut",
                     "The last record of the log was incomplete after a crash and was truncated; it had "
                     "never been acknowledged.",
                     "None."},
    EventDescription{
        Event::ForeignHistoryRefused, Severity::Error, "ForeignHistoryRefused",
        "A message from a replica of a different cluster history was received; the replica is ignored.",
        "Find the instance that was started with other control instances and empty its data folder."},
    EventDescription{Event::DuplicateInstance, Severity::Error, "DuplicateInstance",
                     "Two live replicas use the same instance name; the new one is not admitted.",
                     "Stop one of them."},
    EventDescription{Event::ConfigurationInForce, Severity::Information, "ConfigurationInForce",
                     "A newer version of the configuration is in force on this instance.", "None."},
    EventDescription{
        Event::ConfigurationRefused, Severity::Error, "ConfigurationRefused",
        "A received or replicated configuration or change is invalid or contradicts the version in "
        "force.",
        "Check that all control instances belong to the same cluster and share one log."},
    EventDescription{Event::ChangeAnswered, Severity::Information, "ChangeAnswered",
                     "A change or read request of an operator was answered; the status gives the result.",
                     "Look at the reason if the status is not 200."},
    EventDescription{Event::DomainServiceChanged, Severity::Information, "DomainServiceChanged",
                     "On this instance, a failure domain was taken out of service or returned to service.",
                     "None."},
    EventDescription{Event::ViewSourceLost, Severity::Warning, "ViewSourceLost",
                     "An entry has stopped following a control instance and contacts another one.",
                     "Look at the control instance and the network to it if it repeats."},
    EventDescription{Event::ViewChanged, Severity::Information, "ViewChanged",
                     "An entry now routes by a newer view.", "None."},
    EventDescription{Event::ViewSourceFollowed, Severity::Information, "ViewSourceFollowed",
                     "An entry has started to follow a control instance.", "None."},
    EventDescription{
        Event::RecordQuorumMissing, Severity::Warning, "RecordQuorumMissing",
        "A non-idempotent request was refused because fewer than two instances stored its record.",
        "Look for instances of the failure domain that are down or unreachable."},
    EventDescription{Event::TryOverdue, Severity::Warning, "TryOverdue",
                     "A target did not finish a request before its deadline and was asked to cancel it.",
                     "Look at the load and health of the target if the count keeps growing."},
    EventDescription{
        Event::SlotConfirmationMissing, Severity::Warning, "SlotConfirmationMissing",
        "A target did not confirm the end of an overdue request; its slot was freed after the grace period.",
        "Look at the health of the target."},
    EventDescription{
        Event::ForeignAnswerDropped, Severity::Warning, "ForeignAnswerDropped",
        "A part of an answer was dropped because it belongs to no current try or contradicts earlier parts.",
        "Look at the target if the count keeps growing."},
    EventDescription{Event::AnswerMemoryFull, Severity::Warning, "AnswerMemoryFull",
                     "Stored answers have reached their memory limit; parts are dropped and requested again.",
                     "Add instances, or shorten the answers."},
    EventDescription{Event::SlotsInherited, Severity::Information, "SlotsInherited",
                     "The slots of a target are counted as busy because requests of a previous dispatcher "
                     "may still occupy them.",
                     "None."},
    EventDescription{
        Event::TargetRestartedUnderTry, Severity::Warning, "TargetRestartedUnderTry",
        "A target restarted while a request was assigned to it; the outcome of the request is unknown.",
        "Look for the cause of the restart."},
    EventDescription{Event::InstanceServing, Severity::Information, "InstanceServing",
                     "This instance has joined the cluster and starts to serve.", "None."},
    EventDescription{Event::PauseDetected, Severity::Warning, "PauseDetected",
                     "The process did not run for more than 1 s; it gives up its leases and rejoins.",
                     "Look for a machine that swaps or is suspended."},
    EventDescription{Event::SuspicionRefuted, Severity::Warning, "SuspicionRefuted",
                     "Other instances had an outdated record of this instance; it raised its incarnation.",
                     "Look at packet loss if it repeats."},
    EventDescription{Event::MemberSuspected, Severity::Warning, "MemberSuspected",
                     "An instance answered neither a direct nor an indirect ping.",
                     "None, unless it repeats."},
    EventDescription{Event::MemberDead, Severity::Warning, "MemberDead", "An instance is considered dead.",
                     "Restart or replace it."},
    EventDescription{Event::MemberAlive, Severity::Information, "MemberAlive",
                     "An instance has joined or returned.", "None."},
    EventDescription{Event::LeaseExpired, Severity::Warning, "LeaseExpired",
                     "No instance of this failure domain has answered for 2 s; no new work is dispatched.",
                     "Look at the network of the failure domain."},
    EventDescription{
        Event::MajorityContactLost, Severity::Warning, "MajorityContactLost",
        "This instance has lost contact with a majority of the control instances. It keeps the latest "
        "configuration that it has; no changes are acknowledged without a majority.",
        "Look at the control instances and the network between failure domains."},
    EventDescription{
        Event::MajorityContactRegained, Severity::Information, "MajorityContactRegained",
        "A control instance is in contact with a majority of the voters of the replicated log again.",
        "None."},
    EventDescription{
        Event::TargetAnnounced, Severity::Information, "TargetAnnounced",
        "A target has announced itself for the first time, after a restart or with changed data.", "None."},
    EventDescription{Event::TargetTakenOver, Severity::Information, "TargetTakenOver",
                     "This instance has become the dispatcher of a target.", "None."},
    EventDescription{Event::TargetUnhealthy, Severity::Warning, "TargetUnhealthy",
                     "A target failed several consecutive health checks and gets no new work.",
                     "Look at the target."},
    EventDescription{Event::TargetRecovered, Severity::Information, "TargetRecovered",
                     "A target passed its health checks again and starts at the lowest ramp level.", "None."},
    EventDescription{Event::TargetCold, Severity::Warning, "TargetCold",
                     "A target shed work or answered slowly and returns to the lowest ramp level.",
                     "Look at the capacity of the target if it repeats."},
    EventDescription{Event::TargetGone, Severity::Information, "TargetGone",
                     "A target has left, or nothing was received from it for 60 s.",
                     "None, if it was stopped on purpose."},
    EventDescription{
        Event::HealthViewDoubted, Severity::Error, "HealthViewDoubted",
        "More than half of the targets of a service would be unhealthy at once; they stay in use.",
        "Look at the health endpoints and the network of the instances."},
    EventDescription{Event::TargetDraining, Severity::Information, "TargetDraining",
                     "A target gets no new work because it is draining.", "None."},
    EventDescription{Event::AnnouncementRejected, Severity::Warning, "AnnouncementRejected",
                     "An announcement of a target was rejected.", "Correct the settings of the target."},
    EventDescription{
        Event::TargetSuspected, Severity::Warning, "TargetSuspected",
        "Callers of a target got no answer; it is checked and gets no new flows for a short time.",
        "Look at the target if it repeats."},
    EventDescription{
        Event::TargetUnreachable, Severity::Warning, "TargetUnreachable",
        "A direct check of an unresponsive target failed as well; its flows are reset for a short time.",
        "Look at the target, or at the link to it, if it repeats."},
    EventDescription{
        Event::RegistryNotStored, Severity::Warning, "RegistryNotStored",
        "The copy of the registry of targets could not be read or written.",
        "Look at the disk; until it works, an instance that starts waits for the heartbeats of the targets."},
    EventDescription{
        Event::EndAnswered, Severity::Information, "EndAnswered",
        "The drain or end request of a target was answered after the control instances were notified.",
        "Look at the links between control instances if it was not acknowledged."},
    EventDescription{
        Event::ReportRefused, Severity::Warning, "ReportRefused",
        "A heartbeat or deregistration that no target sends was refused; it changed nothing. At most one "
        "line a second.",
        "Find the writer by the path and the reason; almondwing_reports_refused_total counts all of them."},
    EventDescription{Event::FlowPlaced, Severity::Information, "FlowPlaced",
                     "The opening packet of a flow was sent to a target.", "None."},
    EventDescription{Event::FlowReset, Severity::Information, "FlowReset",
                     "A flow was reset towards its caller; the log line gives the reason.",
                     "Look for missing routes or targets if the count keeps growing."},
    EventDescription{Event::PacketDropped, Severity::Warning, "PacketDropped",
                     "A packet of a caller was not forwarded; the log line gives the reason.",
                     "Look at the reason if the count keeps growing."},
    EventDescription{Event::PacketHeld, Severity::Information, "PacketHeld",
                     "A packet waits for the view, because its target or the configuration is not known yet.",
                     "Look at the control instances if the count keeps growing."},
    EventDescription{Event::FlowEstablished, Severity::Information, "FlowEstablished",
                     "The first packet after the opening packet of a flow was forwarded.", "None."},
    EventDescription{Event::OpeningRepeated, Severity::Information, "OpeningRepeated",
                     "An opening without an answer was sent to another target, because its target is gone.",
                     "None."},
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
