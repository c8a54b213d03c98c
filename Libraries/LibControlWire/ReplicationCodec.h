// JSON codec of the messages between replicas, which are sent with POST /v1/replication.

#pragma once

#include <LibReplication/ReplicaMessages.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondwing {

// Maximum size of a body. The largest batch and the largest snapshot part, in base64, fit into it.
constexpr std::size_t maxReplicationBodyBytes = 2UL * 1024 * 1024;

std::string encodeReplicaEnvelope(std::string_view cluster, ReplicaEnvelope const &envelope);

// Rejects messages of another version or cluster and anything that does not decode completely.
absl::StatusOr<ReplicaEnvelope> decodeReplicaEnvelope(std::string_view cluster, std::string_view body);

} // namespace almondwing
