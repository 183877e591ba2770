"""A store is replaced; later another one loses its disk. Messages with bodies of 200 kB must survive."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import BROKEN, HELD, TROUBLE, CannotRun, Lab, Target, configuration, play

MESSAGES = 360
BODY_BYTES = int(os.environ.get("BODY_BYTES", "200000"))  # under max_body_bytes, 262144
DELAY_MS = 80_000  # the messages wait in the stores; retention_s is 90
CONCURRENT = 4


async def story(lab: Lab) -> int:
    stores = [lab.add(f"store-hall-{zone}-1", "store", f"hall-{zone}") for zone in "abc"]
    fronts = [lab.add(f"front-hall-{zone}-1", "front", f"hall-{zone}") for zone in "abc"]
    await lab.boot()
    await lab.configure(
        configuration(
            3, [{"name": "r-1", "path_prefix": "/lohu930/", "service": "huvo11a"}], [{"name": "huvo11a"}]
        )
    )
    await lab.wait_ready()
    target = Target(lab, "huvo11a", "hall-a", stores[0].ip, 0.03)
    await target.start()
    await asyncio.sleep(4.0)

    accepted: dict[str, bytes] = {}

    async def client(number: int) -> None:
        for n in range(MESSAGES // CONCURRENT):
            body = random.randbytes(64) * (BODY_BYTES // 64)
            id, answer = await lab.send(fronts[(number + n) % 3], "/lohu930/2f", body, DELAY_MS)
            if answer.status == 202:
                accepted[id] = body
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client(number) for number in range(CONCURRENT)))
    lab.say(f"{len(accepted)} of {MESSAGES} messages were accepted")
    if len(accepted) < MESSAGES // 2:
        raise CannotRun("too few messages were accepted")

    first, _, last = stores
    if TROUBLE:
        successor = lab.add("store-hall-c-2", "store", "hall-c")
        successor.first = False
        lab.start(successor)  # a planned replacement: the new one first, then SIGTERM
        await asyncio.sleep(4.5 + 1.5)  # sync_s
        lab.signal(last, signal.SIGTERM)
        await lab.ended(last)
        lab.wipe(last)
        await asyncio.sleep(15.0)  # over three times sync_s
        lab.kill(first)
        lab.wipe(first)
        await asyncio.sleep(2.0)
        lab.start(first)
    else:
        await asyncio.sleep(10.0)
    await asyncio.sleep(12.0)  # recovery_s

    lost: list[str] = []
    at_once = asyncio.Semaphore(12)

    async def check(id: str, body: bytes) -> None:
        async with at_once:
            answer = await lab.ask_until("message-body", id, tries=8)
            if (answer.status == 200 and answer.body == body) or id in lab.runs:
                return
            state = await lab.ask_until("message", id, tries=2)
            lost.append(id)
            lab.note(
                f"LOST {id}: body {answer.status}, {len(answer.body)} bytes; "
                f"state {state.status} {state.body!r}"
            )

    await asyncio.gather(*(check(id, body) for id, body in accepted.items()))
    lab.say(f"{len(lost)} of {len(accepted)} accepted messages are lost")
    return BROKEN if lost else HELD


play(Path(__file__).resolve().parent, story)
