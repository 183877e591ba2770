"""Anti-entropy: members periodically compare digests of their tables, and exchange tables that differ."""

from __future__ import annotations

import hashlib

from emberlatch.fleet.frames import Digest, MembershipTable, MemberState
from emberlatch.fleet.membership.identity import OwnIdentity
from emberlatch.fleet.membership.peers import sample_names
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance

INTERVAL_JITTER = (0.5, 1.5)  # each interval is multiplied by a random factor in this range
DIGEST_BYTES = 8


class AntiEntropy:
    """Regularly sends this member's digest to a random peer. `due` is when to send the next, in seconds."""

    def __init__(self, instance: ProtocolInstance, identity: OwnIdentity, now: float) -> None:
        self._identity, self._peers, self._outbox = identity, instance.peers, instance.outbox
        self._parameters, self._rng = instance.parameters, instance.rng
        self.due = now + self._parameters.sync_interval_s

    def table(self, reply_requested: bool = False) -> MembershipTable:
        """Return this member's view of all members."""
        updates = (*self._peers.known_updates(), self._identity.as_update())
        return MembershipTable(updates, reply_requested, self._peers.configured_size)

    def digest(self) -> str:
        """Return a hash of the table; suspects are counted as alive in it."""
        lines = []
        for update in (self._identity.as_update(), *self._peers.known_updates()):
            state = MemberState.ALIVE if update.state is MemberState.SUSPECT else update.state
            lines.append(f"{update.name} {state:d} {update.incarnation}")
        text = "\n".join(sorted(lines))
        return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()

    def on_digest(self, sender: str, digest: Digest) -> None:
        """If a member's digest differs, send it the table of this member and ask for its table."""
        if digest.value != self.digest():
            self._outbox.send(sender, self.table(reply_requested=True))

    def tick(self, now: float) -> None:
        """Send the digest, if it is due."""
        if now < self.due:
            return
        self.due = now + self._parameters.sync_interval_s * self._rng.uniform(*INTERVAL_JITTER)
        for name in sample_names(self._rng, self._peers.names_in(MemberState.ALIVE), 1):
            self._outbox.send(name, Digest(self.digest()))
