// Fuzzes the decoders of datagrams. No input may crash a decoder, and a decoded message must be equal after
// it has been encoded and decoded again.

#include <LibCore/Verify.h>
#include <LibWire/WireCodec.h>

#include <cstddef>
#include <cstdint>

namespace {

using namespace almondwing;

// A cluster id of zero is easy to find for the fuzzer. With a hash it would spend most of its time on finding
// inputs that contain it.
constexpr WireCodec codec{.clusterId = 0};

template<typename Message, typename Decode>
void check(absl::StatusOr<Message> const &decoded, Decode const &decode)
{
    if (!decoded.ok())
        return;
    auto const encoded = codec.encode(*decoded);
    VERIFY(encoded.ok());
    auto const again = decode(*encoded);
    VERIFY(again.ok());
    VERIFY(*again == *decoded);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    std::string_view const datagram(reinterpret_cast<char const *>(data), size);
    auto const run = [datagram](auto const &decode) { check(decode(datagram), decode); };
    run([](std::string_view input) { return codec.decodeCallerMessage(input); });
    run([](std::string_view input) { return codec.decodeCallerReply(input); });
    run([](std::string_view input) { return codec.decodeTargetCommand(input); });
    run([](std::string_view input) { return codec.decodeTargetMessage(input); });
    run([](std::string_view input) { return codec.decodePeerDatagram(input); });
    return 0;
}
