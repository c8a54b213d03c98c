// Fuzzes the parser of the daemon's settings.

#include "FuzzSeeds.h"

#include <LibCore/Verify.h>
#include <LibSettings/SettingsReader.h>

#include <array>
#include <string>

namespace {

constexpr std::array<std::string_view, 2> seeds{
    R"(cluster = "c"
instance = "i-1"
failure_domain = "z"
threads = 4
data_folder = "/d"
[listen]
entry = "127.0.0.1:1"
target = "127.0.0.1:2"
peer = "127.0.0.1:3"
http = "127.0.0.1:4"
[[peers]]
name = "i-2"
failure_domain = "y"
peer = "127.0.0.1:5"
http = "127.0.0.1:6"
control = true
[[operators]]
name = "o"
token_hash = ""
[log]
folder = "/l"
level = "warning"
)",
    "peers = [1, {}]\nlisten = [[]]\nlog.level = 1979-05-27T07:32:00Z\n\"k\\u0000\" = '''\n'''\nx = 1e9\n"};

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maximumSize,
                                               unsigned random)
{
    return almondwing::mutateFromSeeds(seeds, {data, maximumSize}, size, random);
}

// Guards against crashes, and against errors without a line number or the allowed values.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    using namespace almondwing;
    SettingsResult const result = parseSettings(std::string(data, data + size), "fuzz.toml");
    if (auto const *const errors = std::get_if<SettingsErrors>(&result)) {
        VERIFY(!errors->empty());
        for (SettingsError const &error : *errors)
            VERIFY(error.line >= 1 && !error.allowed.empty());
    }
    return 0;
}
