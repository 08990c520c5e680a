"""Test fleets: instances of three kinds in three failure domains."""

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import upstreams

SERVICE = "model"
DOMAINS = ("a", "b", "c")
COUNTS = {
    "fast": {"a": 1, "b": 1, "c": 2},
    "middle": {"a": 3, "b": 6, "c": 2},
    "slow": {"a": 8, "b": 5, "c": 5},
}


def make_model(**changes) -> engines.EnginePerformance:
    fields = {
        "layers": 80,
        "layer_mb": 1750.0,
        "slots": 96,
        "kv_bytes_per_token": 1_836_000.0,
        "step_ms": 1.02,
        "step_per_request_ms": 0.01428,
        "step_per_k_context_ms": 0.01912,
        "prefill_tokens_per_s": 105_000.0,
        "tokens_per_event": 3,
        "load_s": 14.0,
        "mean_prompt_tokens": 774.0,
        "mean_answer_tokens": 200.0,
        "activation_bytes_per_token": 91_800.0,
        "link_mbps": 26_000.0,
        "domain_delay_ms": 0.75,
        "kinds": {
            "fast": engines.AcceleratorKind("fast", 72_000.0, 2.4, 3.2),
            "middle": engines.AcceleratorKind("middle", 43_200.0, 5.6, 2.7),
            "slow": engines.AcceleratorKind("slow", 21_600.0, 16.0, 8.2),
        },
    }
    fields.update(changes)
    return engines.EnginePerformance(**fields)


def make_instance(
    name: str,
    domain: str = "a",
    kind: str = "fast",
    layers: tuple[int, int] | None = None,
    incarnation: int = 1,
    is_leaving: bool = False,
    service: str = SERVICE,
    address: str = "",
) -> upstreams.Upstream:
    held = None if layers is None else upstreams.LayerRange(*layers)
    return upstreams.Upstream(
        name,
        incarnation,
        service,
        address or f"10.0.0.1:{1000 + len(name)}",
        domain,
        96,
        is_leaving,
        kind,
        held,
    )


def make_fleet() -> list[upstreams.Upstream]:
    """Returns instances without layers, as many of each kind as in `COUNTS`."""
    return [
        make_instance(f"{kind}-{domain}-{index}", domain, kind)
        for kind, by_domain in COUNTS.items()
        for domain, count in by_domain.items()
        for index in range(count)
    ]
