"""The settings in force, indexed by the names that messages carry."""

from __future__ import annotations

import logging
from dataclasses import replace

from emberlatch.core import interface as api
from emberlatch.engine.message_terms import decode_terms, encode_terms
from emberlatch.engine.ports import BadMessageError, Submission
from emberlatch.store import Entry

log = logging.getLogger(__name__)

DEADLINE_MARGIN_S = 0.25
"""An undelivered message is completed this many seconds before its deadline.

Timers fire late in a process that gets too little processor time, above all just after its start. Delays of
up to 0.6 s were measured. A message whose completion is 0.3 s late counts as lost.
"""
MAX_NAME_LENGTH = 256
"""Maximum length of a message's id and of its idempotency key, in characters."""


class ActiveSettings:
    """The settings in force, which `apply` replaces."""

    def __init__(self, settings: api.Settings) -> None:
        self.apply(settings)

    def apply(self, settings: api.Settings) -> None:
        """Replace the settings. Messages that were accepted before keep their terms."""
        # The engine sends no probes besides calls, so the decision module must not wait for a probe.
        self.current = settings = replace(settings, probes=False, end_margin=DEADLINE_MARGIN_S)
        self.category_numbers = {category.name: n for n, category in enumerate(settings.categories)}
        self._tenant_numbers = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        terms = [api.Terms(category, settings.max_attempts) for category in settings.categories]
        # Terms and their stored text, by class number.
        self._terms = [(each, encode_terms(each)) for each in terms]

    def tenant_number(self, tenant: str) -> int:
        """Return the number of a tenant, or 0 if the tenant is unknown."""
        return self._tenant_numbers.get(tenant, 0)

    def encoded_terms(self, category: int) -> str:
        """Return the current terms of a class in the form that the journal stores with a new message."""
        return self._terms[category][1]

    def terms_of(self, entry: Entry) -> api.Terms | None:
        """Return the terms under which a message was accepted.

        If the entry has no readable terms, return the current terms of its class, or None if the class is not
        configured any more.
        """
        try:
            return decode_terms(entry.terms)
        except (ValueError, KeyError, TypeError) as error:
            if entry.terms:
                log.error("message %s: the terms in its journal entry cannot be read: %r", entry.id, error)
        number = self.category_numbers.get(entry.category)
        return None if number is None else self._terms[number][0]

    def latency_deadline(self, entry: Entry) -> float:
        """Return the time by which a message meets its latency target, on the journal's clock."""
        terms = self.terms_of(entry)
        category = terms.category if terms is not None else self.current.categories[0]
        return entry.deadline - category.deadline + category.latency_target

    def validate(self, message: Submission) -> int:
        """Validate a submission and return the number of its class.

        Raises BadMessageError if a field is invalid or names an unknown class or tenant. The destination is
        not checked here.
        """
        if message.remaining <= 0:
            raise BadMessageError("no time is left")
        # A batch request contains the id and the key on one line, separated by a space.
        for value in (message.id, message.key):
            if len(value) > MAX_NAME_LENGTH or not value.isprintable() or " " in value:
                raise BadMessageError("an id or a key cannot be passed on")
        if not message.id or message.category not in self.category_numbers:
            raise BadMessageError(f"no id, or unknown class {message.category!r}")
        if self._tenant_numbers and message.tenant not in self._tenant_numbers:
            raise BadMessageError(f"unknown tenant {message.tenant!r}")
        return self.category_numbers[message.category]

    def requires_key(self, category: int) -> bool:
        """Return whether messages of a class must have an idempotency key."""
        return self.current.categories[category].effect is api.Effect.KEYED
