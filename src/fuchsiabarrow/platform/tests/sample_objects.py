"""Sample objects in the format in which the platform stores them."""

import msgspec

from fuchsiabarrow.ports import objects


def make_server(**changes) -> dict:
    server = {
        "service": "model",
        "address": "10.128.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold_left_ms": 0,
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 4,
        "born": 1787784881110,
        "kind": "l4",
        "layers": {"start_key": 10, "to": 20, "version": 1},
    }
    server.update(changes)
    return server


def make_route(**changes) -> dict:
    route = {
        "name": "r-1",
        "host": "shop.example",
        "path_prefix": "/quotes/",
        "kind": "streaming",
        "timeout_ms": 20000,
        "slo_ms": 500,
        "priority": 1,
        "service": "model",
        "max_attempts": 2,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 200,
    }
    route.update(changes)
    return route


def make_engine() -> dict:
    return {
        "slots": 96,
        "kv_capacity": 50000,
        "kv_token_bytes": 1836000,
        "link_mbps": 400000.0,
        "stride": 3,
        "models": [{"name": "m", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_at_once": 5,
        "delays": [{"start_key": "a", "to": "b", "delay_ms": 0.75}],
        "usual": {"prompt": 774, "answer": 200},
        "layers": 80,
        "layer_mb": 1750.0,
        "act_bytes": 91800,
        "pipe_mbps": 26000.0,
        "kinds": [
            {"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2},
            {"name": "l4", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
        ],
    }


def make_config(version: int = 7, **changes) -> dict:
    config = {
        "version": version,
        "routes": [make_route()],
        "services": [
            {
                "name": "model",
                "health_path": "/healthz",
                "max_conns": 988,
                "protocol": "h1",
                "tls": False,
                "engine": make_engine(),
            },
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_conns": 48,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "org", "api_keys": ["key-1", "key-2"], "priority": 1}
        ],
    }
    config.update(changes)
    return config


def make_stored(
    name: str, spec: object, version: int = 1
) -> objects.VersionedObject:
    value = spec if isinstance(spec, bytes) else msgspec.json.encode(spec)
    return objects.VersionedObject(name, value, version)
