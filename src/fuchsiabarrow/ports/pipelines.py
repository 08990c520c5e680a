"""Port to engines that take a whole request with its path."""

import dataclasses
from typing import Protocol

from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = ["EngineControl", "EngineReport", "RepathOutcome"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an instance says of itself.

    Attributes:
        slowdown: How many times slower than its kind it runs.
        stalled: Requests that wait for another instance, and its address.
        is_busy: Whether an order is being carried out.
        order_count: Orders accepted since its start.
    """

    slowdown: float
    stalled: tuple[tuple[str, str], ...]
    is_busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RepathOutcome:
    """What an instance said to a change of path.

    Attributes:
        is_accepted: Whether the request goes on over the new path.
        at_fault: ``ip:port`` of an instance that is not there.
        detail: Status or error, for the log.
    """

    is_accepted: bool
    at_fault: str
    detail: str


class EngineControl(Protocol):
    """Reports and orders of engines."""

    async def read_report(
        self, upstream: upstreams.Upstream, timeout_s: float
    ) -> EngineReport:
        """Returns what an instance says; raises ``UpstreamError``."""

    async def change_path(
        self,
        upstream: upstreams.Upstream,
        request_id: str,
        segments: tuple[paths.PathSegment, ...],
        timeout_s: float,
    ) -> RepathOutcome:
        """Has a running request go on over other instances; never raises."""
