// Implements the JSON encoding of records and announcements with nlohmann/json.

#include "RecordsJson.h"

#include <LibCore/Try.h>
#include <LibManifest/JsonReader.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace almondwing {

namespace {

constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();

nlohmann::json toJson(MemberRecord const &member)
{
    return {{"id", member.id.value},
            {"name", member.name},
            {"failureDomain", member.failureDomain},
            {"peerEndpoint", member.peerEndpoint.toString()},
            {"httpEndpoint", member.httpEndpoint.toString()},
            {"incarnation", member.incarnation},
            {"state", static_cast<unsigned>(member.state)}};
}

nlohmann::json toJson(TargetRecord const &target)
{
    return {{"id", target.id.value},
            {"name", target.name},
            {"service", target.service.value},
            {"failureDomain", target.failureDomain},
            {"packetEndpoint", target.packetEndpoint.toString()},
            {"httpEndpoint", target.httpEndpoint.toString()},
            {"startMark", target.startMark},
            {"state", static_cast<unsigned>(target.state)},
            {"rampLevel", target.rampLevel},
            {"connections", target.connections},
            {"epoch", target.sequence.epoch},
            {"counter", target.sequence.counter},
            {"owner", target.sequence.owner.value}};
}

std::uint64_t readNumber(JsonValue const &object, std::string_view key, std::uint64_t maximum = maxNumber)
{
    return object.member(key).number(0, maximum);
}

Endpoint readEndpoint(JsonValue const &object, std::string_view key)
{
    JsonValue const value = object.member(key);
    auto const endpoint = Endpoint::parse(value.text());
    if (endpoint.ok())
        return *endpoint;
    value.report("a.b.c.d:port");
    return {};
}

MemberRecord readMember(JsonValue const &value)
{
    return MemberRecord{.id = InstanceId{readNumber(value, "id")},
                        .name = value.member("name").text(),
                        .failureDomain = value.member("failureDomain").text(),
                        .peerEndpoint = readEndpoint(value, "peerEndpoint"),
                        .httpEndpoint = readEndpoint(value, "httpEndpoint"),
                        .incarnation = readNumber(value, "incarnation"),
                        .state = static_cast<MemberState>(
                            readNumber(value, "state", static_cast<std::uint64_t>(MemberState::Dead)))};
}

TargetRecord readTarget(JsonValue const &value)
{
    return TargetRecord{.id = TargetId{readNumber(value, "id")},
                        .name = value.member("name").text(),
                        .service = ServiceId{readNumber(value, "service")},
                        .failureDomain = value.member("failureDomain").text(),
                        .packetEndpoint = readEndpoint(value, "packetEndpoint"),
                        .httpEndpoint = readEndpoint(value, "httpEndpoint"),
                        .startMark = readNumber(value, "startMark"),
                        .state = static_cast<TargetState>(
                            readNumber(value, "state", static_cast<std::uint64_t>(TargetState::Gone))),
                        .rampLevel = static_cast<std::uint8_t>(
                            readNumber(value, "rampLevel", std::numeric_limits<std::uint8_t>::max())),
                        .connections = static_cast<std::uint32_t>(
                            readNumber(value, "connections", std::numeric_limits<std::uint32_t>::max())),
                        .sequence = {.epoch = readNumber(value, "epoch"),
                                     .counter = readNumber(value, "counter"),
                                     .owner = InstanceId{readNumber(value, "owner")}}};
}

absl::Status toStatus(InputErrors const &errors)
{
    std::string text;
    for (InputError const &error : errors)
        text += (text.empty() ? "" : "; ") + error.toString();
    return errors.empty() ? absl::OkStatus() : absl::InvalidArgumentError(text);
}

} // namespace

ClusterRecords ClusterRecords::of(Blackboard const &blackboard)
{
    ClusterRecords records;
    for (auto &[id, member] : blackboard.members.entries())
        records.members.push_back(std::move(member));
    for (auto &[id, target] : blackboard.targets.entries())
        records.targets.push_back(std::move(target));
    return records;
}

std::string formatClusterRecords(ClusterRecords const &records)
{
    nlohmann::json json{{"members", nlohmann::json::array()}, {"targets", nlohmann::json::array()}};
    for (MemberRecord const &member : records.members)
        json["members"].push_back(toJson(member));
    for (TargetRecord const &target : records.targets)
        json["targets"].push_back(toJson(target));
    return json.dump();
}

absl::StatusOr<ClusterRecords> parseClusterRecords(std::string const &text)
{
    JsonDocument document(text);
    JsonValue const root = document.root();
    root.allowKeys({"members", "targets"});
    ClusterRecords records;
    for (JsonValue const &member : root.member("members").elements())
        records.members.push_back(readMember(member));
    for (JsonValue const &target : root.member("targets").elements())
        records.targets.push_back(readTarget(target));
    TRY_STATUS(toStatus(document.errors()));
    return records;
}

absl::StatusOr<TargetAnnouncement> parseAnnouncement(std::string const &text)
{
    JsonDocument document(text);
    JsonValue const root = document.root();
    root.allowKeys(
        {"name", "service", "failureDomain", "packetEndpoint", "httpEndpoint", "startMark", "state"});
    TargetAnnouncement const announcement{
        .name = root.member("name").text(),
        .service = root.member("service").text(),
        .failureDomain = root.member("failureDomain").text(),
        .packetEndpoint = readEndpoint(root, "packetEndpoint"),
        .httpEndpoint = readEndpoint(root, "httpEndpoint"),
        .startMark = readNumber(root, "startMark"),
        .state = root.member("state").choice<AnnouncedState>(
            {{"serving", AnnouncedState::Serving}, {"leaving", AnnouncedState::Leaving}})};
    TRY_STATUS(toStatus(document.errors()));
    return announcement;
}

} // namespace almondwing
