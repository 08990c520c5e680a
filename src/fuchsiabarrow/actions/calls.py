"""Sends the calls of actions to plain services."""

from collections.abc import Callable
import dataclasses

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.ports import instances
from fuchsiabarrow.ports import services

__all__ = ["ActionRequest", "CallSender", "ChooseInstance"]

HTTP_SUCCESS = range(200, 300)

# Returns an instance of a service; the arguments are the service's name, the
# allowed regions and the ids of instances not to choose.
ChooseInstance = Callable[[str, list[str], set[str]], instances.Instance | None]


@dataclasses.dataclass(frozen=True, slots=True)
class ActionRequest:
    """A request to run an action.

    Attributes:
        action: Configuration of the action.
        key: Validated idempotency key.
        body: JSON body in bytes.
        regions: Regions whose instances may run it; empty for all.
        requested_at_s: Wall time at which the request arrived.
        is_first_attempt: Whether the caller states that it never sent this
            key before.
    """

    action: documents.Action
    key: keys.ActionKey
    body: bytes
    requested_at_s: float
    regions: tuple[str, ...] = ()
    is_first_attempt: bool = False


class CallSender:
    """Sends calls for one entry.

    Args:
        service: Sends a call to an instance.
        choose_instance: Chooses the instance to send a call to.
        sends: Maximum number of times that a call is sent. For services where
            repeated runs do harm, it is sent again only if it certainly did
            not run.
        report: Called with an instance id and whether a connection to the
            instance could be made.
    """

    def __init__(
        self,
        service: services.PlainService,
        choose_instance: ChooseInstance,
        sends: int,
        report: Callable[[str, bool], None] = lambda instance_id, is_up: None,
    ):
        self._service = service
        self._choose_instance = choose_instance
        self._sends = sends
        self._report = report

    async def send_with_retries(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome:
        """Sends a call until it is answered; it may run more than once."""
        avoid: set[str] = set()
        outcome = outcomes.make_not_run("no instance accepted the call")
        for _ in range(self._sends):
            sent = await self._send_once(request, fence, avoid)
            if sent is None:
                break
            if sent.state in journals.FINAL_STATES:
                return sent
            if sent.state is journals.State.UNKNOWN:
                outcome = sent
        return outcome

    async def send_with_safe_retries(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome:
        """Sends a call; sends it again only if it certainly did not run."""
        avoid: set[str] = set()
        for _ in range(self._sends):
            outcome = await self._send_once(request, fence, avoid)
            if outcome is None:
                break
            if outcome.state is not journals.State.NOT_RUN:
                return outcome
        return outcomes.make_not_run("no instance accepted the call")

    async def query_outcome(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome | None:
        """Asks the service for the outcome of a key.

        The service then refuses calls for the key with a smaller fencing token.

        Returns:
            The outcome, or None if the call has not run.
        """
        instance = self._choose_instance(
            request.action.service, list(request.regions), set()
        )
        if instance is None:
            return outcomes.make_unknown(
                "no instance of the service is available to ask for the outcome"
            )
        call = self._make_call(request, instance, fence)
        try:
            answer = await self._service.query_outcome(call)
        except exceptions.ServiceError as error:
            return outcomes.make_unknown(str(error))
        if answer is None:
            return None
        return outcomes.Outcome(
            journals.State.COMPLETED, answer.status, answer.body
        )

    async def _send_once(
        self, request: ActionRequest, fence: int, avoid: set[str]
    ) -> outcomes.Outcome | None:
        """Sends a call to one instance; None if no instance is available."""
        action = request.action
        instance = self._choose_instance(
            action.service, list(request.regions), avoid
        )
        if instance is None:
            return None
        call = self._make_call(request, instance, fence)
        try:
            answer = await self._service.call(call)
        except exceptions.ServiceNotSentError as error:
            self._report(instance.instance_id, False)
            avoid.add(instance.instance_id)
            return outcomes.make_not_run(str(error))
        except exceptions.ServiceOutcomeUnknownError as error:
            return outcomes.make_unknown(str(error))
        self._report(instance.instance_id, True)
        if answer.did_not_run:
            avoid.add(instance.instance_id)
            return outcomes.make_not_run(
                "the service reported that it did not run the call"
            )
        is_success = answer.status in HTTP_SUCCESS
        state = (
            journals.State.COMPLETED if is_success else journals.State.FAILED
        )
        return outcomes.Outcome(state, answer.status, answer.body)

    def _make_call(
        self, request: ActionRequest, instance: instances.Instance, fence: int
    ) -> services.Call:
        # The key sent to the service is the digest, as two organisations may
        # send the same key text and a service that stores keys must not
        # confuse their calls.
        return services.Call(
            instance.address,
            request.action.path,
            request.key.digest,
            fence,
            request.body,
            request.action.timeout_s,
        )
