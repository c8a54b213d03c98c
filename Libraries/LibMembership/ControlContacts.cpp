// Implements the contacts with control instances.

#include <LibMembership/ControlContacts.h>

#include <algorithm>
#include <limits>

namespace almondwing {

namespace {

constexpr std::uint8_t unknownAge = std::numeric_limits<std::uint8_t>::max(); // No contact, or too old.

void keepLatest(ControlContact &contact, Timestamp at)
{
    if (!contact.lastContact || *contact.lastContact < at)
        contact.lastContact = at;
}

std::uint8_t contactAge(ControlContact const &contact, Timestamp now)
{
    if (!contact.lastContact)
        return unknownAge;
    auto const age = std::max(Duration{}, now - *contact.lastContact);
    auto const units = (age + contactAgeUnit - Duration{1}) / contactAgeUnit;
    return static_cast<std::uint8_t>(std::min<std::int64_t>(units, unknownAge));
}

} // namespace

ControlContacts recordContact(ControlContacts contacts, InstanceId instance, Timestamp at)
{
    for (ControlContact &contact : contacts) {
        if (contact.instance == instance)
            keepLatest(contact, at);
    }
    return contacts;
}

ControlContacts mergeContactAges(ControlContacts contacts, std::span<std::uint8_t const> ages,
                                 Timestamp sentAt)
{
    if (ages.size() != contacts.size())
        return contacts;
    for (std::size_t index = 0; index < ages.size(); ++index) {
        if (ages[index] != unknownAge)
            keepLatest(contacts[index], sentAt - ages[index] * contactAgeUnit);
    }
    return contacts;
}

std::vector<std::uint8_t> contactAges(ControlContacts const &contacts, Timestamp now)
{
    std::vector<std::uint8_t> ages;
    ages.reserve(contacts.size());
    for (ControlContact const &contact : contacts)
        ages.push_back(contactAge(contact, now));
    return ages;
}

ControlContacts clearContacts(ControlContacts contacts)
{
    for (ControlContact &contact : contacts)
        contact.lastContact = std::nullopt;
    return contacts;
}

bool isControlInstance(ControlContacts const &contacts, InstanceId instance)
{
    return std::ranges::find(contacts, instance, &ControlContact::instance) != contacts.end();
}

bool hasMajorityContact(ControlContacts const &contacts, Duration maxAge, Timestamp now)
{
    auto const recent = std::ranges::count_if(contacts, [maxAge, now](ControlContact const &contact) {
        return contact.lastContact && now - *contact.lastContact <= maxAge;
    });
    return contacts.empty() || static_cast<std::size_t>(recent) > contacts.size() / 2;
}

} // namespace almondwing
