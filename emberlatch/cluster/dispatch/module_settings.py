"""Settings of the decision module: one category for each pair of lease wait and deadline."""

from __future__ import annotations

from emberlatch.core import interface as api

MAX_IN_FLIGHT = 192  # maximum number of concurrent calls of the decision module
CONNECT_TIMEOUT_S = 0.5
CONNECTION_IDLE_S = 6.0
MAX_RETRY_AFTER_S = 2.0
UNLIMITED = 1_000_000  # a limit that the module never reaches; this package limits messages and attempts


class LeaseWaitCategories:
    """Assigns a category number of the module to each pair of lease wait and deadline, in seconds.

    Attributes:
        settings: settings of the decision module, with all categories added so far.
    """

    def __init__(self) -> None:
        self._numbers: dict[tuple[float, float], int] = {}
        self.settings = _module_settings([])

    def add(self, target_s: float, deadline_s: float) -> tuple[int, api.SettingsChanged | None]:
        """Return the number of the category for the lease wait `target_s`.

        If the category is new, the second value is an event, which the module must receive before the
        category is used.
        """
        key = round(target_s, 3), round(deadline_s, 3)
        if (number := self._numbers.get(key)) is not None:
            return number, None
        number = self._numbers[key] = len(self._numbers)
        self.settings = _module_settings(list(self._numbers))
        return number, api.SettingsChanged(self.settings)


def _module_settings(categories: list[tuple[float, float]]) -> api.Settings:
    return api.Settings(
        categories=tuple(
            api.Category(f"{target_s}/{deadline_s}", api.Effect.SAFE, target_s, deadline_s)
            for target_s, deadline_s in categories
        )
        or (api.Category("none", api.Effect.SAFE, 1.0, 2.0),),
        slots=MAX_IN_FLIGHT,
        open_cap=UNLIMITED,
        max_attempts=UNLIMITED,
        separate_routes=(True,),
        zone_fees=(0.0,),
        connect_timeout=CONNECT_TIMEOUT_S,
        connection_idle=CONNECTION_IDLE_S,
        retry_after=True,
        max_retry_after=MAX_RETRY_AFTER_S,
    )
