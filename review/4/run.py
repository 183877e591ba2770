"""Plays the case: a store is emptied and removed, and later another one is replaced; see claim.txt."""

import asyncio
import json
import shutil
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab2 import (
    BOUNDS,
    CONTACT_S,
    TROUBLE,
    CouldNotRun,
    Lab,
    Route,
    Target,
    configuration,
    main,
    service_fields,
)

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
ROUTE = Route("r-1", "desk.example", "/d/", "desk")
STORES = {"store-a": "hall-a", "store-b": "hall-b", "store-c": "hall-c"}
RETIRED, GONE, SUCCESSOR = "store-a", "store-b", "store-b2"
SETTLE_S = 10.0  # from the removal of the emptied machine to the loss of the other one
SUCCESSOR_AFTER_S = 2.0  # `x` of the site's replace_core on store machines
PER_S, TRAFFIC_S = 20, 8.0
READ_S = 20.0  # five times `contact_ms`; the page says "for at least `contact_ms`"


async def play(lab: Lab) -> bool:
    targets = [Target(lab, f"i-{n}", "desk", zone) for n, zone in enumerate(STORES.values())]
    await lab.begin(configuration(3, [ROUTE], [service_fields("desk")]), targets)
    await lab.traffic(ROUTE, PER_S, 2.0, lambda: 0.0)
    path = f"/api/retire/{RETIRED}"
    status, _ = await lab.control("POST", f"{path}/initiate", b'{"period_s": 8.5}')
    lab.say(f"the order to empty {RETIRED} got {status}")

    async def completed() -> bool:
        status, answer = await lab.control("GET", f"{path}/retrieve")
        return status == 200 and json.loads(answer)["state"] == "completed"

    await lab.wait_for(completed, 20.0, f"{RETIRED} was not emptied")
    await lab.kill(RETIRED)  # completed: the machine is removed at once together with its disk
    shutil.rmtree(lab.scratch / RETIRED)
    lab.stores.remove(RETIRED)
    await asyncio.sleep(SETTLE_S)
    if TROUBLE:
        since = lab.now()
        await lab.kill(GONE)  # gone for good
        shutil.rmtree(lab.scratch / GONE)
        lab.stores.remove(GONE)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        lab.stores.append(SUCCESSOR)
        lab.start(SUCCESSOR)  # an empty one, at another address
        lab.troubles.append((since, lab.now()))
    await asyncio.sleep(BOUNDS["recovery_s"] + CONTACT_S)
    began = lab.now()
    await lab.traffic(ROUTE, PER_S, TRAFFIC_S, lambda: 0.0)
    late = [message for message in lab.messages.values() if message.sent_at >= began]
    status, answer = await lab.control("GET", "/api/configuration/retrieve", for_s=READ_S)
    revision = json.loads(answer).get("revision") if status == 200 else None
    lab.say(f"the configuration, read for up to {READ_S:.0f} s: {status}, revision {revision}")
    accepted = [message for message in late if message.status == 202]
    answers = dict(Counter(message.status for message in late))
    runs = sum(bool(message.runs) for message in accepted)
    lab.say(f"sent after the trouble {len(late)}, answers {answers}, of those accepted have run {runs}")
    if not TROUBLE and runs < len(accepted):
        raise CouldNotRun("messages do not run without the trouble")
    return revision == 3


main(
    play,
    RECORD,
    stores=STORES,
    fronts={"front-a": "hall-a", "front-c": "hall-c"},
    later={SUCCESSOR: "hall-b"},
)
