"""HTTP interface for operators: configuration, status, metrics, health."""

import aiohttp.web
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.entry import problems
from fuchsiabarrow.kernel import registry

__all__ = ["add_health_routes", "make_app"]

RETRY_AFTER_S = 1.0


class OperatorInterface:
    """HTTP handlers of the operators' interface.

    Args:
        kernel: Registry of the services of this entry.
        entry_name: Name of the entry.
        bootstrap_digest: SHA-256 hex digest of a key that is accepted from
            operators whatever the configuration says; empty for none.
    """

    def __init__(
        self, kernel: registry.Kernel, entry_name: str, bootstrap_digest: str
    ):
        self._entry_name = entry_name
        self._bootstrap_digest = bootstrap_digest
        self._configuration = kernel.get("configuration")
        self._routing = kernel.get("routing")
        self._streams = kernel.get("streams")
        self._actions = kernel.get("actions")
        self._metrics = kernel.get("metrics")
        self._state = kernel.get("state")
        self._peers = kernel.get("peers")

    def add_routes(self, app: aiohttp.web.Application) -> None:
        """Registers the routes of the handlers."""
        app.router.add_get("/v1/configuration", self.read_configuration)
        app.router.add_patch("/v1/configuration", self.patch_configuration)
        app.router.add_get("/v1/status", self.read_status)
        app.router.add_get("/metrics", self.read_metrics)

    async def read_configuration(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/configuration``."""
        if self._find_operator(request) is None:
            return _make_unauthorized_response()
        number = self._configuration.head.number
        return aiohttp.web.json_response(
            self._configuration.get_document(), headers={"ETag": f'"{number}"'}
        )

    async def patch_configuration(self, request: aiohttp.web.Request):
        """Serves ``PATCH /v1/configuration``."""
        operator = self._find_operator(request)
        if operator is None:
            return _make_unauthorized_response()
        number = _parse_if_match(request)
        if number is None:
            return problems.make_problem(
                428,
                "if-match-missing",
                "send If-Match with the number of the configuration that the"
                " patch is based on; GET /v1/configuration returns it as the"
                " ETag",
            )
        try:
            patch = msgspec.json.decode(await request.read())
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return problems.make_problem(400, "malformed-body", str(error))
        return await self._apply_patch(patch, number, operator)

    async def _apply_patch(self, patch, number: int, operator: str):
        try:
            accepted = await self._configuration.patch(patch, number, operator)
        except exceptions.VersionMismatchError as error:
            response = problems.make_problem(
                412, "other-version", str(error), in_force=error.in_force
            )
            response.headers["ETag"] = f'"{error.in_force}"'
            return response
        except exceptions.ConfigurationError as error:
            return problems.make_problem(
                422, "invalid-configuration", str(error)
            )
        except exceptions.StoreOutcomeUnknownError as error:
            return problems.make_problem(
                504, "patch-unknown", str(error), "unknown", RETRY_AFTER_S
            )
        except exceptions.StoreError as error:
            return problems.make_problem(
                503,
                "store-down",
                str(error),
                retry_after_s=RETRY_AFTER_S,
            )
        return aiohttp.web.json_response(
            {"number": accepted}, headers={"ETag": f'"{accepted}"'}
        )

    async def read_status(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/status``."""
        if self._find_operator(request) is None:
            return _make_unauthorized_response()
        instances = [
            {
                **msgspec.to_builtins(state.instance),
                "is_leaving": state.is_leaving,
                "in_flight": state.in_flight,
                "failures": state.failures,
                "hop_s": round(state.hop_s, 6),
            }
            for state in self._routing.health.get_states()
        ]
        return aiohttp.web.json_response(
            {
                "entry": self._entry_name,
                "configuration": self._configuration.head.number,
                "alarms": self._configuration.alarms,
                "is_draining": self._state.is_draining,
                "streams": self._streams.count_running(),
                "actions": self._actions.count_running(),
                "members": [
                    {
                        **msgspec.to_builtins(member),
                        "status": member.status.name.lower(),
                    }
                    for member in self._peers.members.get_all()
                ],
                "instances": instances,
            }
        )

    async def read_metrics(self, request: aiohttp.web.Request):
        """Serves ``GET /metrics``."""
        self._metrics.configuration_number.set(self._configuration.head.number)
        return aiohttp.web.Response(
            body=self._metrics.encode(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    def _find_operator(self, request) -> str | None:
        return authentication.find_operator(
            authentication.compute_key_digest(request),
            self._configuration.configuration,
            self._bootstrap_digest,
        )


def _make_unauthorized_response() -> aiohttp.web.Response:
    response = problems.make_problem(
        401, "unknown-key", "send the bearer key of an operator"
    )
    response.headers["WWW-Authenticate"] = "Bearer"
    return response


def _parse_if_match(request) -> int | None:
    text = request.headers.get("If-Match", "").strip('"')
    return int(text) if text.isdecimal() else None


def add_health_routes(
    app: aiohttp.web.Application, kernel: registry.Kernel
) -> None:
    """Adds ``/healthz`` (liveness) and ``/readyz`` (readiness).

    ``/healthz`` answers as long as the event loop runs; ``/readyz`` succeeds
    while the entry accepts new work: it has a configuration and is not
    draining.
    """
    configuration = kernel.get("configuration")
    state = kernel.get("state")

    async def answer_health(request: aiohttp.web.Request):
        return aiohttp.web.Response(text="ok\n")

    async def answer_readiness(request: aiohttp.web.Request):
        if state.is_draining:
            return aiohttp.web.Response(status=503, text="stopping\n")
        if configuration.head.number == 0:
            return aiohttp.web.Response(status=503, text="no configuration\n")
        return aiohttp.web.Response(text="ready\n")

    app.router.add_get("/healthz", answer_health)
    app.router.add_get("/readyz", answer_readiness)


def make_app(
    kernel: registry.Kernel,
    entry_name: str,
    max_body_bytes: int,
    bootstrap_digest: str,
) -> aiohttp.web.Application:
    """Returns the HTTP application for operators.

    Args:
        kernel: Registry of the services of this entry.
        entry_name: Name of the entry.
        max_body_bytes: Limit on the size of a request body.
        bootstrap_digest: SHA-256 hex digest of a key that is accepted from
            operators whatever the configuration says; empty for none.
    """
    app = aiohttp.web.Application(
        client_max_size=max_body_bytes,
        middlewares=[problems.make_middleware()],
    )
    OperatorInterface(kernel, entry_name, bootstrap_digest).add_routes(app)
    add_health_routes(app, kernel)
    return app
