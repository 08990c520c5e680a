"""Fault injection for stand-ins, from the same process or over HTTP."""

import aiohttp.web
import msgspec

__all__ = ["Faults", "add_routes"]


class Faults(msgspec.Struct):
    """Faults to inject; a count or delay of 0 turns a fault off.

    Attributes:
        down: Refuse every call (object API, instance list, service).
        delay_s: Delay of each answer in seconds.
        lose_answers: Number of answers to drop after the work is done.
        delay_write_s: Delay in seconds from the loss of the answer to a write
            until the write takes effect.
        silent: Stop answering on connections that are open now.
        swap_answers: Send the answers of a batch in reverse order.
        repeat_answers: Send each answer again with the next batch.
        draining: Refuse steps of new attempts with status ``draining``.
        busy: Refuse steps with status ``busy``.
        refuse_export: Refuse to send KV caches to other engines.
        check_fence: Refuse calls and load orders with an outdated fencing
            token.
        stale_reads: Return the first version of each object to reads.
        die_after_steps: Crash at this step, counted from now; 0 is off.
        die_applies: Whether the step that causes a crash is applied first.
        die_while_filling: Crash at the next step of several positions, which
            is a prefill.
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
    """Adds ``POST /faults``, which sets the faults named in its JSON body."""

    async def set_faults(request: aiohttp.web.Request):
        changes = msgspec.json.decode(await request.read(), type=dict)
        for name, value in changes.items():
            setattr(faults, name, value)
        return aiohttp.web.json_response(msgspec.to_builtins(faults))

    app.router.add_post("/faults", set_faults)
