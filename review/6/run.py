"""Plays the case: a store is to be emptied just after another one has lost power; see claim.txt."""

import asyncio
import json
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab2 import TROUBLE, Lab, Route, Target, configuration, main, service_fields

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
ROUTE = Route("r-1", "desk.example", "/d/", "desk")
STORES = {"store-a": "hall-a", "store-b": "hall-b", "store-c": "hall-c", "store-d": "hall-d"}
RETIRED = "store-a"  # in the zone of the fronts, so it is given their messages
POWERLESS = "store-b"
ASKED = "store-c"  # the machine that the operator calls
DARK_S = 2.8  # `for_s` of the site's node_kill (power) on store machines
PER_S, TRAFFIC_S = 100, 3.0
DELAY_S = 8.0, 12.0
CALM_S = 6.0  # the rule's span in which no target has had the message
QUIET_S = 3.0  # the rule's span without any success


async def play(lab: Lab) -> bool:
    targets = [Target(lab, f"i-{n}", "desk", zone) for n, zone in enumerate(STORES.values())]
    await lab.begin(configuration(3, [ROUTE], [service_fields("desk")]), targets)
    await lab.traffic(ROUTE, PER_S, TRAFFIC_S, lambda: lab.random.uniform(*DELAY_S))
    last_due_at = max(message.due_at for message in lab.messages.values())
    since = lab.now()
    if TROUBLE:
        lab.signal(POWERLESS, signal.SIGSTOP)  # a machine without power says nothing
        await asyncio.sleep(0.2)
    path, body = f"/api/retire/{RETIRED}/initiate", b'{"period_s": 10}'
    status, _ = await lab.control("POST", path, body, at=ASKED)
    lab.say(f"the order to empty {RETIRED} got {status}")
    if TROUBLE:
        await asyncio.sleep(since + DARK_S - lab.now())
        await lab.kill(POWERLESS)  # and what it had not written is gone
        lab.start(POWERLESS)
        lab.troubles.append((since, lab.now()))
    await asyncio.sleep(last_due_at + 4.0 + CALM_S + QUIET_S - lab.now())
    return await judge(lab)


async def judge(lab: Lab) -> bool:
    """LOST: a message is queued though its time has come, and no target had it for 6 s of calm."""
    end = lab.now()
    last_success = max((r.answered_at for m in lab.messages.values() for r in m.successes()), default=0.0)
    idle = [m for m in lab.accepted() if not m.runs and not m.turned_away and m.due_at < end - CALM_S]
    states: Counter[str] = Counter()
    for message in idle:
        status, answer = await lab.state(message.id, ROUTE.host)
        state = str(answer.get("state", status))
        states[state] += 1
        lab.note(f"state of {message.id}, due at {message.due_at:.2f}, never at a target: {state}")
    status, answer = await lab.control("GET", f"/api/retire/{RETIRED}/retrieve", at=ASKED)
    lab.say(
        f"sent {len(lab.messages)}, accepted {len(lab.accepted())}, never at a target {len(idle)} "
        f"(states {dict(states)}), last success {end - last_success:.1f} s ago; "
        f"the emptying of {RETIRED}: {status} {json.loads(answer or b'{}').get('state')}"
    )
    return not (states["queued"] and end - last_success > QUIET_S)


main(play, RECORD, stores=STORES, fronts={"front-a": "hall-a", "front-b": "hall-a"})
