import asyncio

import pytest

from fuchsiabarrow.forwarding import watches
from fuchsiabarrow.utils.tests import virtual_time


def watch(*steps):
    """Plays steps of ("event" or seconds); returns silences and slowness."""

    async def run():
        silences, slow = [], []
        stream = watches.StreamWatch(silences.append, lambda: slow.append(1))
        stream.expect_interval(0.02)
        stream.start()
        for step in steps:
            if step == "event":
                stream.note_events(1)
            else:
                await asyncio.sleep(step)
        stream.stop()
        await asyncio.sleep(5.0)
        return silences, len(slow)

    return virtual_time.run(run())


def test_steady_stream_is_neither_silent_nor_slow():
    assert watch(*["event", 0.02] * 50) == ([], 0)


def test_silence_before_the_first_event_is_borne_longer():
    silences, _ = watch(watches.FIRST_SILENCE_S + 0.01)
    assert silences == [pytest.approx(watches.FIRST_SILENCE_S)]


def test_silence_of_a_quick_stream_is_noticed_soon():
    silences, _ = watch(*["event", 0.02] * 20, "event", 0.3)
    assert silences
    assert silences[0] < 0.2


def test_lasting_silence_is_asked_about_again():
    silences, _ = watch("event", 2.0)
    assert len(silences) > 2


def test_slow_stream_is_reported_once_and_again_when_it_is_twice_as_slow():
    _, slow = watch(*["event", 0.2] * 30)
    assert 1 <= slow <= 3
