"""Exception tree of the package.

Every message says what happened and names the remedy.
"""

__all__ = [
    "ChainUnavailableError",
    "ConfigurationError",
    "FuchsiabarrowError",
    "InstanceDiedError",
    "InstanceError",
    "InstanceRefusedError",
    "InstanceSilentError",
    "InstanceUnreachableError",
    "InvalidObjectError",
    "KeyFormatError",
    "KeyExpiredError",
    "OverloadedError",
    "PeerError",
    "ServiceError",
    "ServiceNotSentError",
    "ServiceUncertainError",
    "SettingsError",
    "StepRefusedError",
    "StoreConflictError",
    "StoreError",
    "StoreHistoryError",
    "StoreUnavailableError",
    "StoreUncertainError",
    "StreamFailedError",
    "UpstreamError",
    "UpstreamLostError",
    "UpstreamUnreachableError",
    "VersionMismatchError",
]


class FuchsiabarrowError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(FuchsiabarrowError):
    """A settings file is invalid; the message names file, key and remedy."""


class ConfigurationError(FuchsiabarrowError):
    """A configuration document is invalid; the message names the key."""


class VersionMismatchError(FuchsiabarrowError):
    """A patch was written against another version than the one in force.

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
    """The object API did not carry out a call."""


class StoreConflictError(StoreError):
    """A conditional write named a version that is not the current one."""


class StoreHistoryError(StoreError):
    """The store forgot the changes since a revision; list again."""


class StoreUnavailableError(StoreError):
    """The call certainly had no effect; retry it after a delay."""


class StoreUncertainError(StoreError):
    """The answer was lost; read the object back to learn the effect."""


class InvalidObjectError(FuchsiabarrowError):
    """An object of another writer cannot be used; it is left out."""


class InstanceError(FuchsiabarrowError):
    """A step on an engine instance failed.

    Attributes:
        instance_id: The instance that the step was sent to.
    """

    def __init__(self, instance_id: str, message: str):
        super().__init__(f"instance {instance_id}: {message}")
        self.instance_id = instance_id


class InstanceUnreachableError(InstanceError):
    """The connection was refused or reset; another instance is needed."""


class InstanceDiedError(InstanceUnreachableError):
    """The connection was lost while the instance had a step to run."""


class InstanceSilentError(InstanceError):
    """A new connection made no progress either; the instance is suspect."""


class InstanceRefusedError(InstanceError):
    """The instance refuses new work (draining, busy, layers not held)."""

    def __init__(self, instance_id: str, reason: str):
        super().__init__(
            instance_id, f"refused the step ({reason}); use another instance"
        )
        self.reason = reason


class StepRefusedError(InstanceError):
    """The KV cache is at another position; start a new attempt."""


class ChainUnavailableError(FuchsiabarrowError):
    """No chain of live instances covers all layers; retry after a delay."""


class StreamFailedError(FuchsiabarrowError):
    """A stream ended without its whole answer.

    Attributes:
        outcome: One of the outcome words of the API.
        retry_after_s: When the caller may try again, None for never.
    """

    def __init__(self, message: str, outcome: str, retry_after_s: float | None):
        super().__init__(message)
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class OverloadedError(FuchsiabarrowError):
    """A request was refused before any work was done.

    Attributes:
        retry_after_s: When the caller may try again.
    """

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class UpstreamError(FuchsiabarrowError):
    """A whole request could not be served by an upstream."""


class UpstreamUnreachableError(UpstreamError):
    """No byte of the request left; it did not run."""


class UpstreamLostError(UpstreamError):
    """The answer was lost or cut short; the request may have run."""


class PeerError(FuchsiabarrowError):
    """Another entry did not answer."""


class ServiceError(FuchsiabarrowError):
    """A call to a plain service did not complete."""


class ServiceNotSentError(ServiceError):
    """No byte of the call reached the service; it did not run."""


class ServiceUncertainError(ServiceError):
    """The call may have run; ask for its outcome by its key."""


class KeyFormatError(FuchsiabarrowError):
    """An idempotency key is not a UUIDv7."""


class KeyExpiredError(FuchsiabarrowError):
    """An idempotency key is older than the retention of its record."""
