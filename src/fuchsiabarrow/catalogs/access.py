"""Who may have a request served by which route; free of I/O.

A configuration that was not confirmed for some time may have been replaced:
keys may have been taken away, routes added. What it allows with a key, and what
it denies, is left undecided then.
"""

import dataclasses
import enum

from fuchsiabarrow.catalogs import documents

__all__ = ["Access", "Verdict", "decide_access"]

# Part of the time limit for revoked keys after which a configuration that was
# not confirmed since is not trusted: requests take time to reach an upstream.
KEY_TRUST_FRACTION = 0.9
# An unknown route or key is denied only by a configuration this fresh.
DENIAL_AGE_S = 2.8


class Verdict(enum.Enum):
    """What becomes of a request."""

    ALLOWED = enum.auto()
    NO_ROUTE = enum.auto()
    UNKNOWN_KEY = enum.auto()
    UNCONFIRMED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """A verdict and what it was found by.

    Attributes:
        verdict: What becomes of the request.
        route: Route that it matches, or None.
        organisation: Holder of its key, None without one.
    """

    verdict: Verdict
    route: documents.Route | None = None
    organisation: documents.Organisation | None = None


def decide_access(
    catalog: documents.Catalog,
    age_s: float,
    revoke_s: float,
    host: str,
    path: str,
    key: str,
) -> Access:
    """Finds route and organisation of a request.

    Args:
        catalog: Configuration in force.
        age_s: Time since it was known to be the newest, in seconds.
        revoke_s: Time after which a revoked key must not be served.
        host: Host that was asked for, without a port.
        path: Path that was asked for.
        key: Key of the caller; empty for none.
    """
    may_deny = age_s <= DENIAL_AGE_S
    route = catalog.find_route(host, path)
    if route is None:
        return Access(Verdict.NO_ROUTE if may_deny else Verdict.UNCONFIRMED)
    if not catalog.requires_keys or route.is_anonymous:
        return Access(Verdict.ALLOWED, route)
    if age_s > revoke_s * KEY_TRUST_FRACTION:
        return Access(Verdict.UNCONFIRMED, route)
    organisation = catalog.find_organisation(key)
    if organisation is None:
        verdict = Verdict.UNKNOWN_KEY if may_deny else Verdict.UNCONFIRMED
        return Access(verdict, route)
    return Access(Verdict.ALLOWED, route, organisation)
