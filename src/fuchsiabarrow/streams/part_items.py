"""Shares the evidence about prompt parts with the other entries, as items."""

from collections.abc import Callable

import msgspec

from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.utils import clocks

__all__ = ["share_part_crashes"]

CRASH_KIND = "part-crash"
BEGIN_KIND = "part-begin"
MAX_ITEMS = 256
ITEM_LIFETIME_S = 2 * crashing_parts.BLOCK_S
MS_PER_S = 1000.0


def share_part_crashes(
    part_crashes: crashing_parts.PartCrashes,
    peers: peers_service.PeersService,
    read_time_s: Callable[[], float],
) -> None:
    """Publishes changes of the evidence, and merges that of other entries.

    Args:
        part_crashes: Evidence of this entry.
        peers: Exchange with the other entries.
        read_time_s: Clock of the evidence.
    """

    def convert_to_wall(at_s: float) -> float:
        return clocks.read_wall_time_s() - max(0.0, read_time_s() - at_s)

    def convert_from_wall(wall_s: float) -> float:
        return read_time_s() - max(0.0, clocks.read_wall_time_s() - wall_s)

    def publish() -> None:
        crashes = part_crashes.get_crashes(MAX_ITEMS)
        for (part, organisation, upstream), report in crashes.items():
            peers.publish(
                f"{CRASH_KIND}/{part:016x}.{organisation:016x}.{upstream:016x}",
                1 + report.is_blocking,
                msgspec.msgpack.encode(convert_to_wall(report.at_s)),
                ITEM_LIFETIME_S,
            )
        for part, at_s in part_crashes.get_acquittals(MAX_ITEMS).items():
            peers.publish(
                f"{BEGIN_KIND}/{part:016x}",
                int(convert_to_wall(at_s) * MS_PER_S),
                b"",
                ITEM_LIFETIME_S,
            )

    def merge_crash(item: items.Item) -> None:
        part, organisation, upstream = (
            int(text, 16) for text in item.name.split(".")
        )
        at_s = convert_from_wall(msgspec.msgpack.decode(item.value, type=float))
        report = crashing_parts.CrashReport(at_s, item.version > 1)
        part_crashes.merge_report({(part, organisation, upstream): report}, {})

    def merge_begin(item: items.Item) -> None:
        at_s = convert_from_wall(item.version / MS_PER_S)
        part_crashes.merge_report({}, {int(item.name, 16): at_s})

    part_crashes.add_listener(publish)
    peers.add_listener(CRASH_KIND, merge_crash)
    peers.add_listener(BEGIN_KIND, merge_begin)
