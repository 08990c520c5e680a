"""API client that resumes interrupted streams, as applications should."""

import asyncio
import dataclasses

import aiohttp
import msgspec

__all__ = ["Answer", "Caller"]

RESUME_DELAY_S = 0.05
HTTP_OK = 200
MICROSECONDS_PER_S = 1e6


@dataclasses.dataclass(slots=True)
class Answer:
    """The parts of the answer to one request that a caller received.

    Attributes:
        token_texts: Texts of the tokens, in order.
        is_complete: Whether the final ``data: [DONE]`` was received.
        errors: Error events, error responses and connection errors, in order.
        entries: Entries that the request was sent to, in order.
        last_event_id: Id of the last event with a token.
        first_token_s: Time from sending a request to its first data event, in
            seconds, for the first request that received one.
        token_gaps: Histogram of the times between tokens, in microseconds.
        action: Outcome of the action that the complete answer triggered.
    """

    token_texts: list[str] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    errors: list[dict] = dataclasses.field(default_factory=list)
    entries: list[str] = dataclasses.field(default_factory=list)
    last_event_id: str = ""
    first_token_s: float = 0.0
    token_gaps: object = None
    action: dict | None = None


class Caller:
    """Sends requests to entries (router processes) in round-robin order.

    This stands for a load balancer in front of the entries.

    Args:
        session: HTTP session, owned by the user of this class.
        entries: Addresses of the entries; the list may change while in use.
        key: API key, sent as a bearer token.
    """

    def __init__(
        self, session: aiohttp.ClientSession, entries: list[str], key: str
    ):
        self.entries = entries
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}
        self._request_count = 0

    def _get_next_entry(self) -> str:
        self._request_count += 1
        return self.entries[self._request_count % len(self.entries)]

    async def chat(
        self,
        model: str,
        text: str,
        max_tokens: int,
        max_requests: int = 20,
        token_gaps=None,
        action: dict | None = None,
        key: str = "",
    ) -> Answer:
        """Requests a streamed answer and resumes it until it is complete.

        Args:
            model: Name of the pipeline, sent as the model.
            text: Content of the user's message.
            max_tokens: Maximum length of the answer in tokens.
            max_requests: Maximum number of requests sent.
            token_gaps: Histogram that records the times between tokens, in
                microseconds.
            action: Action that the complete answer triggers.
            key: Idempotency key of the action.
        """
        answer = Answer(token_gaps=token_gaps)
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        if action is not None:
            body["action"] = action
        for _ in range(max_requests):
            entry = self._get_next_entry()
            answer.entries.append(entry)
            try:
                await self.read_stream(entry, body, answer, key)
            except aiohttp.ClientError as error:
                answer.errors.append({"detail": type(error).__name__})
            if answer.is_complete:
                break
            await asyncio.sleep(RESUME_DELAY_S)
        return answer

    async def read_stream(
        self, entry: str, body: dict, answer: Answer, key: str = ""
    ):
        """Sends a chat to one entry and adds what it receives to an answer."""
        headers = dict(self._headers)
        if key:
            headers["Idempotency-Key"] = key
        if answer.last_event_id:
            headers["Last-Event-ID"] = answer.last_event_id
        started_s = last_s = asyncio.get_running_loop().time()
        async with self._session.post(
            f"http://{entry}/v1/chat/completions", json=body, headers=headers
        ) as response:
            if response.status != HTTP_OK:
                answer.errors.append(msgspec.json.decode(await response.read()))
                return
            event_id, event = "", ""
            async for raw_line in response.content:
                line = raw_line.decode().rstrip("\n")
                if line.startswith("id: "):
                    event_id = line[4:]
                elif line.startswith("event: "):
                    event = line[7:]
                elif line == "data: [DONE]":
                    answer.is_complete = True
                elif line.startswith("data: "):
                    self._apply_event(answer, event, event_id, line[6:])
                    now_s = asyncio.get_running_loop().time()
                    if not answer.first_token_s:
                        answer.first_token_s = now_s - started_s
                    elif answer.token_gaps is not None:
                        gap_us = MICROSECONDS_PER_S * (now_s - last_s)
                        answer.token_gaps.record_value(max(1, int(gap_us)))
                    last_s = now_s

    def _apply_event(self, answer, event: str, event_id: str, data: str):
        decoded = msgspec.json.decode(data)
        if event == "error":
            answer.errors.append(decoded)
            return
        if event == "action":
            answer.action = decoded
            return
        content = decoded["choices"][0]["delta"].get("content")
        if content is not None:
            answer.token_texts.append(content)
            answer.last_event_id = event_id

    async def call_action(
        self,
        action: str,
        key: str,
        body: dict,
        entry: str | None = None,
        attempt: int = 1,
    ) -> tuple[int, dict]:
        """Sends an action without retries.

        Args:
            action: Name of the action.
            key: Idempotency key.
            body: JSON body.
            entry: Address of the entry; None for the next one in the round
                robin.
            attempt: Number sent as ``Idempotency-Attempt``.

        Returns:
            The HTTP status and the decoded response body.
        """
        headers = {
            **self._headers,
            "Idempotency-Key": key,
            "Idempotency-Attempt": str(attempt),
        }
        url = f"http://{entry or self._get_next_entry()}/v1/actions/{action}"
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def get_action_outcome(
        self, action: str, key: str
    ) -> tuple[int, dict]:
        """Queries the outcome of an action by its idempotency key."""
        url = f"http://{self._get_next_entry()}/v1/actions/{action}/{key}"
        async with self._session.get(url, headers=self._headers) as response:
            return response.status, msgspec.json.decode(await response.read())
