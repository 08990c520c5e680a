"""Faults that tests switch on in a stand-in, also over HTTP."""

import aiohttp.web
import msgspec

__all__ = ["Faults", "add_routes"]


class Faults(msgspec.Struct):
    """Switches; a count of 0 or a delay of 0 is off.

    Attributes:
        down: Refuse every call (object API, list, service).
        delay_s: Delay of each answer in seconds.
        lose_answers: How many answers to drop after the effect.
        delay_write_s: Carry out a write this many seconds after its answer
            was dropped.
        silent: Stop answering on connections that are open now.
        swap_answers: Send the answers of a batch in reverse order.
        repeat_answers: Send each answer again with the next batch.
        draining: Refuse new work with a drain answer.
        busy: Refuse steps with a busy answer.
        refuse_export: Give no KV cache to other engines.
        check_fence: Refuse calls with an old fencing number.
        stale_reads: Answer reads from the first version of each object.
        die_after_steps: Die after this many more steps; 0 is off.
        die_applies: Whether the last step is applied before the death.
        die_while_filling: Die at the first step of more than one position.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    delay_write_s: float = 0.0
    silent: bool = False
    swap_answers: bool = False
    repeat_answers: bool = False
    draining: bool = False
    busy: bool = False
    refuse_export: bool = False
    check_fence: bool = False
    stale_reads: bool = False
    die_after_steps: int = 0
    die_applies: bool = False
    die_while_filling: bool = False


def add_routes(app: aiohttp.web.Application, faults: Faults) -> None:
    """Adds ``POST /faults``, which sets the switches named in its body."""

    async def set_faults(request: aiohttp.web.Request):
        changes = msgspec.json.decode(await request.read(), type=dict)
        for name, value in changes.items():
            setattr(faults, name, value)
        return aiohttp.web.json_response(msgspec.to_builtins(faults))

    app.router.add_post("/faults", set_faults)
