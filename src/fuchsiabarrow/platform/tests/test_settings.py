import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.platform import settings

TEXT = """\
node_name=front-a-1
role=entry
ip=10.1.0.40
zone=a
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
listen.control=10.1.0.40:8229
internal_ports=7340,7355
seeds=10.1.0.40:8229,10.2.0.29:8229
limits.memory_mb=300
limits.max_fds=4100
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=202
bounds.stall_ms=3000
provider.address=10.200.1.7:8223
some.new.field=unknown
"""


def change_field(name: str, value: str | None) -> str:
    lines = [
        line for line in TEXT.splitlines() if not line.startswith(name + "=")
    ]
    if value is not None:
        lines.append(f"{name}={value}")
    return "\n".join(lines)


def test_fields_are_converted_to_their_units():
    found = settings.parse(TEXT)
    assert found.name == "front-a-1"
    assert found.entry_port == 7340
    assert found.seed_ips == ("10.1.0.40", "10.2.0.29")
    assert found.drain_s == 2.0
    assert found.revoke_s == 5.0
    assert found.budget_extra == 202.0


def test_keys_are_always_trusted_without_strict_revocation():
    found = settings.parse(change_field("bounds.strict_revoke", "false"))
    assert found.revoke_s == float("inf")


@pytest.mark.parametrize("seeds", ["", None])
def test_seeds_may_be_missing(seeds):
    assert settings.parse(change_field("seeds", seeds)).seed_ips == ()


@pytest.mark.parametrize(
    "name",
    ["node_name", "ip", "zone", "listen.front", "provider.address"],
)
def test_error_names_missing_field(name):
    with pytest.raises(exceptions.SettingsError, match=name):
        settings.parse(change_field(name, None))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen.front", "somewhere"),
        ("listen.front", "10.0.0.1:99999"),
        ("provider.address", "host:80"),
        ("bounds.grace_s", "soon"),
        ("bounds.grace_s", "-1"),
        ("bounds.grace_s", "inf"),
        ("bounds.grace_s", "nan"),
        ("internal_ports", "x,y"),
    ],
)
def test_error_names_field_with_invalid_value(name, value):
    with pytest.raises(exceptions.SettingsError, match=name):
        settings.parse(change_field(name, value))


def test_error_names_unreadable_file(tmp_path):
    path = str(tmp_path / "none.conf")
    with pytest.raises(exceptions.SettingsError, match=r"none\.conf"):
        settings.read_file(path)
