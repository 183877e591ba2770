"""One store is emptied and taken away on the operator's order; then another one is restarted."""

import asyncio
import json
import os
import random
import signal
import sys
import time
from itertools import pairwise
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Lab,
    Run,
    Target,
    call,
    configuration,
    play,
)

PER_S = float(os.environ.get("PER_S", "120"))
WORK_S = 0.3
GUARD_MS = 1500
PAUSE_S = float(os.environ.get("PAUSE_S", "1.0"))  # between the two planned works


async def ask_states(lab: Lab, since: float) -> None:
    """Ask for the states of the messages that have succeeded lately: the seal shows that it was read."""
    front, at_once = lab.nodes["front-hall-a-1"], asyncio.Semaphore(16)

    async def one(id: str, run: Run) -> None:
        async with at_once:
            answer = await lab.ask(front, "message", id)
            run.reported = answer.status == 200 and json.loads(answer.body).get("seal") == run.seal
            lab.note(f"state of {id}: {answer.status} {answer.body!r}")

    await asyncio.gather(
        *(one(id, run) for id, runs in list(lab.runs.items()) for run in runs if run.answered_at > since)
    )


async def story(lab: Lab) -> int:
    for name, zone in (
        ("hall-a-1", "hall-a"),
        ("hall-b-1", "hall-b"),
        ("hall-c-1", "hall-c"),
        ("hall-a-2", "hall-a"),
    ):
        lab.add(f"store-{name}", "store", zone)
    fronts = [lab.add(f"front-hall-{zone}-1", "front", f"hall-{zone}") for zone in "abc"]
    leaving, restarted = lab.nodes["store-hall-a-2"], lab.nodes["store-hall-a-1"]
    await lab.boot()
    await lab.configure(
        configuration(
            3,
            [{"name": "r-1", "path_prefix": "/lohu930/", "service": "huvo11a", "guard_timer_ms": GUARD_MS}],
            [{"name": "huvo11a"}],
        )
    )
    await lab.wait_ready()
    for number, zone in enumerate(("hall-a", "hall-b", "hall-c")):
        target = Target(lab, "huvo11a", zone, f"127.{lab.net}.3.{number + 1}", WORK_S, capacity=64)
        await target.start()
    await asyncio.sleep(4.5)

    accepted: set[str] = set()

    async def one(front_number: int) -> None:
        id, answer = await lab.send(fronts[front_number], "/lohu930/2f", random.randbytes(600))
        if answer.status == 202:
            accepted.add(id)

    async def load() -> None:
        tasks, number = set(), 0
        while True:
            tasks.add(task := asyncio.create_task(one(number % 3)))
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / PER_S)

    clients = asyncio.create_task(load())
    await asyncio.sleep(6.0)
    if TROUBLE:
        others = [n for n in lab.nodes.values() if n.kind == "store" and n not in (leaving, restarted)]
        path = f"/api/retire/{leaving.name}"
        answer = await call(others[0].ip, lab.control, "POST", f"{path}/initiate", b'{"period_s":10}')
        lab.note(f"order to empty {leaving.name}: {answer.status}")
        if answer.status != 200:
            raise CannotRun(f"the order was answered {answer.status}")
        state = ""
        while state != "completed":
            await asyncio.sleep(0.1)
            answer = await call(others[0].ip, lab.control, "GET", f"{path}/retrieve")
            state = json.loads(answer.body).get("state", "") if answer.status == 200 else ""
        lab.note(f"{leaving.name} is emptied: the machine and its disk are taken away")
        lab.kill(leaving)
        lab.wipe(leaving)
        await asyncio.sleep(PAUSE_S)
        await ask_states(lab, since=time.monotonic() - PAUSE_S - 1.0)
        lab.signal(restarted, signal.SIGTERM)
        await lab.ended(restarted)
        await asyncio.sleep(1.0)
        lab.start(restarted)
    else:
        await asyncio.sleep(3.0)
    await asyncio.sleep(10.0)
    clients.cancel()
    await asyncio.sleep(3.0)

    twice = confirmed = 0
    for id, runs in lab.runs.items():
        for first, second in pairwise(runs):
            in_time = first.answered_at and first.answered_at < first.at + GUARD_MS / 1000 - 0.05
            if in_time and second.at > first.answered_at:
                twice += 1
                confirmed += first.reported
                lab.note(
                    f"TWICE {id}: success {first.seal} at {first.answered_at - lab.started_at:.3f}, "
                    f"run again at {second.at - lab.started_at:.3f}, accepted {id in accepted}, "
                    f"the first success was reported as completed before: {first.reported}"
                )
    ran = sum(id in lab.runs for id in accepted)
    lab.say(
        f"{len(accepted)} accepted, {ran} of them ran; run again after a success: {twice}, "
        f"of which the state was completed with the first seal before: {confirmed}"
    )
    if ran < len(accepted) * 0.9:
        raise CannotRun("too few messages ran")
    return BROKEN if twice else HELD


play(Path(__file__).resolve().parent, story)
