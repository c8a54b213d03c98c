// Fuzzes the decoders of the messages between the instances of token routing and of the stored registry.

#include "FuzzSeeds.h"

#include <LibCore/Verify.h>
#include <LibNode/NodeWire.h>

#include <algorithm>
#include <array>
#include <string>

namespace {

using namespace almondwing;

constexpr Timestamp now{50h};

RegisteredTarget const target{.number = TargetNumber{0xfeedface},
                              .service = "orders",
                              .failureDomain = "dar-a",
                              .endpoint = Endpoint{.address = 0x0a800009, .port = 8080},
                              .slots = 2,
                              .state = RegisteredState::Draining,
                              .reportVersion =
                                  ReportVersion{.startUnixMilliseconds = 1796379918051, .sequence = 7},
                              .lastSeenAt = now - 300ms,
                              .coldUntil = now + 1500ms};

ViewReply seedReply()
{
    return ViewReply{
        .bootId = 9,
        .registryGeneration = 12,
        .extent = RegistryExtent::Full,
        .isInContact = true,
        .configuration =
            ConfigurationView{
                .revision = 4,
                .configuration =
                    FlowConfiguration{
                        .version = 7,
                        .routes = {FlowRoute{.endpoint = Endpoint{.address = 0xc6120001, .port = 443},
                                             .services = {WeightedService{"orders", 90}}}},
                        .services = {"orders"}}},
        .targets = {target},
        .overdue = {TargetNumber{5}},
        .controlInstances = {ControlPeer{.endpoint = Endpoint{.address = 0x0a010001, .port = 8166}}},
        .activity = {TargetActivity{.token = TargetToken{3}, .flows = 8}},
        .loads = {GroupLoad{.group = TargetGroup{"orders", "dar-b"}, .flows = 3, .slots = 4}}};
}

RegistryExchange seedExchange()
{
    return RegistryExchange{
        .from = Endpoint{.address = 0x0a010001, .port = 8166},
        .failureDomain = "dar-a",
        .bootId = 3,
        .targets = {target},
        .heartbeats = {RegisteredTarget{.number = TargetNumber{6},
                                        .reportVersion = {.startUnixMilliseconds = 5, .sequence = 9},
                                        .lastSeenAt = now}},
        .receiverBootId = 8};
}

// The last two have a negative number, a fraction, a number beyond 64 bits, a repeated member and invalid
// UTF-8.
std::array<std::string, 7> const seedTexts{
    formatViewRequest(ViewRequest{.instance = "e", .failureDomain = "dar-a", .bootId = 4}),
    formatViewReply(seedReply(), now),
    formatRegistryExchange(seedExchange(), now),
    formatRegistryExchangeReply(RegistryExchangeReply{.bootId = 4, .missing = {TargetNumber{7}}}),
    formatTargets({target}, now),
    R"([[1,"o","d","1.2.3.4:1",1.5,0,-1,18446744073709551616,0,-1]])",
    "{\"boot\":1,\"boot\":-1,\"missing\":[1e300,\"\xff\"]}"};

std::array<std::string_view, 7> const seeds = [] {
    std::array<std::string_view, 7> views;
    std::ranges::copy(seedTexts, views.begin());
    return views;
}();

template<typename Parse, typename Format>
void check(std::string_view text, Parse const &parse, Format const &format)
{
    auto const parsed = parse(text);
    if (!parsed.ok()) {
        VERIFY(!parsed.status().message().empty());
        return;
    }
    auto const again = parse(format(*parsed));
    VERIFY(again.ok());
    VERIFY(*again == *parsed);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maximumSize,
                                               unsigned random)
{
    return mutateFromSeeds(seeds, {data, maximumSize}, size, random);
}

// Guards against input from another instance or a damaged file that crashes the process, and against numbers
// that are truncated to the range of their field.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const *>(data), size);
    check(text, parseViewRequest, formatViewRequest);
    check(
        text, [](std::string_view input) { return parseViewReply(input, now); },
        [](ViewReply const &reply) { return formatViewReply(reply, now); });
    check(
        text, [](std::string_view input) { return parseRegistryExchange(input, now); },
        [](RegistryExchange const &exchange) { return formatRegistryExchange(exchange, now); });
    check(text, parseRegistryExchangeReply, formatRegistryExchangeReply);
    check(
        text, [](std::string_view input) { return parseTargets(input, now); },
        [](std::vector<RegisteredTarget> const &targets) { return formatTargets(targets, now); });
    return 0;
}
