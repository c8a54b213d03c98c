// Implements the ledger as a file with one JSON object per line.

#include <LibStandIns/ExecutionLedger.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace almondwing {

std::string ExecutionEntry::toJson() const
{
    nlohmann::json const json{{"service", this->key.service.value},
                              {"caller", this->key.caller},
                              {"number", this->key.number},
                              {"tryId", this->tryId},
                              {"isIdempotent", this->idempotency == Idempotency::Idempotent},
                              {"target", this->target},
                              {"unixMicroseconds", this->unixMicroseconds}};
    return json.dump();
}

absl::StatusOr<ExecutionEntry> ExecutionEntry::parse(std::string const &text)
{
    auto const json = nlohmann::json::parse(text, nullptr, false);
    try {
        return ExecutionEntry{.key = {.service = ServiceId{json.at("service").get<std::uint64_t>()},
                                      .caller = json.at("caller").get<std::uint64_t>(),
                                      .number = json.at("number").get<std::uint64_t>()},
                              .tryId = json.at("tryId").get<std::uint64_t>(),
                              .idempotency = json.at("isIdempotent").get<bool>() ? Idempotency::Idempotent
                                                                                 : Idempotency::NonIdempotent,
                              .target = json.at("target").get<std::string>(),
                              .unixMicroseconds = json.at("unixMicroseconds").get<std::int64_t>()};
    } catch (nlohmann::json::exception const &exception) {
        return absl::InvalidArgumentError(fmt::format("not a ledger entry: {}", exception.what()));
    }
}

absl::StatusOr<std::unique_ptr<ExecutionLedger>> ExecutionLedger::open(std::string const &path)
{
    auto ledger = std::make_unique<ExecutionLedger>();
    if (path.empty())
        return ledger;
    ledger->file.reset(std::fopen(path.c_str(), "ae"));
    if (!ledger->file)
        return absl::UnavailableError(fmt::format("can't open the execution ledger {}", path));
    return ledger;
}

void ExecutionLedger::append(ExecutionEntry const &entry)
{
    std::string const line = entry.toJson() + "\n";
    std::scoped_lock const lock(this->mutex);
    this->entries.push_back(entry);
    if (!this->file)
        return;
    std::fwrite(line.data(), 1, line.size(), this->file.get());
    std::fflush(this->file.get());
}

std::string ExecutionLedger::toJson() const
{
    std::scoped_lock const lock(this->mutex);
    std::string text = "[";
    for (ExecutionEntry const &entry : this->entries)
        text += (text.size() > 1 ? "," : "") + entry.toJson();
    return text + "]";
}

} // namespace almondwing
