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
    EventDescription{Event::InstanceServing, Severity::Information, "InstanceServing",
                     "This instance has joined and starts to serve.", "None."},
    EventDescription{Event::PauseDetected, Severity::Warning, "PauseDetected",
                     "The process did not run for more than 1 s; it gives up its leases and rejoins.",
                     "Look for a machine that swaps or is suspended."},
    EventDescription{Event::SuspicionRefuted, Severity::Warning, "SuspicionRefuted",
                     "Others held an outdated record of this instance; it raised its incarnation.",
                     "Look at packet loss if it repeats."},
    EventDescription{Event::MemberSuspected, Severity::Warning, "MemberSuspected",
                     "An instance did not answer a probe, directly or through others.",
                     "None, unless it repeats."},
    EventDescription{Event::MemberDead, Severity::Warning, "MemberDead", "An instance is considered dead.",
                     "Restart or replace it."},
    EventDescription{Event::MemberAlive, Severity::Information, "MemberAlive",
                     "An instance has joined or returned.", "None."},
    EventDescription{Event::LeaseExpired, Severity::Warning, "LeaseExpired",
                     "No instance of the own failure domain has answered for 2 s; nothing new is dispatched.",
                     "Look at the network of the failure domain."},
    EventDescription{Event::MajorityContactLost, Severity::Warning, "MajorityContactLost",
                     "There was no sign of a majority of the control instances for 4 s; targets of other "
                     "failure domains get nothing.",
                     "Look at the control instances and the network between failure domains."},
    EventDescription{Event::TargetAnnounced, Severity::Information, "TargetAnnounced",
                     "A target has announced itself for the first time, or again after a restart.", "None."},
    EventDescription{Event::TargetTakenOver, Severity::Information, "TargetTakenOver",
                     "This instance has become the dispatcher of a target.", "None."},
    EventDescription{Event::TargetUnhealthy, Severity::Warning, "TargetUnhealthy",
                     "A target failed its checks in a row and gets no new work.", "Look at the target."},
    EventDescription{Event::TargetRecovered, Severity::Information, "TargetRecovered",
                     "A target passed its checks again and starts at the lowest ramp level.", "None."},
    EventDescription{Event::TargetCold, Severity::Warning, "TargetCold",
                     "A target shed work or answered slowly and returns to the lowest ramp level.",
                     "Look at the capacity of the target if it repeats."},
    EventDescription{Event::TargetGone, Severity::Information, "TargetGone",
                     "A target has left, or was neither heard nor announced for 60 s.",
                     "None, if it was stopped on purpose."},
    EventDescription{
        Event::HealthViewDoubted, Severity::Error, "HealthViewDoubted",
        "More than half of the targets of a service would be unhealthy at once; they stay in use.",
        "Look at the health endpoints and the network of the instances."},
    EventDescription{Event::TargetDraining, Severity::Information, "TargetDraining",
                     "A target gets no new work because it is draining.", "None."},
    EventDescription{Event::AnnouncementRejected, Severity::Warning, "AnnouncementRejected",
                     "An announcement of a target was rejected.", "Correct the settings of the target."},
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
