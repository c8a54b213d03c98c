"""Case 5: one invalid config ends every control process that it reaches."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from deployment import http_call, main, number_of  # noqa: E402

ROUTE = (number_of("127.251.0.1"), 8443)
DEPTH = 100_000  # Lists in each other; the body has some 200 KB, the site file allows 262,144 bytes.
RESTART_S = 0.5  # "restarted after a short delay"


async def keep_running(deployment, control, ends):
    while True:
        if control.process.poll() is not None:
            ends[control.name] += 1
            deployment.record.add("end", f"{control.name} ended by itself with status {control.process.returncode}")
            await asyncio.sleep(RESTART_S)
            control.start()
        await asyncio.sleep(0.02)


async def scenario(deployment, is_disrupted):
    record = deployment.record
    deployment.start()
    ends = {control.name: 0 for control in deployment.controls}
    for zone in deployment.zones:
        await deployment.new_server(zone, "desk").start()
    status, _ = await deployment.operate("POST", "/Configuration.Replace", deployment.document({ROUTE: ("desk", "safe")}))
    if status != 200:
        raise RuntimeError("the first config was not acknowledged")
    for control in deployment.controls:
        deployment.tasks.append(asyncio.create_task(keep_running(deployment, control, ends)))
    await asyncio.sleep(8)
    # The field `version` is of another type. Without the disruption it is a short list.
    depth = DEPTH if is_disrupted else 1
    text = deployment.document({ROUTE: ("desk", "safe")})
    text = text.replace(b'"version": %d' % deployment.version, b'"version": ' + b"[" * depth + b"]" * depth)
    record.add("operator", f"sends an invalid config of {len(text)} bytes until it gets a clear response")
    pause = 0.1
    answered = None
    for _ in range(24):
        control = random.choice(deployment.controls)
        answered, _, _ = await http_call(control.address, deployment.control_port, "POST", "/Configuration.Replace", text)
        record.add("operator", f"{control.name}: {answered or 'no response'}")
        if 400 <= answered < 500:
            break
        await asyncio.sleep(pause)
        pause = min(1.5, pause * 1.5)
    await asyncio.sleep(2)
    affected = [name for name, count in ends.items() if count >= 3]
    record.add("result", f"ends: {ends}, response {answered}")
    if len(affected) * 2 >= len(deployment.controls):
        record.broke("FAULT", f"processes ended by themselves three times or more on {', '.join(affected)}")


if __name__ == "__main__":
    main(scenario, HERE, entries_per_zone=1)
