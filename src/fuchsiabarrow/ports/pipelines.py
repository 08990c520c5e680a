"""Port to engines that run a whole request along a given path of engines."""

import dataclasses
from typing import Protocol

from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = ["EngineControl", "EngineReport", "PathChangeOutcome"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Status that an engine reports about itself.

    Attributes:
        slowdown: Factor by which it is slower than usual for its
            accelerator.
        stalled: Pairs of the id of a request that waits for another instance
            and the address of that instance.
        is_busy: Whether the engine is executing a load order.
        order_count: Number of orders accepted since the engine started.
    """

    slowdown: float
    stalled: tuple[tuple[str, str], ...]
    is_busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PathChangeOutcome:
    """Answer of an engine to a change of the path of a request.

    Attributes:
        is_accepted: Whether the request continues on the new path.
        unreachable_address: ``ip:port`` of the instance of the new path that
            the engine could not reach; may be empty.
        detail: Status or error, for the log.
    """

    is_accepted: bool
    unreachable_address: str
    detail: str


class EngineControl(Protocol):
    """Reads reports of engines and changes the paths of their requests."""

    async def read_report(
        self, upstream: upstreams.Upstream, timeout_s: float
    ) -> EngineReport:
        """Returns the report; raises ``UpstreamError`` on failure."""

    async def change_path(
        self,
        upstream: upstreams.Upstream,
        request_id: str,
        segments: tuple[paths.PathSegment, ...],
        timeout_s: float,
    ) -> PathChangeOutcome:
        """Moves a running request to another path.

        Failures are reported in the outcome; no exception is raised.
        """
