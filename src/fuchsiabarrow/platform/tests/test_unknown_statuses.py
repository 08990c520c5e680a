"""Upstreams that answer with a status that HTTP does not define."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import logbook
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import store as store_module
from fuchsiabarrow.platform import upstream_control
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.utils.tests import raw_servers

# Not defined by HTTP, or (101) only as the answer to a request for an upgrade.
STATUSES = ["000", "099", "101", "600", "999"]
GENERATION = {wire_names.TOKEN_COUNTS: "800,60", wire_names.LENGTH_HINT: "60"}
FIRST_IP, SECOND_IP = "127.0.0.1", "127.0.0.2"
# Enough for one of three upstreams to be chosen, almost surely.
MAX_REQUESTS = 60
# Bad answers in a row after which an upstream is avoided.
MAX_UNSUCCESSFUL = directory_module.MAX_UNSUCCESSFUL_REQUESTS
# Far under the limits of the routes (20 s, and 5 s below).
PROMPT_S = 2.0
ROUTES = [
    *(
        {**route, "timeout_ms": 5000} if route["service"] == "desk" else route
        for route in entry_harness.ROUTES
    ),
    sample_objects.make_route(
        name="once", path_prefix="/once/", resumable=False, max_attempts=1
    ),
]


@dataclasses.dataclass
class Deployment:
    """Two entries, the upstreams of the harness and a sick one."""

    harness: entry_harness.EntryHarness
    entries: list[forwarding_entry.ForwardingEntry]
    sick: raw_servers.RawServer
    sick_id: str
    status: str = "200"
    number: int = 0

    def try_statuses(self):
        """Yields each status, which the sick upstream answers from then on."""
        for self.status in STATUSES:
            self.sick.requests.clear()
            for entry in self.entries:
                entry.kernel.get("directory").clear_failures()
            yield self.status

    @property
    def sick_ids(self) -> set[str]:
        name = wire_names.ATTEMPT_ID.lower()
        return {run.headers[name] for run in self.sick_runs}

    @property
    def sick_runs(self) -> list[raw_servers.RawRequest]:
        return [
            request
            for request in self.sick.requests
            if request.target != wire_names.REPORT_PATH
        ]

    async def fetch(self, number: int, path: str, method="GET", **options):
        """Sends a request to one of the entries, in turn."""
        headers = {
            "Host": entry_harness.HOST,
            wire_names.ATTEMPT_ID: f"r{number}",
            wire_names.AUTHORIZATION: "Token key-1",
            **options.pop("headers", {}),
        }
        host = (FIRST_IP, SECOND_IP)[number % 2]
        async with asyncio.timeout(PROMPT_S):
            async with self.harness.session.request(
                method,
                f"http://{host}:{self.harness.ports[0]}{path}",
                headers=headers,
                **options,
            ) as response:
                return response.status, response.headers, await response.read()

    async def fetch_until_sick(self, path: str, **options) -> list:
        """Sends requests until two of them were sent to the sick upstream."""
        answers = []
        for _ in range(MAX_REQUESTS):
            self.number += 1
            answers.append(await self.fetch(self.number, path, **options))
            if len(self.sick_runs) > 1:
                return answers
        raise AssertionError("the sick upstream was not chosen")


@contextlib.asynccontextmanager
async def deploy(service: str, extra_headers: dict[str, str]):
    def answer(request: raw_servers.RawRequest) -> bytes:
        if request.target == wire_names.REPORT_PATH:
            return raw_servers.make_answer("200", b"{}")
        request_id = request.headers[wire_names.ATTEMPT_ID.lower()]
        return raw_servers.make_answer(
            deployment.status,
            b"sick",
            {
                wire_names.ATTEMPT_ID: request_id,
                wire_names.SEAL: fake_upstreams.SEAL,
                **extra_headers,
            },
        )

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        harness = await enter(entry_harness.EntryHarness())
        await harness.store.put(
            "config",
            "main",
            sample_objects.make_config(version=8, routes=ROUTES),
        )
        # Entries find each other by their IP addresses, on the same port.
        text = "\n".join(
            line
            if line.startswith(("seeds=", "provider."))
            else line.replace(FIRST_IP, SECOND_IP)
            for line in harness.settings_text.replace(
                "entry-1", "entry-2"
            ).splitlines()
        )
        second = await enter(
            forwarding_entry.ForwardingEntry(settings_module.parse(text), 2)
        )
        sick = await enter(raw_servers.RawServer(answer))
        fields = {"service": service, "address": sick.address, "born": 1}
        if service == "desk":
            fields |= {"kind": None, "layers": None}
        else:
            layers = {"start_key": 0, "to": 40, "version": 1}
            fields |= {"kind": "a100", "layers": layers}
        sick_id = f"{service}-sick"
        await harness.store.put(
            "servers", sick_id, sample_objects.make_server(**fields)
        )
        entries = [harness.entry, second]

        def is_ready(entry) -> bool:
            directory = entry.kernel.get("directory")
            catalog = entry.kernel.get("current_catalog").catalog
            return (
                entry.is_ready()
                and len(directory.get_all()) == 5
                and catalog.version == 8
                # Before, it has no retry budget.
                and entry.kernel.get("load_reports").count_quota_shares() == 2
            )

        await harness.wait(lambda: all(map(is_ready, entries)))
        deployment = Deployment(harness, entries, sick, sick_id)
        yield deployment


def play(test, service: str, **extra_headers) -> list[str]:
    """Runs a test on a deployment; returns the lines that were logged."""

    async def main():
        async with deploy(service, extra_headers) as deployment:
            await test(deployment)

    with logbook.TestHandler() as handler:
        asyncio.run(main())
    return [record.message for record in handler.records]


def test_repeatable_request_is_served_elsewhere_at_once():
    """Guards against 600 sent to callers, and 504 after waiting for 000."""

    async def test(deployment):
        for status in deployment.try_statuses():
            answers = await deployment.fetch_until_sick("/read/x")
            assert (status, {a[0] for a in answers}) == (status, {200})
            # A connection with such an answer is not used again.
            assert {run.position for run in deployment.sick_runs} == {0}

    lines = play(test, "desk")
    named = [line for line in lines if "event=upstream_status_invalid" in line]
    for status in STATUSES:
        assert any(
            f"instance=desk-sick status={int(status)} " in line
            for line in named
        )


@pytest.mark.parametrize("extra", [{}, {wire_names.NOT_RUN: "1"}])
def test_request_that_may_run_once_gets_a_prompt_502(extra):
    """Guards against a second run, and a 503 that says that none has run."""

    async def test(deployment):
        for status in deployment.try_statuses():
            answers = await deployment.fetch_until_sick(
                "/book/x", method="POST", data=b"b"
            )
            check_failures(deployment, status, answers)
            run_elsewhere = {
                run[0]
                for name in ("desk-1", "desk-2")
                for run in deployment.harness.upstreams[name].runs
            }
            assert not run_elsewhere & deployment.sick_ids

    play(test, "desk", **extra)


def check_failures(deployment, status: str, answers: list) -> None:
    """Checks that each run at the sick upstream ended with a 502."""
    bad = [answer for answer in answers if answer[0] != 200]
    assert (status, {answer[0] for answer in bad}) == (status, {502})
    assert len(bad) == len(deployment.sick_runs)
    for _, headers, body in bad:
        assert f"status {int(status)}" in body.decode()
        assert wire_names.RETRY_AFTER not in headers


@pytest.mark.parametrize(
    ("service", "path"), [("desk", "/read/x"), ("model", "/draft/x")]
)
def test_upstream_with_such_answers_is_avoided(service, path):
    """Guards against success recorded for any status under 500."""

    async def test(deployment):
        directory = deployment.entries[0].kernel.get("directory")
        sick = directory.get(deployment.sick_id)
        for status in deployment.try_statuses():
            for number in range(0, 2 * MAX_REQUESTS, 2):
                headers = GENERATION if service == "model" else {}
                await deployment.fetch(
                    number, path, "POST", data=b"p", headers=headers
                )
                if directory.is_avoided(sick):
                    break
            runs = len(deployment.sick_runs)
            assert (status, directory.is_avoided(sick)) == (status, True)
            assert (status, runs) == (status, MAX_UNSUCCESSFUL)

    play(test, service)


@pytest.mark.parametrize("extra", [{}, {wire_names.NOT_RUN: "1"}])
def test_resumable_stream_goes_to_another_first_instance(extra):
    """Guards against streams that wait, or try the same instance again."""

    async def test(deployment):
        for status in deployment.try_statuses():
            answers = await deployment.fetch_until_sick(
                "/draft/x", method="POST", data=b"p", headers=GENERATION
            )
            outcomes = {(a[0], a[2].count(b"\n\n")) for a in answers}
            assert (status, outcomes) == (status, {(200, 5)})
            runs = deployment.sick_runs
            assert len(deployment.sick_ids) == len(runs)

    lines = play(test, "model", **extra)
    for status in STATUSES:
        assert any(
            f"instance=model-sick status={int(status)} " in line
            for line in lines
        )


def test_stream_that_may_run_once_gets_a_prompt_502():
    """Guards against a stream that is sent twice, or fails without a cause."""

    async def test(deployment):
        for status in deployment.try_statuses():
            answers = await deployment.fetch_until_sick(
                "/once/x", method="POST", data=b"p", headers=GENERATION
            )
            check_failures(deployment, status, answers)

    play(test, "model")


UPSTREAM = upstreams.Upstream("i", 1, "s", "", "a", 1, False)


def call_control(status: str, call):
    """Returns the result of a call to an upstream that answers a status."""

    async def main():
        body = b'{"address": "10.0.0.9:80", "pace": 9.0}'
        raw = raw_servers.make_answer(status, body)
        async with (
            raw_servers.RawServer(lambda _: raw) as server,
            connection_pools.ConnectionPool(1.0) as pool,
        ):
            upstream = dataclasses.replace(UPSTREAM, address=server.address)
            async with asyncio.timeout(PROMPT_S):
                return await call(
                    upstream_control.UpstreamControl(pool), upstream
                )

    return asyncio.run(main())


@pytest.mark.parametrize("status", STATUSES)
def test_status_report_with_such_a_status_is_broken_at_once(status):
    """Guards against sick instances that probes take for silent ones."""
    with pytest.raises(exceptions.UpstreamResponseLostError, match="status"):
        call_control(
            status, lambda control, upstream: control.read_report(upstream, 9.0)
        )


@pytest.mark.parametrize("status", STATUSES)
def test_path_change_with_such_a_status_names_no_instance(status):
    """Guards against excluding an instance that a broken answer names."""
    outcome = call_control(
        status,
        lambda control, upstream: control.change_path(
            upstream, "r1", (paths.PathSegment(upstream, 0, 4),), 9.0
        ),
    )
    assert not outcome.is_accepted
    assert outcome.unreachable_address == ""


@pytest.mark.parametrize("status", STATUSES)
def test_order_with_such_a_status_is_of_unknown_effect(status):
    """Guards against layers planned twice after an order taken for refused."""
    outcome = call_control(
        status,
        lambda control, upstream: control.place(
            upstream, upstreams.LayerRange(0, 4), 0
        ),
    )
    assert not outcome.is_accepted
    assert not outcome.is_refused
    assert f"status {int(status)}" in outcome.detail


def call_store(status: str, call):
    async def main():
        body = b'{"entries": [], "events": [], "store_revision": 7}'
        headers = {"Connection": "close"}
        raw = raw_servers.make_answer(status, body, headers)
        async with (
            raw_servers.RawServer(lambda _: raw) as server,
            aiohttp.ClientSession() as session,
        ):
            client = store_module.StoreClient(session, server.address, 1.0)
            return await call(client)

    return asyncio.run(main())


@pytest.mark.parametrize("status", [*STATUSES, "302"])
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.list("servers"),
        lambda client: client.watch("servers", 7, 0.1),
    ],
)
def test_read_of_the_store_with_such_a_status_fails(status, call):
    """Guards against an empty list that removes all upstreams."""
    with pytest.raises(exceptions.StoreUnavailableError):
        call_store(status, call)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.create("entries", "x", {}),
        lambda client: client.replace("entries", "x", {}),
        lambda client: client.delete("entries", "x"),
    ],
)
def test_write_to_the_store_with_such_a_status_is_of_unknown_effect(
    status, call
):
    """Guards against registrations that the store never had."""
    with pytest.raises(exceptions.StoreOutcomeUnknownError):
        call_store(status, call)
