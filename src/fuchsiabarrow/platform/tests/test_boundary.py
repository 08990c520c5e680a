import pathlib
import re

import fuchsiabarrow

ROOT = pathlib.Path(fuchsiabarrow.__file__).parent
# Names that belong to the interfaces of the platform.
NAMES = (
    "Attempt-Id",
    "At-Server",
    "Deadline-Ms",
    "Expect-Instance",
    "Hop-Count",
    "Instance-Id",
    "Length-Hint",
    "Not-Run",
    "Prompt-Prefix",
    "Request-Priority",
    "Response-Seal",
    "Server-Limit",
    "Store-Era",
    "Token-Count",
    "Weight-Versions",
    "act_bytes",
    "cold_left_ms",
    "context_per_k",
    "drain_mode",
    "gap_aim_ms",
    "kv_token_bytes",
    "listen.front",
    "non_idempotent",
    "pairs_per_m",
    "per_seq_ms",
    "serializable",
    "slo_ms",
    "start_key",
    "store_revision",
    "traffic_split",
    "fleetbench",
)


def test_platform_names_are_used_only_in_platform_package():
    found = [
        (str(path.relative_to(ROOT)), name)
        for path in sorted(ROOT.rglob("*.py"))
        if "platform" not in path.relative_to(ROOT).parts
        for name in NAMES
        if re.search(rf"(?<![\w-]){re.escape(name)}\b", path.read_text())
    ]
    assert found == []


def test_only_composition_root_imports_platform_package():
    found = [
        str(path.relative_to(ROOT))
        for path in sorted(ROOT.rglob("*.py"))
        if "fuchsiabarrow.platform" in path.read_text()
        and path.relative_to(ROOT).parts[0] not in ("platform", "commands")
    ]
    assert found == ["entry/forwarding_entry.py"]
