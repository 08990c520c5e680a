"""What an entry knows of each instance; free of I/O.

The platform's list lags, so an entry's own evidence goes before it: a refused
or reset connection, silence, a drain answer. An instance that failed is trusted
again when a probe succeeded, so that no stream has to find out; evidence of
leaving stays until the instance has left the list, or was not renewed for a
while.
"""

from collections.abc import Iterable
import dataclasses
import math

import msgspec

from fuchsiabarrow.ports import instances

__all__ = ["Evidence", "InstanceState", "Settings"]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the evidence about instances.

    Attributes:
        suspicion_base_s: First exclusion after a failure.
        suspicion_limit_s: Largest exclusion.
        busy_s: Exclusion after a busy answer.
        drain_hold_s: A drain answer counts for this long; the list may lag.
        prior_hop_s: Assumed time of a hop that was never measured.
        hop_weight: Weight of a new measurement in the average, 0 to 1.
        hop_half_life_s: An unused measurement moves to the prior this fast.
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
    """Evidence about one instance.

    Attributes:
        instance: Its entry in the list.
        in_flight: Streams of this entry that use it.
        hop_s: Average time of a hop in seconds.
        measured_at_s: When `hop_s` was last updated.
        failures: Failures since the last success.
        excluded_until_s: No new work and no probe before this time, unless
            nobody else holds a layer.
        is_leaving: No new work at all.
    """

    instance: instances.Instance
    in_flight: int = 0
    hop_s: float = 0.0
    measured_at_s: float = -math.inf
    failures: int = 0
    excluded_until_s: float = -math.inf
    is_leaving: bool = False

    def is_trusted(self, now_s: float) -> bool:
        """Tells whether new work may go there while others can do it too."""
        has_time = self.excluded_until_s <= now_s
        return has_time and self.failures == 0 and not self.is_leaving

    def needs_probe(self, now_s: float) -> bool:
        """Tells whether it failed and it is time to look whether it is back."""
        return self.failures > 0 and self.excluded_until_s <= now_s


class Evidence:
    """Evidence about all instances, from the list and from own calls.

    Args:
        settings: Times and weights.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._states: dict[str, InstanceState] = {}
        self._drained: dict[str, float] = {}

    def update_list(
        self, listed: Iterable[instances.Instance], now_s: float
    ) -> None:
        """Takes over a fresh list; instances not on it are forgotten."""
        found = {}
        for instance in listed:
            name = instance.instance_id
            state = self._states.get(name)
            is_new = state is None or state.instance.address != instance.address
            if is_new:
                state = InstanceState(instance)
                self._drained.pop(name, None)
            state.instance = instance
            is_drained = now_s < self._drained.get(name, -math.inf)
            state.is_leaving = instance.leaving or is_drained
            found[name] = state
        self._states = found
        for name in set(self._drained) - set(found):
            del self._drained[name]

    def get_states(self) -> Iterable[InstanceState]:
        """Returns the states of all listed instances."""
        return self._states.values()

    def find(self, instance_id: str) -> InstanceState | None:
        """Returns the state of an instance, None if it left the list."""
        return self._states.get(instance_id)

    def is_leaving(self, instance_id: str) -> bool:
        """Tells whether work should move away from an instance."""
        state = self._states.get(instance_id)
        return state is None or state.is_leaving

    def record_success(
        self, instance_id: str, hop_s: float, now_s: float
    ) -> None:
        """Notes a completed hop and how long it took."""
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
        """Notes a refused or reset connection, or lasting silence.

        Failures seen during an exclusion are of the same event and do not
        lengthen it.
        """
        state = self._states.get(instance_id)
        if state is None or now_s < state.excluded_until_s:
            return
        delay_s = min(
            self._settings.suspicion_base_s * 2**state.failures,
            self._settings.suspicion_limit_s,
        )
        state.failures += 1
        state.excluded_until_s = now_s + delay_s

    def record_probe_success(self, instance_id: str) -> None:
        """Notes that an instance that failed answers again."""
        state = self._states.get(instance_id)
        if state is not None:
            state.failures = 0

    def record_busy(self, instance_id: str, now_s: float) -> None:
        """Notes a busy answer."""
        state = self._states.get(instance_id)
        if state is not None:
            state.excluded_until_s = max(
                state.excluded_until_s, now_s + self._settings.busy_s
            )

    def record_leaving(self, instance_id: str, now_s: float) -> None:
        """Notes a drain answer, before the list shows it."""
        state = self._states.get(instance_id)
        if state is not None:
            state.is_leaving = True
            until_s = now_s + self._settings.drain_hold_s
            self._drained[instance_id] = until_s

    def estimate_hop_s(self, state: InstanceState, now_s: float) -> float:
        """Returns the expected time of a hop.

        An old measurement fades to the prior, so that a link that was slow
        once is tried again.
        """
        prior_s = self._settings.prior_hop_s
        age_s = now_s - state.measured_at_s
        if math.isinf(age_s):
            return prior_s
        remaining = 0.5 ** (age_s / self._settings.hop_half_life_s)
        return prior_s + (state.hop_s - prior_s) * remaining
