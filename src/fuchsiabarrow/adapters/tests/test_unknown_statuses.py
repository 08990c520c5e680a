"""Stores and services that answer with a status that HTTP does not define."""

import asyncio

import aiohttp
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.adapters import instances
from fuchsiabarrow.adapters import objects
from fuchsiabarrow.adapters import orders
from fuchsiabarrow.adapters import services
from fuchsiabarrow.ports import services as services_port
from fuchsiabarrow.utils.tests import raw_servers

STATUSES = ["000", "099", "101", "600", "999"]


def call(status: str, use, body: bytes = b'{"items": []}', **headers):
    """Returns the result of a call to a server that answers a status."""

    async def main():
        headers["Connection"] = "close"
        headers["ETag"] = "3"
        names = {n.replace("_", "-"): value for n, value in headers.items()}
        raw = raw_servers.make_answer(status, body, names)
        async with (
            raw_servers.RawServer(lambda _: raw) as server,
            aiohttp.ClientSession() as session,
            asyncio.timeout(5.0),
        ):
            return await use(session, server.address)

    return asyncio.run(main())


def open_objects(session, address) -> objects.HttpObjectStore:
    return objects.HttpObjectStore(session, address, 1.0)


@pytest.mark.parametrize("status", [*STATUSES, "302", "403"])
@pytest.mark.parametrize(
    "use",
    [
        lambda *to: open_objects(*to).get("k", "n"),
        lambda *to: open_objects(*to).list("k"),
    ],
)
def test_read_of_an_object_with_an_unexpected_status_fails(status, use):
    """Guards against the body of a broken answer taken for an object."""
    with pytest.raises(exceptions.StoreUnavailableError):
        call(status, use)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    "use",
    [
        lambda *to: open_objects(*to).put("k", "n", b"", 2),
        lambda *to: open_objects(*to).delete("k", "n"),
    ],
)
def test_write_of_an_object_with_such_a_status_is_of_unknown_effect(
    status, use
):
    """Guards against leases that two entries believe to hold."""
    with pytest.raises(exceptions.StoreOutcomeUnknownError):
        call(status, use)


@pytest.mark.parametrize("status", ["403", "503"])
def test_refused_deletion_is_an_error(status):
    """Guards against any answer taken for a deletion."""
    with pytest.raises(exceptions.StoreUnavailableError):
        call(status, lambda *to: open_objects(*to).delete("k", "n"))


def make_call(address: str) -> services_port.Call:
    return services_port.Call(address, "/run", "key", 1, b"{}", 1.0)


@pytest.mark.parametrize("status", STATUSES)
def test_action_with_such_a_status_is_of_unknown_outcome(status):
    """Guards against a broken answer that says that the action did not run."""
    with pytest.raises(exceptions.ServiceOutcomeUnknownError):
        call(
            status,
            lambda session, address: services.HttpPlainService(session).call(
                make_call(address)
            ),
            Did_Not_Run="true",
        )


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    ("use", "error"),
    [
        (
            lambda session, address: services.HttpPlainService(
                session
            ).query_outcome(make_call(address)),
            exceptions.ServiceError,
        ),
        (
            lambda session, address: instances.HttpInstanceList(
                session, address, 1.0
            ).read(),
            exceptions.StoreUnavailableError,
        ),
        (
            lambda session, address: orders.HttpEngineOrders(
                session, 1.0
            ).read_state(address),
            exceptions.InstanceUnreachableError,
        ),
    ],
)
def test_calls_that_expect_one_status_fail_with_any_other(status, use, error):
    """Guards against the same fault in the calls that were found sound."""
    with pytest.raises(error):
        call(status, use)
