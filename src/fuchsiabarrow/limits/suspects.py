"""Finds requests that crash their upstreams; free of I/O.

Engines batch, so a crash counts against every request that the engine ran and
that had not yet made a token in this attempt: one that goes on making tokens
is not what crashed it, and one that crashes its upstreams is filled anew each
time and crashes the next. A new token clears the count. After one crash a
request is tried again freely: most deaths have no request to blame. After more
it is isolated until its next token: on its engines runs no other request
without a token, so that the next crash names its cause. At the limit a request
is given up, and its fingerprint is kept, so that its caller cannot send it
through the fleet again.
"""

import collections
import dataclasses

import msgspec
import xxhash

__all__ = ["Placement", "Settings", "Suspects", "compute_fingerprint"]


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


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Placement:
    """An attempt that has made no token yet.

    Attributes:
        fingerprint: Request of the attempt.
        instance_ids: Instances that it runs on.
        is_isolated: Whether no other such attempt may run there.
    """

    fingerprint: str
    instance_ids: frozenset[str]
    is_isolated: bool


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
        self._placements: set[Placement] = set()

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

    def place(
        self, fingerprint: str, instance_ids: list[str], now_s: float
    ) -> Placement | None:
        """Notes that an attempt starts on instances.

        Returns:
            The placement, or None if the attempt has to wait: it, or another
            attempt there without a token, is isolated.
        """
        is_isolated = self.is_isolated(fingerprint, now_s)
        wanted = frozenset(instance_ids)
        for other in self._placements:
            is_shared = not wanted.isdisjoint(other.instance_ids)
            if is_shared and (is_isolated or other.is_isolated):
                return None
        placement = Placement(fingerprint, wanted, is_isolated)
        self._placements.add(placement)
        return placement

    def end(self, placement: Placement | None) -> None:
        """Notes that an attempt has made a token, or has ended."""
        self._placements.discard(placement)

    def find_isolated(self) -> frozenset[str]:
        """Returns the instances on which an isolated attempt runs."""
        return frozenset(
            instance_id
            for placement in self._placements
            if placement.is_isolated
            for instance_id in placement.instance_ids
        )

    def record_crash(self, placement: Placement, now_s: float) -> bool:
        """Notes that an instance crashed on which an attempt ran.

        Returns:
            True if the request is to be given up.
        """
        if placement not in self._placements:
            return False  # It had made a token.
        return self.add_crashes(placement.fingerprint, 1, now_s)

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
