"""Detects and blocks requests that crash their upstreams; without I/O.

Engines run requests in batches, so a crash is counted for every request of the
engine that has not yet produced a token in its current attempt. A request that
keeps producing tokens is not the cause; one that crashes its upstreams crashes
the next one again when its prompt is prefilled there. A new token clears the
count. After one crash a request is retried without restriction, as most crashes
are not caused by a request. After two it is isolated until its next token: no
other request without a token runs on its engines, so that the next crash
identifies its cause. At the crash limit a request is given up and its
fingerprint stays blocked, so that it does not run again if its caller repeats
it.

This is for requests handled by the package `streams`; the module
`limits.crash_counts` is for those handled by the package `forwarding`.
"""

import collections
import dataclasses

import msgspec
import xxhash

__all__ = [
    "CrashSuspects",
    "PendingAttempt",
    "Settings",
    "compute_prompt_fingerprint",
]


# Number of crashes from which a request shares no engine with another request
# that has not produced a token.
ISOLATION_CRASHES = 2


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the detection of requests that crash upstreams.

    Attributes:
        crash_limit: Number of crashes after which a request is given up.
        block_s: Time for which a request that was given up is rejected, in
            seconds.
        block_limit: Maximum number of request fingerprints with crashes that
            are kept.
    """

    crash_limit: int = 3
    block_s: float = 600.0
    block_limit: int = 4096


def compute_prompt_fingerprint(
    organisation: str, model: str, tokens: list[int]
) -> str:
    """Returns a hash of a request that is the same on every entry.

    Args:
        organisation: Organisation of the caller.
        model: Requested model.
        tokens: Token ids of the prompt.
    """
    content = msgspec.msgpack.encode((organisation, model, tokens))
    return xxhash.xxh3_128_hexdigest(content)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PendingAttempt:
    """An attempt that has not produced a token yet.

    Attributes:
        fingerprint: Fingerprint of its request.
        instance_ids: Instances that it runs on.
        is_isolated: Whether no other attempt without a token may run on them.
    """

    fingerprint: str
    instance_ids: frozenset[str]
    is_isolated: bool


class CrashSuspects:
    """Crash counts and blocked requests, by fingerprint.

    Args:
        settings: Crash limit and bounds on the blocked requests.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._crashes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._pending_attempts: set[PendingAttempt] = set()

    def is_isolated(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a request has enough crashes to be isolated."""
        crashes = self.count_crashes(fingerprint, now_s)
        return crashes >= ISOLATION_CRASHES

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a request was given up and must not run."""
        return self.count_crashes(fingerprint, now_s) >= (
            self._settings.crash_limit
        )

    def count_crashes(self, fingerprint: str, now_s: float) -> int:
        """Returns the number of crashes counted for a request."""
        crashes, until_s = self._crashes.get(fingerprint, (0, 0.0))
        return crashes if now_s < until_s else 0

    def start_attempt(
        self,
        fingerprint: str,
        instance_ids: list[str],
        now_s: float,
        must_isolate: bool = False,
    ) -> PendingAttempt | None:
        """Registers an attempt that starts on instances.

        Args:
            fingerprint: Fingerprint of the request.
            instance_ids: Instances that it runs on.
            now_s: Loop time.
            must_isolate: Whether it is isolated in any case.

        Returns:
            The registered attempt, or None if it has to wait because another
            attempt without a token runs on one of these instances and one of
            the two is isolated.
        """
        if not self.may_start(fingerprint, instance_ids, now_s, must_isolate):
            return None
        is_isolated = must_isolate or self.is_isolated(fingerprint, now_s)
        attempt = PendingAttempt(
            fingerprint, frozenset(instance_ids), is_isolated
        )
        self._pending_attempts.add(attempt)
        return attempt

    def may_start(
        self,
        fingerprint: str,
        instance_ids: list[str],
        now_s: float,
        must_isolate: bool = False,
        replaced: PendingAttempt | None = None,
    ) -> bool:
        """Returns whether an attempt may start on instances.

        Args:
            fingerprint: Fingerprint of the request.
            instance_ids: Instances that it would run on.
            now_s: Loop time.
            must_isolate: Whether it is isolated in any case.
            replaced: Attempt that would end before.
        """
        is_isolated = must_isolate or self.is_isolated(fingerprint, now_s)
        return not any(
            (is_isolated or other.is_isolated)
            and not other.instance_ids.isdisjoint(instance_ids)
            for other in self._pending_attempts
            if other is not replaced
        )

    def end_attempt(self, attempt: PendingAttempt | None) -> None:
        """Removes an attempt that has produced a token or has ended."""
        self._pending_attempts.discard(attempt)

    def find_isolated_instances(
        self, replaced: PendingAttempt | None = None
    ) -> frozenset[str]:
        """Returns the instances on which isolated attempts run.

        Args:
            replaced: Attempt that is not considered.
        """
        return frozenset(
            instance_id
            for attempt in self._pending_attempts
            if attempt.is_isolated and attempt is not replaced
            for instance_id in attempt.instance_ids
        )

    def record_crash(self, attempt: PendingAttempt, now_s: float) -> bool:
        """Counts the crash of an instance for an attempt that ran on it.

        Returns:
            True if the request is to be given up.
        """
        if attempt not in self._pending_attempts:
            return False  # It has produced a token already.
        return self.add_crashes(attempt.fingerprint, 1, now_s)

    def add_crashes(self, fingerprint: str, added: int, now_s: float) -> bool:
        """Adds crashes; returns True if the request is to be given up."""
        crashes = self.count_crashes(fingerprint, now_s) + added
        until_s = now_s + self._settings.block_s
        self._crashes[fingerprint] = (crashes, until_s)
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > self._settings.block_limit:
            self._crashes.popitem(last=False)
        return crashes >= self._settings.crash_limit

    def clear_crashes(self, fingerprint: str) -> None:
        """Removes the crashes of a request that has produced a token."""
        self._crashes.pop(fingerprint, None)
