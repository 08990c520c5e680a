"""Keys determine their journal, and expired keys are always refused."""

import asyncio
import random
import uuid

import pytest
import uuid6

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import retention
from fuchsiabarrow.actions import writers
from fuchsiabarrow.actions.tests import fakes

SETTINGS = keys.Settings()
NOW_S = 1_800_000_000.0


def make_text(issued_at_s: float) -> str:
    value = int(issued_at_s * 1000) << 80 | 7 << 76 | 2 << 62 | 12345
    return str(uuid.UUID(int=value))


def parse(text, now_s=NOW_S, organisation="o", action="a"):
    return keys.parse_key(text, organisation, action, now_s, SETTINGS)


@pytest.mark.parametrize(
    "text",
    ["", "x", str(uuid.uuid4()), "1" * 36],
    ids=["empty", "word", "uuid4", "digits"],
)
def test_key_that_is_not_a_uuid7_is_refused(text):
    with pytest.raises(exceptions.IdempotencyKeyError, match="UUIDv7"):
        parse(text)


def test_key_made_by_uuid6_library_is_accepted():
    text = str(uuid6.uuid7())
    now_s = (uuid.UUID(text).int >> 80) / 1000
    assert parse(text.upper(), now_s).text == text


def test_key_older_than_the_retention_is_refused():
    assert parse(make_text(NOW_S - SETTINGS.retention_s + 1))
    with pytest.raises(exceptions.KeyExpiredError):
        parse(make_text(NOW_S - SETTINGS.retention_s - 1))


def test_key_with_a_timestamp_in_the_future_is_refused():
    assert parse(make_text(NOW_S + SETTINGS.skew_s - 1))
    with pytest.raises(exceptions.IdempotencyKeyError, match="clock"):
        parse(make_text(NOW_S + SETTINGS.skew_s + 1))


def test_key_depends_on_text_organisation_and_action_but_not_on_time():
    text = make_text(NOW_S - 100)
    first, later = parse(text), parse(text, NOW_S + 5000)
    assert first == later
    others = [
        parse(text, organisation="p"),
        parse(text, action="b"),
        parse(make_text(NOW_S - 99)),
    ]
    assert len({first.digest, *(key.digest for key in others)}) == 4


@pytest.mark.parametrize("age_s", [0.0, 1.0, 29.9, 31.0, 86399.0])
def test_journal_of_an_accepted_key_is_not_expired(age_s):
    key = parse(make_text(NOW_S - age_s))
    bucket = int(key.journal.split("-")[0])
    assert bucket > keys.find_expired_bucket(NOW_S, SETTINGS)


def test_deletion_of_expired_journals_is_retried_after_an_outage():
    class Store(fakes.FakeStore):
        async def delete(self, kind, name):
            if self.is_down:
                raise exceptions.StoreUnavailableError("store is down; retry")
            self.objects.pop((kind, name), None)

    async def check():
        store = Store(random.Random(1))
        clock = [NOW_S]
        sweeper = retention.JournalSweeper(
            store,
            lambda name: True,
            SETTINGS,
            random.Random(1),
            lambda: clock[0],
        )
        key = parse(make_text(NOW_S - 50))
        object_id = (writers.JOURNAL_KIND, key.journal)
        store.objects[object_id] = "journal"
        await sweeper.sweep()
        assert object_id in store.objects
        clock[0] += SETTINGS.retention_s + SETTINGS.skew_s + 100
        store.is_down = True
        await sweeper.sweep()
        assert object_id in store.objects
        store.is_down = False
        await sweeper.sweep()
        assert object_id not in store.objects

    asyncio.run(check())
