"""Changes of the configuration while requests wait in each place.

Each request that was read has exactly one final answer, whichever version comes
into force meanwhile: the one at its match holds until its end.
"""

import asyncio
import dataclasses

import pytest

from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import caller_connections
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.platform.tests import simulated_network

GENERATION = caller_connections.GENERATION
PLAIN_SERVICES = ("desk", "failing", "cut")
MODEL_SERVICES = ("model", "late", "lost", "large")
CHANGE_S = 0.6
# Requests wait longer than this after the change.
SHORT_LIMIT_MS = 900
SERIES_GAP_S = 0.15
# Has room for all requests.
MEMORY_MB = 200_000.0
REPEATS = 3
# The route of an upload is looked up at the end of its body.
UPLOAD_REFUSALS = tuple(("book/upload", status) for status in (401, 404, 503))


def make_routes(timeout_ms=20_000):
    kinds = {
        "read": ("idempotent", "desk", False),
        "book": ("non_idempotent", "desk", False),
        "retry": ("idempotent", "failing", False),
        "connect": ("non_idempotent", "cut", False),
        "draft": ("streaming", "model", True),
        "once": ("streaming", "model", False),
        "wait": ("streaming", "late", True),
        "wait-once": ("streaming", "late", False),
        "path": ("streaming", "lost", True),
        "large": ("streaming", "large", False),
    }
    return {
        name: sample_objects.make_route(
            name=name,
            path_prefix=f"/{name}/",
            kind=kind,
            service=service,
            resumable=is_resumable,
            timeout_ms=timeout_ms,
        )
        for name, (kind, service, is_resumable) in kinds.items()
    }


def make_services():
    plain, model = sample_objects.make_config()["services"][::-1]
    for kind in model["engine"]["kinds"]:
        kind["mb"] = MEMORY_MB
    return [
        *(plain | {"name": name} for name in PLAIN_SERVICES),
        *(model | {"name": name} for name in MODEL_SERVICES),
    ]


@dataclasses.dataclass
class Sent:
    """One request and what its caller received.

    Attributes:
        place: Where it waits while the configuration changes.
        answer: Its answer.
        next_answer: Answer to the next request on the same connection.
        has_stray_bytes: Whether bytes followed that answer no request.
    """

    place: str
    answer: caller_connections.Answer
    next_answer: caller_connections.Answer
    has_stray_bytes: bool


async def prepare(deployment):
    """Starts upstreams that let requests wait in each place."""
    add = deployment.add_upstream
    for name in ("desk-1", "desk-2"):
        deployment.upstreams[name].delay_s = 1.8
    failing = await add("failing-1", "failing")
    failing.status, failing.delay_s = 500, 0.5
    (await add("failing-2", "failing")).delay_s = 1.5
    await add("cut-1", "cut")
    (await add("cut-2", "cut")).delay_s = 1.5
    for service in ("late", "lost", "large"):
        await add(f"{service}-left", service, (0, 40))
        await add(f"{service}-right", service, (40, 80))
    upstreams = deployment.upstreams
    upstreams["left"].event_count, upstreams["left"].gap_s = 8, 0.3
    upstreams["late-left"].delay_s = 1.8
    upstreams["lost-left"].event_count = 8
    upstreams["lost-left"].gap_s = 0.2
    upstreams["large-left"].event_count = 150
    upstreams["large-left"].padding = 8000
    await asyncio.sleep(caller_connections.WARM_UP_S)
    deployment.network.begin_fault(
        simulated_network.Shape.HANG,
        [caller_connections.ENTRY_IP],
        [upstreams["cut-1"].address.partition(":")[0]],
    )
    hold_parts(deployment, {"held"}, 1.5)


def hold_parts(deployment, parts, for_s):
    """Lets requests with some prompt parts wait for a verdict."""
    part_crashes = deployment.entry.kernel.get("forwarding").part_crashes
    judge, loop = part_crashes.judge, asyncio.get_running_loop()
    until_s = loop.time() + for_s
    held = {crashing_parts.compute_hash(part) for part in parts}

    def judge_later(organisation, present):
        if held & present and loop.time() < until_s:
            return crashing_parts.Judgement(
                crashing_parts.Verdict.UNDECIDED, frozenset(held), 0.0
            )
        return judge(organisation, present)

    part_crashes.judge = judge_later


async def upload(caller, path):
    """Sends a body slowly."""
    request = caller_connections.make_request(path, "POST", b"x" * 3000)
    for begin in range(0, len(request), 500):
        caller.writer.write(request[begin : begin + 500])
        await asyncio.sleep(0.25)
    return await caller.read_answer()


async def read_late(caller, path):
    """Reads an answer only after the change."""
    caller.writer.write(
        caller_connections.make_request(path, "POST", b"p", **GENERATION)
    )
    await asyncio.sleep(2.0)
    return await caller.read_answer()


