// Checks how settings fit together.

#include <LibSettings/SettingsCheck.h>

#include <LibManifest/Name.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace almondwing {

namespace {

// Reports every value that was used before under another key. Absent and malformed values are not compared.
template<typename Value>
class UniqueValues
{
public:
    void add(Value const &value, std::string owner, TomlValue const &place)
    {
        if (value == Value{} || !place.isPresent())
            return;
        auto const [earlier, isNew] = this->owners.emplace(value, std::move(owner));
        if (!isNew)
            place.report(fmt::format("a value other than that of {}", earlier->second));
    }

private:
    std::map<Value, std::string> owners;
};

void checkListSize(TomlValue const &list, std::size_t size, std::size_t maximum)
{
    if (size > maximum)
        list.report(fmt::format("at most {} entries", maximum));
}

void checkEndpoints(DaemonSettings const &settings, TomlValue const &root,
                    std::vector<TomlValue> const &peers)
{
    // TCP and UDP ports are separate, so the HTTP socket may share a number with a UDP socket.
    UniqueValues<Endpoint> udp;
    UniqueValues<Endpoint> tcp;
    TomlValue const listen = root.optionalMember("listen");
    udp.add(settings.listen.entry, "listen.entry", listen.optionalMember("entry"));
    udp.add(settings.listen.target, "listen.target", listen.optionalMember("target"));
    udp.add(settings.listen.peer, "listen.peer", listen.optionalMember("peer"));
    tcp.add(settings.listen.http, "listen.http", listen.optionalMember("http"));
    for (std::size_t index = 0; index < peers.size(); ++index) {
        udp.add(settings.peers[index].peer, fmt::format("peers[{}].peer", index),
                peers[index].optionalMember("peer"));
        tcp.add(settings.peers[index].http, fmt::format("peers[{}].http", index),
                peers[index].optionalMember("http"));
    }
}

void checkPeerNames(DaemonSettings const &settings, TomlValue const &root,
                    std::vector<TomlValue> const &peers)
{
    UniqueValues<std::string> names;
    names.add(settings.instance, "instance", root.optionalMember("instance"));
    for (std::size_t index = 0; index < peers.size(); ++index)
        names.add(settings.peers[index].name, fmt::format("peers[{}].name", index),
                  peers[index].optionalMember("name"));
}

void checkControlInstances(DaemonSettings const &settings, TomlValue const &list)
{
    auto const controlPeers = std::ranges::count(settings.peers, ControlRole::Control, &PeerSettings::role);
    auto const count = static_cast<std::size_t>(controlPeers) + (settings.dataFolder ? 1U : 0U);
    if (count > maxControlInstances)
        list.report(fmt::format("at most {} control instances, this one included; {} are given",
                                maxControlInstances, count));
    // Without any of them the instance would never learn a configuration.
    if (count == 0)
        list.report("at least one peer with control = true, or data_folder");
}

void checkOperators(DaemonSettings const &settings, TomlValue const &list)
{
    checkListSize(list, settings.operators.size(), maxOperators);
    std::vector<TomlValue> const operators = list.tables();
    UniqueValues<std::string> names;
    for (std::size_t index = 0; index < operators.size(); ++index)
        names.add(settings.operators[index].name, fmt::format("operators[{}].name", index),
                  operators[index].optionalMember("name"));
}

} // namespace

void checkSettings(DaemonSettings const &settings, TomlValue const &root)
{
    // Text that is no TOML has been reported; nothing else can be said of it.
    if (!root.isPresent())
        return;
    TomlValue const peerList = root.optionalMember("peers");
    std::vector<TomlValue> const peers = peerList.tables();
    checkListSize(peerList, settings.peers.size(), maxPeers);
    checkEndpoints(settings, root, peers);
    checkPeerNames(settings, root, peers);
    checkControlInstances(settings, peerList);
    checkOperators(settings, root.optionalMember("operators"));
}

} // namespace almondwing
