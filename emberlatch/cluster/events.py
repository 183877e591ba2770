"""Log events of the cluster's processes. Each has a permanent number that operators search for.

From a number in a log line to the code that logs it: find its name in `Event`, then search
`emberlatch/cluster` for `Event.NAME`. This program logs no number that is missing in `Event`.

`docs/system/events.md` is generated from this catalogue by `emberlatch-cluster events`.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import IntEnum

log = logging.getLogger("emberlatch.cluster")


class Event(IntEnum):
    """Event numbers. The hundreds digit is the area: 1 process, 2 peers, 3 configuration and control state, 4
    targets, 5 storage, 6 delivery, 7 requests."""

    STARTED = 101
    SHUTTING_DOWN = 102
    STOPPED = 103
    SETTINGS_RELOADED = 104
    SETTINGS_REJECTED = 105
    TASK_FAILED = 106
    READY = 107
    NOT_READY = 108
    PEER_UP = 201
    PEER_DOWN = 202
    PEER_DECLARED_DEAD = 203
    MALFORMED_FRAME = 204
    MEMBER_JOINED = 205
    MEMBER_REMOVED = 206
    UNEXPECTED_MESSAGE = 207
    FRAME_TOO_LARGE = 208
    CONFIG_APPLIED = 301
    CONFIG_REJECTED = 302
    CONFIG_COMMITTED = 303
    CONFIG_UNDECODABLE = 304
    CONFIG_CONFLICT = 305
    CONTROL_STATE_CHANGED = 306
    CONTROL_DISK_FAILING = 307
    CONTROL_DISK_RECOVERED = 308
    CONTROL_DISK_EMPTY = 309
    FOREIGN_CLUSTER_DISK = 310
    WITNESS_ADMITTED = 311
    WITNESS_REPLACED = 312
    TARGET_REGISTERED = 401
    TARGET_DRAINING = 402
    TARGET_DEREGISTERED = 403
    INVALID_HEARTBEAT = 404
    TARGET_LEASE_EXPIRED = 405
    TARGET_LEASE_RENEWED = 406
    DISK_LOADED = 501
    DISK_FAILING = 502
    DISK_EMPTY = 503
    REPAIRED = 504
    OWNERSHIP_TAKEN_OVER = 505
    OWNERSHIP_HANDED_OVER = 506
    DISK_FULL = 507
    PROCESS_STALLED = 508
    RE_REPLICATED = 509
    DECOMMISSION_STARTED = 510
    DECOMMISSION_COMPLETED = 511
    DISK_RECOVERED = 512
    DISK_STALLED = 513
    DISK_UNREADABLE = 514
    TAKEOVER_ABANDONED = 515
    REPORTS_UNACKNOWLEDGED = 516
    DEAD_LETTERED = 601
    UNKNOWN_RESPONSE_STATUS = 602
    DISPATCH_NOTE = 603
    FOREIGN_RESPONSE = 604
    REQUEST_FAILED = 701


@dataclass(frozen=True, slots=True)
class EventDescription:
    """`level` is a level of `logging`, `title` is part of the log line, `explanation` of the catalogue."""

    level: int
    title: str
    explanation: str


def _info(title: str, explanation: str) -> EventDescription:
    return EventDescription(logging.INFO, title, explanation)


def _warning(title: str, explanation: str) -> EventDescription:
    return EventDescription(logging.WARNING, title, explanation)


def _error(title: str, explanation: str) -> EventDescription:
    return EventDescription(logging.ERROR, title, explanation)


DESCRIPTIONS: dict[Event, EventDescription] = {
    Event.STARTED: _info("started", "The process runs; logged with its node name, role and incarnation."),
    Event.SHUTTING_DOWN: _info(
        "shutting down",
        "SIGTERM: graceful shutdown. In-flight calls are completed; queued messages are handed over to other "
        "stores.",
    ),
    Event.STOPPED: _info("stopped", "No call is in flight any more; the process exits."),
    Event.SETTINGS_RELOADED: _info("settings reloaded", "SIGHUP, or the settings file changed."),
    Event.SETTINGS_REJECTED: _error(
        "settings rejected", "The settings file is not valid; the previous settings stay in force."
    ),
    Event.TASK_FAILED: _error(
        "task failed",
        "Not logged at present: a task that fails is logged as `task ... died`, without a number.",
    ),
    Event.READY: _info("ready", "The process has a configuration and reaches a quorum of writable stores."),
    Event.NOT_READY: _warning(
        "not ready",
        "The process can't accept messages for the logged reason; load balancers send clients to other "
        "processes.",
    ),
    Event.PEER_UP: _info("peer up", "A connection to another process was established."),
    Event.PEER_DOWN: _warning("peer down", "A connection was lost or timed out; it is dialled again."),
    Event.PEER_DECLARED_DEAD: _warning("peer declared dead", "Not logged at present: see 202 and 505."),
    Event.MALFORMED_FRAME: _warning(
        "malformed frame", "The bytes received are not a valid frame; the connection was closed."
    ),
    Event.MEMBER_JOINED: _info("member joined", "A process was seen for the first time."),
    Event.MEMBER_REMOVED: _warning(
        "member removed", "A store was unreachable for too long; the other stores continue without it."
    ),
    Event.UNEXPECTED_MESSAGE: _warning(
        "unexpected message",
        "An unexpected response or request, or an unexpected peer (`kind` says which), was dropped; see "
        "[calls](calls.md).",
    ),
    Event.FRAME_TOO_LARGE: _error(
        "frame too large",
        "A request, response or notification (`method`) exceeds the largest frame and was not sent; the call "
        "fails, the connection stays open.",
    ),
    Event.CONFIG_APPLIED: _info("configuration applied", "A revision is in force in this process."),
    Event.CONFIG_REJECTED: _warning(
        "configuration rejected",
        "The configuration that an operator sent is not valid; the reason is logged and returned.",
    ),
    Event.CONFIG_COMMITTED: _info(
        "configuration committed", "A majority of the voters has the revision; the operator received 200."
    ),
    Event.CONFIG_UNDECODABLE: _error(
        "configuration undecodable",
        "The committed configuration can't be decoded: the program has a defect or is an older version.",
    ),
    Event.CONFIG_CONFLICT: _warning(
        "configuration conflict",
        "The revision is committed with another text; the operator received 409 with that text's digest.",
    ),
    Event.CONTROL_STATE_CHANGED: _info(
        "control state changed",
        "Voters or members changed by consensus; logged with version, epoch and voters.",
    ),
    Event.CONTROL_DISK_FAILING: _error(
        "control state not writable", "This voter does not vote until its disk accepts a write again."
    ),
    Event.CONTROL_DISK_RECOVERED: _info(
        "control state writable", "The disk accepts writes; this voter votes again."
    ),
    Event.CONTROL_DISK_EMPTY: _warning(
        "no control state on disk",
        "A new identity was generated: this machine is not a voter until the other voters admit it.",
    ),
    Event.FOREIGN_CLUSTER_DISK: _error(
        "disk of another cluster",
        "The disk of the named machine was initialized in another cluster: the machine is excluded until its "
        "disk is emptied.",
    ),
    Event.WITNESS_ADMITTED: _info(
        "witness admitted",
        "This process has no disk and votes until it ends, because too few machines with a disk can vote.",
    ),
    Event.WITNESS_REPLACED: _info("witness replaced", "This process does not vote any more."),
    Event.TARGET_REGISTERED: _info("target registered", "A target sent its first heartbeat."),
    Event.TARGET_DRAINING: _info("target draining", "A target announced its graceful shutdown."),
    Event.TARGET_DEREGISTERED: _info(
        "target deregistered", "A target deregistered, or another incarnation has its address."
    ),
    Event.INVALID_HEARTBEAT: _warning(
        "invalid heartbeat", "A target sent a heartbeat that can't be decoded; it was rejected."
    ),
    Event.TARGET_LEASE_EXPIRED: _info(
        "target lease expired",
        "No heartbeat of a target for 3.2 times `heartbeat_ms`: this store begins no call to the target "
        "until the next heartbeat. Each store decides for itself.",
    ),
    Event.TARGET_LEASE_RENEWED: _info(
        "target lease renewed",
        "A target whose lease had expired sent a heartbeat; it receives messages again.",
    ),
    Event.DISK_LOADED: _info("disk loaded", "The records of the previous incarnation were read."),
    Event.DISK_FAILING: _error(
        "disk failing",
        "A write or sync failed: no message is accepted until one succeeds; queued messages are handed over "
        "to other stores.",
    ),
    Event.DISK_EMPTY: _warning(
        "disk empty", "This is not the first start: the disk was lost and is restored from the replicas."
    ),
    Event.REPAIRED: _info("repaired", "Anti-entropy: records were compared with a peer's and synchronized."),
    Event.OWNERSHIP_TAKEN_OVER: _warning(
        "messages taken over",
        "The former owners of the messages (`of`) have certainly stopped delivering: their ports refuse "
        "connections, a majority of the voters can't reach them, or they can't read their disks. This store "
        "owns the messages now; `messages` is the number of messages.",
    ),
    Event.OWNERSHIP_HANDED_OVER: _info(
        "messages handed over",
        "This process shuts down, is being emptied, or its disk fails: the stores that are named took "
        "messages, with the number for each. This process still owns those that no store took.",
    ),
    Event.DISK_FULL: _error(
        "disk nearly full",
        "The records fill their share of `limits.disk_mb`: new messages are rejected until some messages "
        "have ended; replicas are still accepted. The end of this state is not logged. A disk without free "
        "space is event 502.",
    ),
    Event.PROCESS_STALLED: _warning(
        "process stalled",
        "This process was not scheduled for too long; it repairs its records before it delivers again.",
    ),
    Event.RE_REPLICATED: _info(
        "messages re-replicated", "Messages whose replicas were on lost machines have new replicas."
    ),
    Event.DECOMMISSION_STARTED: _info(
        "decommission started", "The operator ordered that this machine be emptied."
    ),
    Event.DECOMMISSION_COMPLETED: _info(
        "decommission completed", "No record has its only replicas on this machine."
    ),
    Event.DISK_RECOVERED: _info("disk recovered", "The disk accepts writes again; replicas are compared."),
    Event.DISK_STALLED: _warning(
        "disk stalled",
        "A write takes too long: no message is accepted until it ends; queued messages are handed over to "
        "other stores.",
    ),
    Event.DISK_UNREADABLE: _error(
        "disk unreadable",
        "The records can't be read or their file can't be created; this is retried until it succeeds.",
    ),
    Event.TAKEOVER_ABANDONED: _warning(
        "messages not taken over",
        "This store was about to take messages over from a stopped owner (`of`), and learned from the stores "
        "that are named, with the number for each, that they have ended or have another owner. The copies "
        "here were out of date: each would have been delivered again.",
    ),
    Event.REPORTS_UNACKNOWLEDGED: _warning(
        "reports not acknowledged",
        "The grace period of the shutdown ended before the stores that are named had acknowledged how "
        "messages ended, or who owns them.",
    ),
    Event.DEAD_LETTERED: _info(
        "message dead-lettered",
        "A message can't be delivered; its status is `dead_letter`. Logged with its id and the "
        "[reason](operators.md#why-a-message-was-dead-lettered).",
    ),
    Event.UNKNOWN_RESPONSE_STATUS: _warning(
        "unknown response status",
        "A target's response proves neither success nor failure: a status that the protocol does not define, "
        "a 2xx without a seal, or 504. The message is offered again.",
    ),
    Event.DISPATCH_NOTE: _info("dispatch", "A diagnostic of the dispatch decisions."),
    Event.FOREIGN_RESPONSE: _warning(
        "foreign response",
        "A target responded to another message; the response was dropped and the connection is not reused.",
    ),
    Event.REQUEST_FAILED: _error(
        "request failed", "A defect of the program raised an error while a request was handled."
    ),
}


def log_event(event: Event, /, *subjects: object, **values: object) -> None:
    """Log one line: number, title, the subjects, then `name=value` for each keyword argument."""
    description = DESCRIPTIONS[event]
    if not log.isEnabledFor(description.level):
        return
    details = [str(subject) for subject in subjects]
    details += [f"{name}={value}" for name, value in values.items()]
    log.log(description.level, "%d %s", event, " ".join([description.title, *details]))


def catalogue() -> str:
    """Return all events as the Markdown page `docs/system/events.md`."""
    rows = [
        f"| {event.value} | {logging.getLevelName(d.level)} | {d.title} | {d.explanation} |"
        for event, d in sorted(DESCRIPTIONS.items())
    ]
    return (
        "# Events\n\nGenerated by `emberlatch-cluster events`. "
        "Each log line is `LEVEL NUMBER title subjects name=value...`, LEVEL as I, W or E.\n\n"
        "The hundreds digit is the area: 1 process, 2 peers, 3 configuration and control state, 4 targets, "
        "5 storage, 6 delivery, 7 requests. A number that is not in this table is not an event.\n\n"
        "To find the code that logs an event, look its number up in `Event` in "
        "`emberlatch/cluster/events.py`, then search "
        "`emberlatch/cluster` for that name: 207 is `Event.UNEXPECTED_MESSAGE`.\n\n"
        "| number | level | title | explanation |\n| --- | --- | --- | --- |\n" + "\n".join(rows) + "\n"
    )