async def send(deployment, place, number):
    caller = await deployment.connect()
    name, _, detail = place.partition("/")
    path = f"/{name}/x"
    if detail == "upload":
        answer = await upload(caller, path)
    elif detail == "slow caller":
        answer = await read_late(caller, path)
    elif detail == "parts":
        answer = await caller.exchange(
            path,
            "POST",
            b"p%d" % number,
            **GENERATION,
            **{wire_names.PROMPT_PARTS: "held:400,own:400"},
        )
    elif deployment.routes[name]["kind"] == "streaming":
        answer = await caller.exchange(
            path, "POST", b"p%d" % number, **GENERATION
        )
    else:
        answer = await caller.exchange(path, "POST", b"p%d" % number)
    next_answer = await caller.exchange("/read/x", request_id="next")
    try:
        await caller.is_open_after(0.5)
        has_stray_bytes = False
    except AssertionError:
        has_stray_bytes = True
    return Sent(place, answer, next_answer, has_stray_bytes)


PLACES = (
    "read",
    "book",
    "retry",
    "connect",
    "draft",
    "once",
    "wait",
    "wait-once",
    "path",
    "draft/parts",
    "book/upload",
    "large/slow caller",
)


def move_routes(deployment):
    for route in deployment.routes.values():
        plain = route["service"] in PLAIN_SERVICES
        route["service"] = "cut" if plain else "large"


def split_routes(deployment):
    for route in deployment.routes.values():
        plain = route["service"] in PLAIN_SERVICES
        route["traffic_split"] = [
            {"service": route["service"], "weight": 0.1},
            {"service": "cut" if plain else "large", "weight": 0.9},
        ]


def drop_routes(deployment):
    deployment.routes = {"read": deployment.routes["read"]}


def lower_time_limits(deployment):
    for route in deployment.routes.values():
        route["timeout_ms"] = SHORT_LIMIT_MS


def raise_time_limits(deployment):
    for route in deployment.routes.values():
        route["timeout_ms"] = 60_000


def remove_organisation(deployment):
    deployment.config["tenants"] = [{"name": "other", "api_keys": ["key-9"]}]


def revoke_key(deployment):
    deployment.config["tenants"] = [{"name": "org", "api_keys": ["key-2"]}]


def lower_limits(deployment):
    deployment.config["limits"] = {
        "max_header_bytes": 200,
        "max_body_bytes": 1000,
        "header_timeout_ms": 100,
        "idle_timeout_ms": 200,
    }


def grow(deployment):
    for number in range(1450):
        name = f"filler-{number}"
        deployment.routes[name] = sample_objects.make_route(
            name=name, host="other.example", path_prefix=f"/{name}/"
        )


def remove_services(deployment):
    deployment.config["services"] = []


def remove_services_and_routes(deployment):
    remove_services(deployment)
    deployment.routes = {}


def change_engine(deployment):
    for service in deployment.config["services"]:
        if "engine" in service:
            service["engine"] |= {"layers": 100, "kinds": []}


def keep(_):
    pass


CHANGES = (
    keep,
    move_routes,
    split_routes,
    drop_routes,
    lower_time_limits,
    raise_time_limits,
    remove_organisation,
    revoke_key,
    lower_limits,
    grow,
    remove_services,
    remove_services_and_routes,
    change_engine,
)


def play(changes) -> list[Sent]:
    """Sends requests and changes the configuration while they wait."""

    async def test(deployment):
        deployment.config["services"] = make_services()
        await deployment.commit()
        await prepare(deployment)
        sending = asyncio.gather(
            *(
                send(deployment, place, number)
                for number in range(REPEATS)
                for place in PLACES
            )
        )
        await asyncio.sleep(CHANGE_S)
        deployment.kill_upstream("lost-left")
        for change in changes:
            change(deployment)
            await deployment.commit()
            await asyncio.sleep(SERIES_GAP_S)
        await asyncio.sleep(1.5)
        again = await deployment.add_upstream("lost-again", "lost", (0, 40))
        again.event_count = 8
        return await sending

    return caller_connections.run(test, make_routes())


def check(sent: list[Sent]) -> None:
    failed = [
        (s.place, s.answer.status, s.answer.body[:120])
        for s in sent
        if not s.answer.is_complete
        or s.next_answer.status in (None, 500)
        or s.has_stray_bytes
        or s.answer.status != 200
        and not (
            s.place == "book/upload" and s.answer.status in (401, 404, 503)
        )
    ]
    assert failed == []


# Guards against requests that end with neither an answer nor a refusal beside a
# change of the configuration.
@pytest.mark.parametrize("change", CHANGES)
def test_change_leaves_each_waiting_request_its_one_answer(change):
    check(play([change]))


def test_ten_versions_in_series_leave_each_waiting_request_its_answer():
    check(play([grow, move_routes, lower_time_limits, split_routes, keep] * 2))


# Guards against a request that another version's time limit ends, sooner or
# later than the one that it was matched with.
@pytest.mark.parametrize("name", ["read", "wait", "wait-once"])
@pytest.mark.parametrize("timeout_ms", [300, 60_000])
def test_time_limit_of_the_match_holds_until_the_end(name, timeout_ms):
    async def test(deployment):
        deployment.config["services"] = make_services()
        await deployment.commit()
        await prepare(deployment)
        sending = asyncio.create_task(send(deployment, name, 0))
        await asyncio.sleep(0.5)
        for route in deployment.routes.values():
            route["timeout_ms"] = timeout_ms
        await deployment.commit()
        return await sending

    sent = caller_connections.run(test, make_routes(timeout_ms=1000))
    assert (sent.answer.status, sent.answer.is_complete) == (504, True)
    assert 0.95 <= sent.answer.took_s <= 1.01
