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

# Chooses an instance of (service, regions, avoided instance ids).
ChooseInstance = Callable[[str, list[str], set[str]], instances.Instance | None]


@dataclasses.dataclass(frozen=True, slots=True)
class ActionRequest:
    """A request to run an action.

    Attributes:
        action: Configuration of the action.
        key: Checked idempotency key.
        body: JSON body in bytes.
        regions: Regions whose instances may run it; empty for all.
        requested_at_s: Wall time at which it came in.
        is_first: True only if the caller says that it never sent this key.
    """

    action: documents.Action
    key: keys.ActionKey
    body: bytes
    requested_at_s: float
    regions: tuple[str, ...] = ()
    is_first: bool = False


class CallSender:
    """Sends calls for one entry.

    Args:
        service: Sends a call to an instance.
        choose_instance: Chooses where to send.
        sends: Most sends of one call to services where repeats do no harm, and
            most instances tried where no byte had left.
        report: Called with an instance id and whether it took a connection.
    """

    def __init__(
        self,
        service: services.PlainService,
        choose_instance: ChooseInstance,
        sends: int,
        report: Callable[[str, bool], None] = lambda instance_id, took: None,
    ):
        self._service = service
        self._choose_instance = choose_instance
        self._sends = sends
        self._report = report

    async def send_repeatedly(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome:
        """Sends until an answer comes, where repeats do no harm."""
        avoid: set[str] = set()
        outcome = outcomes.make_not_run("no instance took the call")
        for _ in range(self._sends):
            sent = await self._send_once(request, fence, avoid)
            if sent is None:
                break
            if sent.state in journals.FINAL_STATES:
                return sent
            if sent.state is journals.State.UNKNOWN:
                outcome = sent
        return outcome

    async def send_to_any(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome:
        """Sends a call until one instance may have run it."""
        avoid: set[str] = set()
        for _ in range(self._sends):
            outcome = await self._send_once(request, fence, avoid)
            if outcome is None:
                break
            if outcome.state is not journals.State.NOT_RUN:
                return outcome
        return outcomes.make_not_run("no instance took the call")

    async def ask(
        self, request: ActionRequest, fence: int
    ) -> outcomes.Outcome | None:
        """Asks the service what became of a key, fencing off older senders."""
        instance = self._choose_instance(
            request.action.service, list(request.regions), set()
        )
        if instance is None:
            return outcomes.make_unknown("no instance to ask")
        call = self._make_call(request, instance, fence)
        try:
            answer = await self._service.ask(call)
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
        """Sends a call to one instance; None if there is none left."""
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
        except exceptions.ServiceUncertainError as error:
            return outcomes.make_unknown(str(error))
        self._report(instance.instance_id, True)
        if answer.did_not_run:
            avoid.add(instance.instance_id)
            return outcomes.make_not_run("the service refused the call")
        is_success = answer.status in HTTP_SUCCESS
        state = (
            journals.State.COMPLETED if is_success else journals.State.FAILED
        )
        return outcomes.Outcome(state, answer.status, answer.body)

    def _make_call(
        self, request: ActionRequest, instance: instances.Instance, fence: int
    ) -> services.Call:
        # The digest, not the text: a service that keeps keys must not take two
        # organisations that sent the same text for one.
        return services.Call(
            instance.address,
            request.action.path,
            request.key.digest,
            fence,
            request.body,
            request.action.timeout_s,
        )
