// JSON codec of the messages between replicas, for POST /v1/replication.

#pragma once

#include <LibReplication/ReplicaMessages.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondwing {

// Above the largest batch or snapshot part with its base64 encoding.
constexpr std::size_t maxReplicationBodyBytes = 2UL * 1024 * 1024;

std::string encodeReplicaEnvelope(std::string_view cluster, ReplicaEnvelope const &envelope);

// Refuses another version, another cluster and anything that does not decode completely.
absl::StatusOr<ReplicaEnvelope> decodeReplicaEnvelope(std::string_view cluster, std::string_view body);

} // namespace almondwing
