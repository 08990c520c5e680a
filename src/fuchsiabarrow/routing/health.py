"""Health and latency of each instance as seen by an entry; performs no I/O.

The platform's instance list lags, so what an entry (a router process) observes
itself takes precedence: a refused or reset connection, a step without an
answer, a drain answer (that the instance takes no new work because it is about
to stop). A failed instance is available again after a successful probe, so that
no stream has to test it. A drain answer counts until the instance is no longer
listed at its address, or until no drain answer was received for `drain_hold_s`.
"""

from collections.abc import Iterable
import dataclasses
import math

import msgspec

from fuchsiabarrow.ports import instances
from fuchsiabarrow.utils import jitter

__all__ = ["HealthTracker", "InstanceState", "Settings"]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of health tracking for instances.

    Attributes:
        suspicion_base_s: Time for which an instance is excluded after its first
            failure; doubles with each further failure.
        suspicion_limit_s: Upper limit of the time for which an instance is
            excluded after failures.
        busy_s: Time for which an instance is excluded after a busy answer.
        drain_hold_s: Time for which an instance that answered that it is
            draining gets no new work, even if the instance list does not show
            it yet.
        prior_hop_s: Assumed latency of a hop that was never measured.
        hop_weight: Weight of a new measurement in the moving average of a hop's
            latency, 0 to 1.
        hop_half_life_s: Half-life with which the average returns to
            `prior_hop_s` while there are no new measurements.
    """

    suspicion_base_s: float = 0.5
    suspicion_limit_s: float = 10.0
    busy_s: float = 0.1
    drain_hold_s: float = 60.0
    prior_hop_s: float = 0.001
    hop_weight: float = 0.1
    hop_half_life_s: float = 10.0


@dataclasses.dataclass(slots=True)
class InstanceState:
    """Health, latency and load of one instance.

    Attributes:
        instance: The instance as listed by the platform.
        in_flight: Streams of this entry that use it.
        hop_s: Moving average of the latency of a hop in seconds.
        measured_at_s: When `hop_s` was last updated.
        failures: Failures since the last success or successful probe.
        excluded_until_s: Before this time it gets no probe, and new work only
            if no chain exists without it.
        is_leaving: Whether it must get no new work at all.
    """

    instance: instances.Instance
    in_flight: int = 0
    hop_s: float = 0.0
    measured_at_s: float = -math.inf
    failures: int = 0
    excluded_until_s: float = -math.inf
    is_leaving: bool = False

    def is_available(self, now_s: float) -> bool:
        """Returns whether the instance may be preferred for new work."""
        is_past_exclusion = self.excluded_until_s <= now_s
        return is_past_exclusion and self.failures == 0 and not self.is_leaving

    def needs_probe(self, now_s: float) -> bool:
        """Returns whether the instance failed and a probe is due."""
        return self.failures > 0 and self.excluded_until_s <= now_s


class HealthTracker:
    """Health of all listed instances, from the list and this entry's calls.

    Args:
        settings: Exclusion times and averaging weights.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._states: dict[str, InstanceState] = {}
        self._leaving_until_s: dict[str, float] = {}

    def update_instances(
        self, listed: Iterable[instances.Instance], now_s: float
    ) -> None:
        """Applies a new instance list; drops instances that are not on it."""
        found = {}
        for instance in listed:
            name = instance.instance_id
            state = self._states.get(name)
            is_new = state is None or state.instance.address != instance.address
            if is_new:
                state = InstanceState(instance)
                self._leaving_until_s.pop(name, None)
            state.instance = instance
            is_held_as_leaving = now_s < self._leaving_until_s.get(
                name, -math.inf
            )
            state.is_leaving = instance.leaving or is_held_as_leaving
            found[name] = state
        self._states = found
        for name in set(self._leaving_until_s) - set(found):
            del self._leaving_until_s[name]

    def get_states(self) -> Iterable[InstanceState]:
        """Returns the states of all listed instances."""
        return self._states.values()

    def find(self, instance_id: str) -> InstanceState | None:
        """Returns the state of an instance, None if it is not listed."""
        return self._states.get(instance_id)

    def is_leaving(self, instance_id: str) -> bool:
        """Returns whether streams should move off an instance."""
        state = self._states.get(instance_id)
        return state is None or state.is_leaving

    def record_success(
        self, instance_id: str, hop_s: float, now_s: float
    ) -> None:
        """Records a completed hop and its latency."""
        state = self._states.get(instance_id)
        if state is None:
            return
        state.failures = 0
        state.excluded_until_s = -math.inf
        weight = self._settings.hop_weight
        before_s = self.estimate_hop_s(state, now_s)
        state.hop_s = before_s + weight * (hop_s - before_s)
        state.measured_at_s = now_s

    def record_failure(self, instance_id: str, now_s: float) -> None:
        """Records a refused or reset connection, or a missing answer.

        Failures during an exclusion are attributed to the event that caused
        it and do not extend it.
        """
        state = self._states.get(instance_id)
        if state is None or now_s < state.excluded_until_s:
            return
        delay_s = jitter.compute_ceiling_s(
            state.failures,
            self._settings.suspicion_base_s,
            self._settings.suspicion_limit_s,
        )
        state.failures += 1
        state.excluded_until_s = now_s + delay_s

    def record_probe_success(self, instance_id: str) -> None:
        """Records that a failed instance answers again."""
        state = self._states.get(instance_id)
        if state is not None:
            state.failures = 0

    def record_busy(self, instance_id: str, now_s: float) -> None:
        """Records a busy answer."""
        state = self._states.get(instance_id)
        if state is not None:
            state.excluded_until_s = max(
                state.excluded_until_s, now_s + self._settings.busy_s
            )

    def record_leaving(self, instance_id: str, now_s: float) -> None:
        """Records that an instance is leaving before the list shows it."""
        state = self._states.get(instance_id)
        if state is not None:
            state.is_leaving = True
            until_s = now_s + self._settings.drain_hold_s
            self._leaving_until_s[instance_id] = until_s

    def estimate_hop_s(self, state: InstanceState, now_s: float) -> float:
        """Returns the expected latency of a hop.

        The average decays to the prior while there are no measurements, so
        that a link that was slow once is tried again.
        """
        prior_s = self._settings.prior_hop_s
        age_s = now_s - state.measured_at_s
        if math.isinf(age_s):
            return prior_s
        remaining = 0.5 ** (age_s / self._settings.hop_half_life_s)
        return prior_s + (state.hop_s - prior_s) * remaining
