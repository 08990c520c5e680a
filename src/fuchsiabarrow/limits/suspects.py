"""Finds requests that crash their upstreams; free of I/O.

Engines batch, so every request with a step on an engine that crashed is a
suspect and gets a strike; a new token clears its strikes, because a request
that crashes its upstreams comes no further on any of them. With one strike a
request is tried again freely: most deaths have no request to blame. With more
it is on probation: an engine runs at most one such request at a time, so that
the next crash names its cause and costs its neighbours no strike. At the limit
a request is given up, and its fingerprint is kept, so that its caller cannot
send it through the fleet again.
"""

import collections

import msgspec
import xxhash

__all__ = ["Settings", "Suspects", "compute_fingerprint"]


# Strikes from which a request shares no engine with another suspect.
PROBATION_STRIKES = 2


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the search for requests that crash upstreams.

    Attributes:
        strike_limit: Crashes after which a request is given up.
        block_s: How long a given-up request is refused.
        block_limit: Most fingerprints kept.
    """

    strike_limit: int = 3
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
    """Strikes and blocks by fingerprint.

    Args:
        settings: Limits.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._strikes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._probation: dict[str, str] = {}

    def is_on_probation(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request must be the only suspect on its engines."""
        strikes = self.count_strikes(fingerprint, now_s)
        return strikes >= PROBATION_STRIKES

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request was given up and must not run."""
        return self.count_strikes(fingerprint, now_s) >= (
            self._settings.strike_limit
        )

    def count_strikes(self, fingerprint: str, now_s: float) -> int:
        """Returns the crashes that a request was part of."""
        strikes, until_s = self._strikes.get(fingerprint, (0, 0.0))
        return strikes if now_s < until_s else 0

    def record_crash(
        self, instance_id: str, fingerprint: str, now_s: float
    ) -> bool:
        """Notes that an instance crashed while it ran a request.

        While a suspect runs on the instance, only the suspect gets a strike:
        the others shared a batch with it.

        Returns:
            True if the request is to be given up.
        """
        named = self._probation.get(instance_id)
        if named is not None and named != fingerprint:
            return False
        return self.add_strikes(fingerprint, 1, now_s)

    def add_strikes(self, fingerprint: str, added: int, now_s: float) -> bool:
        """Adds strikes; returns True if the request is to be given up."""
        strikes = self.count_strikes(fingerprint, now_s) + added
        until_s = now_s + self._settings.block_s
        self._strikes[fingerprint] = (strikes, until_s)
        self._strikes.move_to_end(fingerprint)
        while len(self._strikes) > self._settings.block_limit:
            self._strikes.popitem(last=False)
        return strikes >= self._settings.strike_limit

    def clear(self, fingerprint: str) -> None:
        """Drops the strikes of a request that came further."""
        self._strikes.pop(fingerprint, None)

    def find_occupied(self, fingerprint: str) -> frozenset[str]:
        """Returns the instances on which another suspect runs."""
        return frozenset(
            instance_id
            for instance_id, named in self._probation.items()
            if named != fingerprint
        )

    def start_probation(
        self, fingerprint: str, instance_ids: list[str]
    ) -> None:
        """Notes that a suspect runs on instances, if no other does."""
        for instance_id in instance_ids:
            self._probation.setdefault(instance_id, fingerprint)

    def end_probation(self, fingerprint: str) -> None:
        """Notes that a suspect runs nowhere any more."""
        ended = [k for k, v in self._probation.items() if v == fingerprint]
        for instance_id in ended:
            del self._probation[instance_id]
