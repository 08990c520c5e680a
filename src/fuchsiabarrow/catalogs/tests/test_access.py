import pytest

from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import documents

FRESH_S = 0.1
LIMITS = access.Limits(apply_s=2.0, revoke_s=5.0)
# May be older than a version that added the route or key.
STALE_S = LIMITS.apply_s + 0.1
UNTRUSTED_S = LIMITS.revoke_s * access.KEY_TRUST_FRACTION + 0.1


def make_route(name: str, prefix: str, is_anonymous: bool = False):
    return documents.Route(
        name,
        "Shop.example",
        prefix,
        documents.RequestKind.IDEMPOTENT,
        1.0,
        0.1,
        None,
        1,
        (("desk", 1.0),),
        1,
        is_anonymous,
        False,
    )


ORGANISATIONS = (documents.Organisation("org", ("key",), None),)


def decide(
    age_s,
    path="/a/x",
    key="key",
    host="shop.example",
    organisations=ORGANISATIONS,
):
    catalog = documents.make_catalog(
        1,
        [make_route("a", "/a/"), make_route("open", "/open/", True)],
        [],
        None if organisations is None else list(organisations),
        documents.RequestLimits(),
    )
    return access.decide_access(catalog, age_s, LIMITS, host, path, key)


@pytest.mark.parametrize(
    ("age_s", "path", "key", "verdict"),
    [
        (FRESH_S, "/a/x", "key", access.Verdict.ALLOWED),
        (FRESH_S, "/a/x", "other", access.Verdict.UNKNOWN_KEY),
        (FRESH_S, "/a/x", "", access.Verdict.UNKNOWN_KEY),
        (FRESH_S, "/none/x", "key", access.Verdict.NO_ROUTE),
        (FRESH_S, "/a", "key", access.Verdict.NO_ROUTE),
        (STALE_S, "/a/x", "key", access.Verdict.ALLOWED),
        (STALE_S, "/a/x", "other", access.Verdict.UNCONFIRMED),
        (STALE_S, "/none/x", "key", access.Verdict.UNCONFIRMED),
        (UNTRUSTED_S, "/a/x", "key", access.Verdict.UNCONFIRMED),
        (UNTRUSTED_S, "/open/x", "", access.Verdict.ALLOWED),
    ],
)
def test_age_of_the_configuration_limits_what_it_may_decide(
    age_s, path, key, verdict
):
    assert decide(age_s, path, key).verdict is verdict


def test_key_is_looked_up_and_host_is_matched_in_any_case():
    assert decide(FRESH_S).organisation.name == "org"
    assert decide(FRESH_S, host="SHOP.EXAMPLE").route.name == "a"


def test_no_key_is_needed_if_the_configuration_uses_none():
    decision = decide(UNTRUSTED_S, key="", organisations=None)
    assert decision.verdict is access.Verdict.ALLOWED
    assert decision.organisation is None


# Once the last organisation was taken away, every key opened every route:
# revoked ones, and keys that no configuration ever held.
@pytest.mark.parametrize(
    "organisations", [(), (documents.Organisation("org", (), None),)]
)
def test_no_key_is_valid_if_no_organisation_holds_one(organisations):
    def decide_with(age_s, **request):
        return decide(age_s, organisations=organisations, **request).verdict

    for key in ("key", "other", ""):
        assert decide_with(FRESH_S, key=key) is access.Verdict.UNKNOWN_KEY
        assert decide_with(STALE_S, key=key) is access.Verdict.UNCONFIRMED
        assert decide_with(UNTRUSTED_S, key=key) is access.Verdict.UNCONFIRMED
    assert decide_with(FRESH_S, path="/open/x") is access.Verdict.ALLOWED
