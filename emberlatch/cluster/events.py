"""What the system's processes log: numbered events; the catalogue in docs/system is made from here."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger("emberlatch.cluster")


class Event(IntEnum):
    """The hundreds say whose it is: 1 process, 2 links, 3 configuration, 4 targets, 5 records, 6 delivery, 7
    clients."""

    STARTED = 101
    STOPPING = 102
    STOPPED = 103
    SETTINGS_AGAIN = 104
    SETTINGS_BAD = 105
    TASK_DIED = 106
    READY = 107
    NOT_READY = 108
    PEER_UP = 201
    PEER_DOWN = 202
    PEER_DEAD = 203
    PEER_RUBBISH = 204
    MEMBER_NEW = 205
    MEMBER_LEFT = 206
    CALL_STRAY = 207
    CONFIG_TAKEN = 301
    CONFIG_REFUSED = 302
    CONFIG_COMMITTED = 303
    CONFIG_UNREADABLE = 304
    CONFIG_CONFLICT = 305
    CONTROL_STATE = 306
    CONTROL_DISK_FAILING = 307
    CONTROL_DISK_BACK = 308
    CONTROL_DISK_EMPTY = 309
    CONTROL_FOREIGN = 310
    TARGET_NEW = 401
    TARGET_DRAINING = 402
    TARGET_GONE = 403
    BEAT_BAD = 404
    TARGET_SILENT = 405
    TARGET_BACK = 406
    DISK_READ = 501
    DISK_FAILING = 502
    DISK_EMPTY = 503
    MENDED = 504
    TAKEN_OVER = 505
    HANDED_OVER = 506
    DISK_FULL = 507
    STOOD_STILL = 508
    COPIED = 509
    RETIRE_MARKED = 510
    RETIRE_DONE = 511
    DISK_BACK = 512
    DISK_STALLED = 513
    DISK_UNREADABLE = 514
    ENDED_DEAD = 601
    ANSWER_ODD = 602
    MODULE_NOTE = 603
    ANSWER_FOREIGN = 604
    REQUEST_FAILED = 701


TEXTS: dict[Event, tuple[int, str, str]] = {
    Event.STARTED: (logging.INFO, "started", "The process runs; its role and node are told."),
    Event.STOPPING: (
        logging.INFO,
        "stopping",
        "SIGTERM: calls that are out are finished, what waits goes to others.",
    ),
    Event.STOPPED: (logging.INFO, "stopped", "Nothing is out any more; the process ends."),
    Event.SETTINGS_AGAIN: (logging.INFO, "settings read again", "SIGHUP, or the file changed."),
    Event.SETTINGS_BAD: (
        logging.ERROR,
        "settings not taken",
        "The file on disk is not sound; the old ones hold.",
    ),
    Event.TASK_DIED: (logging.ERROR, "task died", "A fault of the program; report it with the lines around."),
    Event.READY: (logging.INFO, "ready", "It has a configuration and reaches enough stores."),
    Event.NOT_READY: (logging.WARNING, "not ready", "It lacks what is named; clients are sent elsewhere."),
    Event.PEER_UP: (logging.INFO, "peer up", "A link to another process came up."),
    Event.PEER_DOWN: (logging.WARNING, "peer down", "A link broke or fell silent; it is dialled again."),
    Event.PEER_DEAD: (logging.WARNING, "peer taken for dead", "Its port refuses, or its lease is over."),
    Event.PEER_RUBBISH: (
        logging.WARNING,
        "rubbish on a link",
        "What came was no frame; that connection ended.",
    ),
    Event.MEMBER_NEW: (logging.INFO, "new member", "A process was heard of for the first time."),
    Event.MEMBER_LEFT: (
        logging.WARNING,
        "member counts no more",
        "A store was silent for long; the others go on without.",
    ),
    Event.CALL_STRAY: (
        logging.WARNING,
        "stray on a link",
        "An answer, a request or a process was not the one that is meant; it was dropped.",
    ),
    Event.CONFIG_TAKEN: (logging.INFO, "configuration taken", "A version is in force in this process."),
    Event.CONFIG_REFUSED: (
        logging.WARNING,
        "configuration refused",
        "What an operator sent is invalid; the reason is told.",
    ),
    Event.CONFIG_COMMITTED: (
        logging.INFO,
        "configuration committed",
        "A majority of the voters has it; the operator was told 200.",
    ),
    Event.CONFIG_UNREADABLE: (
        logging.ERROR,
        "configuration unreadable",
        "What the others agreed on can't be read here: a fault of the program, or an older version of it.",
    ),
    Event.CONFIG_CONFLICT: (
        logging.WARNING,
        "configuration in conflict",
        "Its revision stands for another text; the operator was told 409 with that text's digest.",
    ),
    Event.CONTROL_STATE: (
        logging.INFO,
        "control state",
        "Voters or members changed by agreement; version, epoch and voters are told.",
    ),
    Event.CONTROL_DISK_FAILING: (
        logging.ERROR,
        "control state can't be written",
        "This machine gives no vote until its disk takes a write again.",
    ),
    Event.CONTROL_DISK_BACK: (
        logging.INFO,
        "control state written again",
        "The disk takes writes; this machine votes again.",
    ),
    Event.CONTROL_DISK_EMPTY: (
        logging.WARNING,
        "no control state on disk",
        "A new identity was drawn: this machine has no vote until the others take it in.",
    ),
    Event.CONTROL_FOREIGN: (
        logging.ERROR,
        "disk of another system",
        "That machine's disk was founded elsewhere: it has no part here until the disk is emptied.",
    ),
    Event.TARGET_NEW: (logging.INFO, "target new", "A target announced itself."),
    Event.TARGET_DRAINING: (logging.INFO, "target draining", "A target said that it leaves."),
    Event.TARGET_GONE: (
        logging.INFO,
        "target gone",
        "It deregistered, or another life has its address.",
    ),
    Event.TARGET_SILENT: (
        logging.INFO,
        "target silent",
        "No beat of it came for long; it gets nothing until one does.",
    ),
    Event.TARGET_BACK: (
        logging.INFO,
        "target heard again",
        "A silent target was heard of; it gets messages again.",
    ),
    Event.BEAT_BAD: (logging.WARNING, "beat refused", "A target sent what can't be read."),
    Event.DISK_READ: (logging.INFO, "disk read", "The records of the earlier life were read."),
    Event.DISK_FAILING: (
        logging.ERROR,
        "disk failing",
        "A write or sync failed: nothing is taken until one succeeds; what waits goes to others.",
    ),
    Event.DISK_BACK: (logging.INFO, "disk back", "The disk takes writes again; copies are compared."),
    Event.DISK_STALLED: (
        logging.WARNING,
        "disk stalled",
        "A write has been running for long: nothing is taken until it is done; what waits goes to others.",
    ),
    Event.DISK_UNREADABLE: (
        logging.ERROR,
        "disk unreadable",
        "The records can't be read or their file not made; it is tried again until it succeeds.",
    ),
    Event.DISK_EMPTY: (
        logging.WARNING,
        "disk empty",
        "This is not the first start: the disk was lost and is mended.",
    ),
    Event.MENDED: (logging.INFO, "mended", "Copies were compared with a peer's and made alike."),
    Event.TAKEN_OVER: (
        logging.WARNING,
        "messages taken over",
        "Their holder is dead; this process delivers them.",
    ),
    Event.HANDED_OVER: (logging.INFO, "messages handed over", "This process leaves; others deliver them."),
    Event.DISK_FULL: (
        logging.ERROR,
        "disk nearly full",
        "New messages are turned away until some have ended.",
    ),
    Event.STOOD_STILL: (
        logging.WARNING,
        "stood still",
        "This process did not run; it compares before it delivers.",
    ),
    Event.COPIED: (
        logging.INFO,
        "copied again",
        "Messages whose copies were on machines that are gone have others.",
    ),
    Event.RETIRE_MARKED: (logging.INFO, "retiring", "The operator wants this machine emptied."),
    Event.RETIRE_DONE: (logging.INFO, "retired", "Nothing that counts stands on this machine alone."),
    Event.ENDED_DEAD: (logging.INFO, "dead letter", "A message can't be delivered; its status tells so."),
    Event.ANSWER_ODD: (logging.WARNING, "odd answer", "A target answered what the protocol does not know."),
    Event.ANSWER_FOREIGN: (
        logging.WARNING,
        "foreign answer",
        "A target sent an answer to another message; it was dropped, and the connection is not used again.",
    ),
    Event.MODULE_NOTE: (logging.INFO, "delivery", "What the decision module has to say."),
    Event.REQUEST_FAILED: (
        logging.ERROR,
        "request failed",
        "A fault of the program while a request was served.",
    ),
}


def log_event(event: Event, *told: object) -> None:
    """Log an event with what it concerns."""
    level, text, _ = TEXTS[event]
    if log.isEnabledFor(level):
        log.log(level, "%d %s%s", event, text, "".join(f" {item}" for item in told))
