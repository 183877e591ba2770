"""This store's quota shares of the services' rate limits."""

from __future__ import annotations

from emberlatch.cluster.dispatch.ports import DeliveryOwner, DispatchSettings
from emberlatch.cluster.rate_limits import RateShare
from emberlatch.cluster.settings import Service

QUOTA_LOOKAHEAD_S = 0.3  # the decision module may have as many deliveries as the quota allows in this time
MIN_IN_POOL = 2  # deliveries allowed in addition, so that some are offered under a small quota as well


class ServiceQuotas:
    """One `RateShare` for each service with a rate limit, created at the first query."""

    def __init__(self, settings: DispatchSettings, owner: DeliveryOwner) -> None:
        self._window_s, self._excess = settings.rate_window_s, settings.rate_window_excess
        self._owner = owner
        self._shares: dict[str, RateShare] = {}

    def max_in_pool(self, service: Service) -> int:
        """Return the maximum number of the service's deliveries in the decision module for local targets."""
        divisor = self._owner.quota_divisor(service.name)
        return MIN_IN_POOL + int(QUOTA_LOOKAHEAD_S * service.rate_per_s / divisor)

    def next_call_at(self, service: Service, now: float) -> float:
        """Return when the quota allows the next call, in the loop's time; `now` if it is allowed at once."""
        share = self._shares.get(service.name)
        if share is None:
            share = self._shares[service.name] = RateShare(self._window_s, self._excess, now)
        return share.next_token_at(now, service.rate_per_s, self._owner.quota_divisor(service.name))

    def try_spend(self, service: Service | None, now: float) -> bool:
        """Count one call against the quota and return true; return false if the quota does not allow it now.

        Always true for a service that has no rate limit, is not configured any more, or was never queried
        with `next_call_at`.
        """
        if service is None or service.rate_per_s <= 0 or (share := self._shares.get(service.name)) is None:
            return True
        divisor = self._owner.quota_divisor(service.name)
        if share.next_token_at(now, service.rate_per_s, divisor) > now:
            return False
        share.take_token()
        return True
