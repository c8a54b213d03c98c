// Implements the check of the records of targets.

#include <LibRegistry/RegisteredTarget.h>

namespace almondwing {

absl::Status checkRecord(RegisteredTarget const &target)
{
    if (target.number.isNone())
        return absl::InvalidArgumentError("the number of the target must be above 0");
    if (target.service.empty())
        return absl::InvalidArgumentError("the service must not be empty");
    if (target.failureDomain.empty())
        return absl::InvalidArgumentError("the failure domain must not be empty");
    if (target.endpoint.address == 0 || target.endpoint.port == 0)
        return absl::InvalidArgumentError("the endpoint must have an address and a port");
    if (target.slots == 0 || target.slots > maxSlots)
        return absl::InvalidArgumentError("the slots must be from 1 to 65536");
    if (target.reportVersion.startUnixMilliseconds <= 0)
        return absl::InvalidArgumentError("the start must be after 1970");
    if (target.reportVersion.sequence == 0)
        return absl::InvalidArgumentError("the sequence must be above 0");
    return absl::OkStatus();
}

} // namespace almondwing
