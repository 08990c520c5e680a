"""Access decision for a request: its route and API key; without I/O.

A configuration that has not been confirmed as the newest for some time may have
been replaced since: keys may have been revoked, routes added. With such a
configuration the decision is `Verdict.UNCONFIRMED` instead of a denial, and,
past the time limit for revoked keys, also instead of access by a key.
"""

import dataclasses
import enum

from fuchsiabarrow.catalogs import documents

__all__ = ["Access", "Limits", "Verdict", "decide_access"]

# Fraction of the time limit for revoked keys after which an unconfirmed
# configuration no longer grants access by a key. It is less than 1 because a
# request takes time to reach an upstream.
KEY_TRUST_FRACTION = 0.9


class Verdict(enum.Enum):
    """Result of the access decision for a request."""

    ALLOWED = enum.auto()
    NO_ROUTE = enum.auto()
    UNKNOWN_KEY = enum.auto()
    UNCONFIRMED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """A verdict with the route and organisation behind it.

    Attributes:
        verdict: Result of the decision.
        route: Route that the request matches, or None.
        organisation: Holder of the request's key, or None if no key was
            looked up or it is unknown.
    """

    verdict: Verdict
    route: documents.Route | None = None
    organisation: documents.Organisation | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the age of a configuration that decides on a request.

    Attributes:
        apply_s: Time after which a new version must be in force, in seconds. An
            older configuration may lack a route or key that was added, and
            denies none.
        revoke_s: Time after which a revoked key must no longer be accepted, in
            seconds.
    """

    apply_s: float
    revoke_s: float


def decide_access(
    catalog: documents.Catalog,
    age_s: float,
    limits: Limits,
    host: str,
    path: str,
    key: str,
) -> Access:
    """Decides whether a request may be served, by route and key.

    Args:
        catalog: Configuration in force.
        age_s: Time since the configuration was last confirmed to be the
            newest, in seconds.
        limits: Limits on the age.
        host: Host of the request, without a port.
        path: Path of the request.
        key: API key of the caller; empty for none.
    """
    may_deny = age_s <= limits.apply_s
    route = catalog.find_route(host, path)
    if route is None:
        return Access(Verdict.NO_ROUTE if may_deny else Verdict.UNCONFIRMED)
    if not catalog.requires_keys or route.is_anonymous:
        return Access(Verdict.ALLOWED, route)
    if age_s > limits.revoke_s * KEY_TRUST_FRACTION:
        return Access(Verdict.UNCONFIRMED, route)
    organisation = catalog.find_organisation(key)
    if organisation is None:
        verdict = Verdict.UNKNOWN_KEY if may_deny else Verdict.UNCONFIRMED
        return Access(verdict, route)
    return Access(Verdict.ALLOWED, route, organisation)
