"""Exception hierarchy of the package.

Each message states what happened and how to resolve it.
"""

__all__ = [
    "CachePositionError",
    "ChainUnavailableError",
    "ConfigurationError",
    "FuchsiabarrowError",
    "IdempotencyKeyError",
    "InstanceConnectionLostError",
    "InstanceError",
    "InstanceRefusedError",
    "InstanceTimeoutError",
    "InstanceUnreachableError",
    "InvalidObjectError",
    "KeyExpiredError",
    "OverloadedError",
    "PeerError",
    "ServiceError",
    "ServiceNotSentError",
    "ServiceOutcomeUnknownError",
    "SettingsError",
    "StoreConflictError",
    "StoreError",
    "StoreHistoryExpiredError",
    "StoreOutcomeUnknownError",
    "StoreRestoredError",
    "StoreUnavailableError",
    "StreamFailedError",
    "UndefinedStatusError",
    "UpstreamError",
    "UpstreamResponseLostError",
    "UpstreamUnreachableError",
    "VersionMismatchError",
]


class FuchsiabarrowError(Exception):
    """Base class of all exceptions raised by this package."""


class SettingsError(FuchsiabarrowError):
    """A settings file is invalid.

    The message names the file and the key, and says how to correct it.
    """


class ConfigurationError(FuchsiabarrowError):
    """A configuration document is invalid; the message names its key."""


class VersionMismatchError(FuchsiabarrowError):
    """A patch is based on a configuration that is not the one in force.

    Attributes:
        in_force: Number of the configuration in force.
    """

    def __init__(self, in_force: int):
        super().__init__(
            f"configuration {in_force} is in force; read it, apply the change"
            f" to it and send the patch again with If-Match {in_force}"
        )
        self.in_force = in_force


class StoreError(FuchsiabarrowError):
    """A call to the object store failed."""


class StoreConflictError(StoreError):
    """A conditional write expected a version that is not the current one."""


class StoreHistoryExpiredError(StoreError):
    """The store no longer has the changes since a revision; list again."""


class StoreRestoredError(StoreHistoryExpiredError):
    """The store returned to an earlier state; list the objects again.

    Revisions from before cannot be compared with those that it gives out now.
    """


class StoreWayChangedError(StoreHistoryExpiredError):
    """A collection is read in another way than before; list it again.

    Directly from the store, or through another entry: what one of them sent
    cannot be continued with the changes that another one sends.
    """


class StoreUnavailableError(StoreError):
    """The call had no effect on the store; retry it after a delay."""


class StoreOutcomeUnknownError(StoreError):
    """No response arrived, so a write may have taken effect.

    Read the object back to find out.
    """


class InvalidObjectError(FuchsiabarrowError):
    """An object in the store cannot be decoded or used; it is ignored."""


class InstanceError(FuchsiabarrowError):
    """A request to an engine instance failed.

    Attributes:
        instance_id: Instance that the request was sent to.
    """

    def __init__(self, instance_id: str, message: str):
        super().__init__(f"instance {instance_id}: {message}")
        self.instance_id = instance_id


class InstanceUnreachableError(InstanceError):
    """The instance cannot be reached; use another instance."""


class InstanceConnectionLostError(InstanceUnreachableError):
    """The connection was lost while a step was pending on the instance."""


class InstanceTimeoutError(InstanceError):
    """The instance did not answer a step in time or answered incompletely.

    A silent connection is reported only after a new one got no response either.
    The instance is suspected of having failed.
    """


class InstanceRefusedError(InstanceError):
    """The instance refused new work (draining, busy, layers not loaded)."""

    def __init__(self, instance_id: str, reason: str):
        super().__init__(
            instance_id, f"refused the step ({reason}); use another instance"
        )
        self.reason = reason


class CachePositionError(InstanceError):
    """The step does not continue from the position of the KV cache.

    Start a new attempt, which fills the KV caches again.
    """


class ChainUnavailableError(FuchsiabarrowError):
    """The live instances do not cover all layers; retry after a delay."""


class StreamFailedError(FuchsiabarrowError):
    """A stream ended before its response was complete.

    Attributes:
        outcome: Outcome that the API reports to the caller.
        retry_after_s: Delay after which the caller may retry; None if it must
            not retry.
    """

    def __init__(self, message: str, outcome: str, retry_after_s: float | None):
        super().__init__(message)
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class OverloadedError(FuchsiabarrowError):
    """A request was refused for lack of capacity before any work was done.

    Attributes:
        retry_after_s: Delay after which the caller may retry.
    """

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class UpstreamError(FuchsiabarrowError):
    """An upstream could not serve a forwarded request."""


class UpstreamUnreachableError(UpstreamError):
    """No byte of the request was sent, so it did not run."""


class NoHelperError(UpstreamUnreachableError):
    """An upstream was not reached, and no entry could tell whether it is dead.

    No other entry could be asked, or the links of all that were asked may be at
    fault themselves.
    """


class UpstreamResponseLostError(UpstreamError):
    """The response is missing, incomplete or invalid.

    The request may have run.
    """


class UndefinedStatusError(UpstreamResponseLostError):
    """The response has a status that HTTP does not define.

    Attributes:
        status: The status.
    """

    def __init__(self, address: str, status: int):
        super().__init__(
            f"{address}: broken answer (status {status}, not in 200 to 599);"
            " the request may have run"
        )
        self.status = status


class PeerError(FuchsiabarrowError):
    """Another entry did not respond, or refused the message."""


class ServiceError(FuchsiabarrowError):
    """A call to a service that runs actions did not complete."""


class ServiceNotSentError(ServiceError):
    """No byte of the call was sent to the service, so it did not run."""


class ServiceOutcomeUnknownError(ServiceError):
    """The call may have run; query its outcome by the idempotency key."""


class IdempotencyKeyError(FuchsiabarrowError):
    """A key is invalid, from the future or reused with another body."""


class KeyExpiredError(FuchsiabarrowError):
    """An idempotency key is older than the retention time of its record."""
