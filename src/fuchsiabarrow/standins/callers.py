"""A caller that resumes streams and resends actions, as apps are told to."""

import asyncio
import dataclasses

import aiohttp
import msgspec

__all__ = ["Answer", "Caller"]

RESEND_DELAY_S = 0.05
HTTP_OK = 200
MICROSECONDS_PER_S = 1e6


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller received for one request.

    Attributes:
        pieces: Texts of the tokens, in order.
        is_whole: True only after the end marker.
        errors: Error events and refusals met on the way.
        entries: Entries that served it, in order.
        last_id: Id of the last event received.
        first_piece_s: Time to the first token in seconds.
        gaps: Histogram of the times between tokens, in microseconds.
        action: Outcome of the action that the answer triggered.
    """

    pieces: list[str] = dataclasses.field(default_factory=list)
    is_whole: bool = False
    errors: list[dict] = dataclasses.field(default_factory=list)
    entries: list[str] = dataclasses.field(default_factory=list)
    last_id: str = ""
    first_piece_s: float = 0.0
    gaps: object = None
    action: dict | None = None


class Caller:
    """Sends requests to entries in turn, as behind a balancer.

    Args:
        session: HTTP session, owned by the caller of this class.
        entries: Addresses of the entries; may be changed while in use.
        key: Bearer key.
    """

    def __init__(
        self, session: aiohttp.ClientSession, entries: list[str], key: str
    ):
        self.entries = entries
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}
        self._turn = 0

    def _take_entry(self) -> str:
        self._turn += 1
        return self.entries[self._turn % len(self.entries)]

    async def chat(
        self,
        model: str,
        text: str,
        max_tokens: int,
        tries: int = 20,
        gaps=None,
        action: dict | None = None,
        key: str = "",
    ) -> Answer:
        """Asks for a streamed answer and resumes it until it is whole.

        Args:
            model: Pipeline to ask for.
            text: Content of the user's message.
            max_tokens: Largest answer in tokens.
            tries: Most requests sent.
            gaps: Histogram that takes the times between tokens, in
                microseconds.
            action: Action that the whole answer triggers.
            key: Idempotency key of the action.
        """
        answer = Answer(gaps=gaps)
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        if action is not None:
            body["action"] = action
        for _ in range(tries):
            entry = self._take_entry()
            answer.entries.append(entry)
            try:
                await self._read_stream(entry, body, answer, key)
            except aiohttp.ClientError as error:
                answer.errors.append({"detail": type(error).__name__})
            if answer.is_whole:
                break
            await asyncio.sleep(RESEND_DELAY_S)
        return answer

    async def _read_stream(
        self, entry: str, body: dict, answer: Answer, key: str = ""
    ):
        headers = dict(self._headers)
        if key:
            headers["Idempotency-Key"] = key
        if answer.last_id:
            headers["Last-Event-ID"] = answer.last_id
        started_s = last_s = asyncio.get_running_loop().time()
        async with self._session.post(
            f"http://{entry}/v1/chat/completions", json=body, headers=headers
        ) as response:
            if response.status != HTTP_OK:
                answer.errors.append(msgspec.json.decode(await response.read()))
                return
            event_id, event = "", ""
            async for raw in response.content:
                line = raw.decode().rstrip("\n")
                if line.startswith("id: "):
                    event_id = line[4:]
                elif line.startswith("event: "):
                    event = line[7:]
                elif line == "data: [DONE]":
                    answer.is_whole = True
                elif line.startswith("data: "):
                    self._take_data(answer, event, event_id, line[6:])
                    now_s = asyncio.get_running_loop().time()
                    if not answer.first_piece_s:
                        answer.first_piece_s = now_s - started_s
                    elif answer.gaps is not None:
                        gap_us = MICROSECONDS_PER_S * (now_s - last_s)
                        answer.gaps.record_value(max(1, int(gap_us)))
                    last_s = now_s

    def _take_data(self, answer, event: str, event_id: str, data: str):
        found = msgspec.json.decode(data)
        if event == "error":
            answer.errors.append(found)
            return
        if event == "action":
            answer.action = found
            return
        content = found["choices"][0]["delta"].get("content")
        if content is not None:
            answer.pieces.append(content)
            answer.last_id = event_id

    async def act(
        self,
        action: str,
        key: str,
        body: dict,
        entry: str | None = None,
        attempt: int = 1,
    ) -> tuple[int, dict]:
        """Sends an action once and returns its status and decoded answer."""
        headers = {
            **self._headers,
            "Idempotency-Key": key,
            "Idempotency-Attempt": str(attempt),
        }
        url = f"http://{entry or self._take_entry()}/v1/actions/{action}"
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def ask(self, action: str, key: str) -> tuple[int, dict]:
        """Asks for the outcome of an action by its key."""
        url = f"http://{self._take_entry()}/v1/actions/{action}/{key}"
        async with self._session.get(url, headers=self._headers) as response:
            return response.status, msgspec.json.decode(await response.read())
