"""Holds back requests with prompt parts that may crash upstreams."""

import asyncio

from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.limits import crashing_parts

__all__ = ["PartCheck"]

POLL_S = 0.05
# Longest time for which a request waits for a verdict or the test of another.
MAX_WAIT_S = 4.0


class PartCheck:
    """Checks the prompt parts of one request before each attempt.

    A context manager; leaving it ends a test that the request performs.

    Args:
        context: What the handlers of all requests share.
        request: The request.
    """

    def __init__(
        self,
        context: contexts.Context,
        request: messages.Request,
    ):
        self._part_crashes = context.evidence.part_crashes
        self._directory = context.directory
        organisation = request.organisation
        self._organisation = crashing_parts.compute_hash(
            organisation.name if organisation else ""
        )
        generation = request.generation
        self._parts = frozenset(
            crashing_parts.compute_hash(part)
            for part in (generation.shared_parts if generation else ())
        )
        self._tested: frozenset[int] = frozenset()

    def __enter__(self) -> "PartCheck":
        return self

    def __exit__(self, *details) -> None:
        self.end_test()

    @property
    def is_test(self) -> bool:
        """Whether the request tests a suspected part.

        It should share its first instance with as few others as possible then.
        """
        return bool(self._tested)

    async def wait_until_clear(self) -> crashing_parts.Judgement:
        """Waits until it is known whether the request may be sent.

        Returns:
            The final judgement: the request may be sent if it is clear or this
            request tests its suspected parts.
        """
        self.end_test()
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + MAX_WAIT_S
        while True:
            judgement = self._part_crashes.judge(
                self._organisation, self._parts
            )
            verdict = judgement.verdict
            if verdict in (
                crashing_parts.Verdict.CLEAR,
                crashing_parts.Verdict.BLOCKED,
            ):
                return judgement
            if (
                verdict is crashing_parts.Verdict.SUSPECT
                and self._part_crashes.try_start_test(judgement.suspects)
            ):
                self._tested = judgement.suspects
                return judgement
            if loop.time() > limit_s:
                return judgement
            await asyncio.sleep(POLL_S)

    def is_clear(self) -> bool:
        """Returns whether the request may be sent without a wait."""
        judgement = self._part_crashes.judge(self._organisation, self._parts)
        return judgement.verdict is crashing_parts.Verdict.CLEAR

    def record_begin(self) -> None:
        """Records that the answer has begun."""
        self._part_crashes.record_begin(self._parts)
        self.end_test()

    def record_crash(self, upstream: upstreams.Upstream) -> None:
        """Records that an instance crashed before it began the answer.

        One that was leaving has stopped as planned.
        """
        known = self._directory.get(upstream.instance_id)
        if known is None or known.is_leaving:
            return
        upstream_hash = crashing_parts.compute_hash(
            f"{upstream.instance_id}/{upstream.incarnation}"
        )
        self._part_crashes.record_crash(
            self._organisation, self._parts, upstream_hash
        )

    def end_test(self) -> None:
        """Lets other requests test the parts that this one tested."""
        self._part_crashes.end_test(self._tested)
        self._tested = frozenset()
