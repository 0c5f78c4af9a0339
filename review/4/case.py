"""A core machine is replaced after the seeds were exchanged, then a disk is lost: is the configuration there?

Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from small_system import (  # noqa: E402
    BOUNDS,
    LIMITS,
    ZONE_NAMES,
    Machine,
    Record,
    System,
    plain_answer,
    route,
    service,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_S = BOUNDS["catch_up_s"]
CONTACT_S = BOUNDS["contact_ms"] / 1000
RECOVERY_S = BOUNDS["recovery_s"]


def configuration(generation):
    return {
        "generation": generation,
        "routes": [route("page", "/page/", "page-web")],
        "services": [service("page-web")],
        "limits": LIMITS,
    }


async def play(system, record):
    for zone in ZONE_NAMES:
        system.add_backend("page-web", zone, 6, plain_answer)
    await system.start(configuration(1))
    await asyncio.sleep(2.0)

    if TROUBLE:
        system.seeds = [relay.host for relay in system.relays]
    record.say(f"the settings name the seeds {system.seeds}")
    for machine in system.machines:
        machine.write_settings(bootstrap=False)
        machine.signal(signal.SIGHUP)
    await asyncio.sleep(2.0)

    gone = system.cores[2]
    gone.signal(signal.SIGKILL)
    gone.process.wait()
    record.say(f"{gone.name} at {gone.host} is gone for good")
    await asyncio.sleep(2.0)
    successor = Machine(system, "core-4", "control-plane", 3, gone.zone, bootstrap=False)
    system.cores[2] = successor
    successor.start()
    record.say(f"{successor.name} at {successor.host} starts with an empty disk")
    # Far beyond `catch_up_s`, after which the machine that is gone counts no more.
    await asyncio.sleep(4 * CATCH_UP_S)

    await system.put(configuration(2), 1)
    record.say("configuration 2 is acknowledged")
    lost = system.cores[1]
    lost.signal(signal.SIGKILL)
    lost.process.wait()
    shutil.rmtree(lost.data)
    lost.write_settings(bootstrap=False)
    await asyncio.sleep(1.0)
    lost.start()
    record.say(f"{lost.name} lost its disk and starts again at the same address")

    until = time.monotonic() + RECOVERY_S + 2 * CONTACT_S
    while time.monotonic() < until:
        try:
            status, body = await system.order("GET", "/config", within=until - time.monotonic())
        except RuntimeError:
            break
        if status == 200:
            generation = json.loads(body)["generation"]
            record.say(f"read back: configuration {generation}")
            return generation != 2
        record.say(f"read back: {status}")
        await asyncio.sleep(0.5)
    record.say(f"no machine gave the configuration back in {RECOVERY_S + 2 * CONTACT_S:.0f} s")
    return True


async def main():
    record = Record(HERE / "record.txt")
    record.say(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory(prefix="nettledeal-") as folder:
        system = System(folder, record, edge_zones=ZONE_NAMES, relay_zones=ZONE_NAMES)
        try:
            broken = await asyncio.wait_for(play(system, record), 110)
        except Exception as error:
            record.say(f"could not run: {error!r}")
            return 2
        finally:
            for machine in [*system.machines]:
                for line in machine.log_text().splitlines():
                    if '"epoch"' in line or "control:" in line:
                        record.write(f"log of {machine.name}: {line[:400]}")
            system.end()
    record.say("rule broken" if broken else "rule held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
