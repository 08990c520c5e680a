"""Finds requests that crash their upstreams; free of I/O.

Engines batch, so a crash counts against every request with a step on the
engine; a new token clears the count, because a request that crashes its
upstreams comes no further on any of them. After one crash a request is tried
again freely: most deaths have no request to blame. After more it is isolated:
an engine runs at most one such request at a time, so that the next crash names
its cause and does not count against its neighbours. At the limit a request is
given up, and its fingerprint is kept, so that its caller cannot send it
through the fleet again.
"""

import collections

import msgspec
import xxhash

__all__ = ["Settings", "Suspects", "compute_fingerprint"]


# Crashes from which a request shares no engine with another suspect.
ISOLATION_CRASHES = 2


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the search for requests that crash upstreams.

    Attributes:
        crash_limit: Crashes after which a request is given up.
        block_s: How long a given-up request is refused.
        block_limit: Most fingerprints kept.
    """

    crash_limit: int = 3
    block_s: float = 600.0
    block_limit: int = 4096


def compute_fingerprint(
    organisation: str, model: str, tokens: list[int]
) -> str:
    """Returns what identifies a request, whoever carries it.

    Args:
        organisation: Organisation of the caller.
        model: Model that it asks for.
        tokens: Token ids of the prompt.
    """
    content = msgspec.msgpack.encode((organisation, model, tokens))
    return xxhash.xxh3_128_hexdigest(content)


class Suspects:
    """Crash counts and blocks by fingerprint.

    Args:
        settings: Limits.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._crashes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._isolated: dict[str, str] = {}

    def is_isolated(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request must be the only suspect on its engines."""
        crashes = self.count_crashes(fingerprint, now_s)
        return crashes >= ISOLATION_CRASHES

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request was given up and must not run."""
        return self.count_crashes(fingerprint, now_s) >= (
            self._settings.crash_limit
        )

    def count_crashes(self, fingerprint: str, now_s: float) -> int:
        """Returns the crashes that a request was part of."""
        crashes, until_s = self._crashes.get(fingerprint, (0, 0.0))
        return crashes if now_s < until_s else 0

    def record_crash(
        self, instance_id: str, fingerprint: str, now_s: float
    ) -> bool:
        """Notes that an instance crashed while it ran a request.

        While an isolated request runs on the instance, the crash counts only
        against it: the others shared a batch with it.

        Returns:
            True if the request is to be given up.
        """
        named = self._isolated.get(instance_id)
        if named is not None and named != fingerprint:
            return False
        return self.add_crashes(fingerprint, 1, now_s)

    def add_crashes(self, fingerprint: str, added: int, now_s: float) -> bool:
        """Adds crashes; returns True if the request is to be given up."""
        crashes = self.count_crashes(fingerprint, now_s) + added
        until_s = now_s + self._settings.block_s
        self._crashes[fingerprint] = (crashes, until_s)
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > self._settings.block_limit:
            self._crashes.popitem(last=False)
        return crashes >= self._settings.crash_limit

    def clear(self, fingerprint: str) -> None:
        """Drops the crashes of a request that came further."""
        self._crashes.pop(fingerprint, None)

    def find_occupied(self, fingerprint: str) -> frozenset[str]:
        """Returns the instances on which another suspect runs."""
        return frozenset(
            instance_id
            for instance_id, named in self._isolated.items()
            if named != fingerprint
        )

    def start_isolation(
        self, fingerprint: str, instance_ids: list[str]
    ) -> None:
        """Notes that a suspect runs on instances, if no other does."""
        for instance_id in instance_ids:
            self._isolated.setdefault(instance_id, fingerprint)

    def end_isolation(self, fingerprint: str) -> None:
        """Notes that a suspect runs nowhere any more."""
        ended = [k for k, v in self._isolated.items() if v == fingerprint]
        for instance_id in ended:
            del self._isolated[instance_id]
