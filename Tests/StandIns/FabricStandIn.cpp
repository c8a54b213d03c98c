// fabric-stand-in: simulates the network between callers and instances. Any packet of a caller may go to any
// instance. The instances see each caller under an address that the fabric assigns, as behind a NAT.

#include <LibBlackboard/ShardedTable.h>
#include <LibStandIns/EventLoop.h>
#include <LibStandIns/FabricModel.h>
#include <LibStandIns/Http.h>
#include <LibStandIns/SharedRandom.h>
#include <LibStandIns/StandInUdpSocket.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace almondwing {

namespace {

constexpr std::size_t threadCount = 2;
constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};

struct Options
{
    std::vector<std::string> services;
    std::vector<std::string> instances;
    std::string control = "127.0.0.1:0";
    std::string cluster; // Unused, as the fabric decodes no packet; keeps the three command lines alike.
    std::uint64_t seed = 1;
    LinkQuality quality;
    std::int64_t maxDelayMs = 20;
};

struct NatKey
{
    Endpoint service;
    Endpoint caller;

    friend bool operator==(NatKey, NatKey) = default;
};

struct HashNatKey
{
    std::size_t operator()(NatKey key) const noexcept
    {
        return combineHashes(std::hash<Endpoint>{}(key.service), std::hash<Endpoint>{}(key.caller));
    }
};

} // namespace

} // namespace almondwing

template<>
struct std::hash<almondwing::NatKey> : almondwing::HashNatKey
{
};

namespace almondwing {

namespace {

class Fabric
{
public:
    Fabric(EventLoop &eventLoop, FabricModel &fabricModel) : loop(eventLoop), model(fabricModel) { }

    // Returns the bound address, which callers send to.
    absl::StatusOr<Endpoint> addService(Endpoint address)
    {
        std::size_t const index = this->services.size();
        auto socket = StandInUdpSocket::open(this->loop, address,
                                             [this, index](Endpoint from, std::string_view datagram) {
                                                 this->forward(*this->services[index], from, datagram);
                                             });
        if (!socket.ok())
            return socket.status();
        this->services.push_back(*socket);
        return (*socket)->localEndpoint();
    }

private:
    using Socket = std::shared_ptr<StandInUdpSocket>;

    void forward(StandInUdpSocket &service, Endpoint caller, std::string_view datagram)
    {
        Socket const socket = this->natSocket(service, caller);
        if (!socket)
            return;
        for (Delivery const &delivery : this->model.routeToInstance(caller))
            this->sendAfter(delivery.delay, *socket, delivery.instance, datagram);
    }

    void returnToCaller(StandInUdpSocket &service, Endpoint from, Endpoint caller, std::string_view datagram)
    {
        for (Delivery const &delivery : this->model.routeToCaller(from, caller))
            this->sendAfter(delivery.delay, service, caller, datagram);
    }

    // Packets of one service are received one at a time, so a caller never gets two NAT sockets for the
    // service.
    Socket natSocket(StandInUdpSocket &service, Endpoint caller)
    {
        NatKey const key{.service = service.localEndpoint(), .caller = caller};
        if (auto const known = this->natSockets.read(key))
            return known->value;
        auto const socket = StandInUdpSocket::open(
            this->loop, anyLoopbackPort, [this, &service, caller](Endpoint from, std::string_view datagram) {
                this->returnToCaller(service, from, caller, datagram);
            });
        if (!socket.ok()) {
            std::cerr << "packet dropped: " << socket.status().message() << '\n';
            return nullptr;
        }
        this->natSockets.write(key, *socket, 0);
        return *socket;
    }

    // Sockets are never removed, so the reference is valid when the delayed packet is sent.
    void sendAfter(Duration delay, StandInUdpSocket &socket, Endpoint to, std::string_view datagram)
    {
        if (delay == Duration{}) {
            socket.send(to, std::string(datagram));
            return;
        }
        this->loop.schedule(delay, [&socket, to, copy = std::string(datagram)] { socket.send(to, copy); });
    }

    EventLoop &loop;
    FabricModel &model;
    std::vector<Socket> services; // Complete before the event loop runs.
    ShardedTable<NatKey, Socket> natSockets;
};

std::vector<Endpoint> parseEndpoints(std::vector<std::string> const &texts)
{
    std::vector<Endpoint> endpoints;
    for (std::string const &text : texts) {
        auto const endpoint = parseListenEndpoint(text);
        if (!endpoint.ok())
            throw CLI::ValidationError(std::string(endpoint.status().message()));
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

void addOptions(CLI::App &app, Options &options)
{
    app.add_option("--service", options.services, "Address that callers send to; may be repeated")
        ->required();
    app.add_option("--instance", options.instances, "Entry socket of an instance; may be repeated");
    app.add_option("--control", options.control, "Address of the control endpoint (HTTP)");
    app.add_option("--cluster", options.cluster, "Accepted but not used");
    app.add_option("--seed", options.seed, "Seed of all random choices");
    app.add_option("--loss", options.quality.loss, "Probability that a packet is lost")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--duplicate", options.quality.duplicate, "Probability that a packet is duplicated")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--delay", options.quality.delay, "Probability that a packet is delayed")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--maximum-delay-ms", options.maxDelayMs, "Maximum delay of a delayed packet")
        ->check(CLI::Range(0, 60'000));
}

int runFabric(Options const &options)
{
    EventLoop loop;
    LinkQuality quality = options.quality;
    quality.maxDelay = std::chrono::milliseconds(options.maxDelayMs);
    FabricModel model(parseEndpoints(options.instances), quality, makeSharedRandom(options.seed));
    Fabric fabric(loop, model);
    std::string services;
    for (Endpoint const service : parseEndpoints(options.services)) {
        auto const bound = fabric.addService(service);
        if (!bound.ok()) {
            std::cerr << bound.status().message() << '\n';
            return EXIT_FAILURE;
        }
        services += fmt::format(R"({}"{}")", services.empty() ? "" : ",", bound->toString());
    }
    auto const control =
        StandInHttpServer::open(loop, parseEndpoints({options.control}).front(),
                                [&](HttpRequest const &request) { return model.control(request); });
    if (!control.ok()) {
        std::cerr << control.status().message() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << fmt::format(R"({{"ready":true,"control":"{}","services":[{}]}})",
                             (*control)->localEndpoint().toString(), services)
              << std::endl;
    loop.run(threadCount);
    return EXIT_SUCCESS;
}

} // namespace

} // namespace almondwing

int main(int argc, char **argv)
{
    CLI::App app("Simulates the network between callers and instances.");
    almondwing::Options options;
    almondwing::addOptions(app, options);
    try {
        app.parse(argc, argv);
        return almondwing::runFabric(options);
    } catch (CLI::ParseError const &error) {
        return app.exit(error);
    }
}
