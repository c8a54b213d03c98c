// Implements the checks that involve several settings.

#include <LibSettings/SettingsCheck.h>

#include <LibManifest/Name.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace almondwing {

namespace {

// Reports each key that has the same value as an earlier one. Absent and malformed values are not compared.
template<typename Value>
class UniqueValues
{
public:
    void add(Value const &value, std::string key, TomlValue const &source)
    {
        if (value == Value{} || !source.isPresent())
            return;
        auto const [earlier, isNew] = this->keys.emplace(value, std::move(key));
        if (!isNew)
            source.report(fmt::format("a value other than that of {}", earlier->second));
    }

private:
    std::map<Value, std::string> keys;
};

void checkListSize(TomlValue const &list, std::size_t size, std::size_t maximum)
{
    if (size > maximum)
        list.report(fmt::format("at most {} entries", maximum));
}

void checkEndpoints(DaemonSettings const &settings, TomlValue const &root,
                    std::vector<TomlValue> const &peers)
{
    // TCP and UDP ports are separate, so the HTTP socket may use the same port number as a UDP socket.
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
    // Without a control instance, this instance would never receive a configuration.
    if (count == 0)
        list.report("at least one peer with control = true, or data_folder");
}

void checkOperators(DaemonSettings const &settings, TomlValue const &list)
{
    checkListSize(list, settings.operators.size(), maxOperators);
    std::vector<TomlValue> const operators = list.elements();
    UniqueValues<std::string> names;
    for (std::size_t index = 0; index < operators.size(); ++index)
        names.add(settings.operators[index].name, fmt::format("operators[{}].name", index),
                  operators[index].optionalMember("name"));
}

} // namespace

void checkSettings(DaemonSettings const &settings, TomlValue const &root)
{
    // Text that is not TOML has already been reported, and nothing else can be checked in it.
    if (!root.isPresent())
        return;
    TomlValue const peerList = root.optionalMember("peers");
    std::vector<TomlValue> const peers = peerList.elements();
    checkListSize(peerList, settings.peers.size(), maxPeers);
    checkEndpoints(settings, root, peers);
    checkPeerNames(settings, root, peers);
    checkControlInstances(settings, peerList);
    checkOperators(settings, root.optionalMember("operators"));
}

} // namespace almondwing
