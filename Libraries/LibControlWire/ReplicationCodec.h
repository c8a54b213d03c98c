// JSON codec of the messages between replicas, which are sent with POST /v1/replication.

#pragma once

#include <LibReplication/ReplicaMessages.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondwing {

// Exceeds the size of the largest batch and of the largest snapshot part in base64.
constexpr std::size_t maxReplicationBodyBytes = 2UL * 1024 * 1024;

std::string encodeReplicaEnvelope(std::string_view cluster, ReplicaEnvelope const &envelope);

// Rejects messages of another version or cluster and anything that does not decode completely.
absl::StatusOr<ReplicaEnvelope> decodeReplicaEnvelope(std::string_view cluster, std::string_view body);

} // namespace almondwing
