import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_outcomes import START, recorded_call, uuid7

from toucanfold import calls, model, outcomes, records

RETENTION_S = records.RETENTION_S


def owner_table(gap=False, store=None):
    state = model.FleetState()
    state.slots["s", 0] = model.Slot("s", 0, 2, "a", 1, gap=gap)
    table = outcomes.RecordTable("a", 1, store)
    table.on_state(0.0, START, state)
    return table


def begin(table, key, now=0.0):
    request = recorded_call(key, epoch=2)
    return table.begin(now, START + now, request, outcomes.digest_of(request))


def kind(decision):
    return decision.answer and decision.answer.refusal.kind


@pytest.mark.parametrize(
    ("ahead", "runs"), [(-5.0, False), (0.0, False), (4.9, False), (5.1, True)]
)
def test_gap_blocks_keys_that_may_be_older(ahead, runs):
    """Guards against a second execution of a call after both its records were lost.

    A former owner may run calls for 3 s; a timestamp may be 1 s ahead of the entry's
    clock, and that 1 s ahead of the owner's.
    """
    table = owner_table(gap=True)
    decision = begin(table, uuid7(START + ahead, 1), 5.0)
    assert (decision.step is outcomes.Step.RUN) == runs
    assert runs or kind(decision) is calls.RefusalKind.OUTCOME_UNKNOWN


def test_gap_ends_after_the_retention():
    table = owner_table(gap=True)
    assert kind(begin(table, "plain", RETENTION_S)) is calls.RefusalKind.OUTCOME_UNKNOWN
    assert begin(table, "plain", RETENTION_S + 301).step is outcomes.Step.RUN


def test_keys_outside_the_retention_are_refused():
    """Guards against a key that is reused after its record expired."""
    table = owner_table()
    old = begin(table, uuid7(START - RETENTION_S - 1, 1))
    assert kind(old) is calls.RefusalKind.OUTCOME_UNKNOWN
    assert kind(begin(table, uuid7(START + 2, 2))) is calls.RefusalKind.BAD_REQUEST


def test_key_timestamps():
    assert records.key_timestamp("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") == 1645557742.0
    assert records.key_timestamp(str(uuid.uuid4())) is None
    assert records.key_timestamp("booking 7") is None


def test_evicted_content_is_answered_as_ran():
    """Guards against an empty body in place of evicted content."""
    table = owner_table(store=records.RecordStore(max_content_bytes=100))
    for key in ("k1", "k2"):
        record = begin(table, key).record
        table.finish(0.0, record, calls.Answer(status=201, body=b"x" * 80))
    answer = begin(table, "k1").answer
    assert answer.refusal is not None and answer.outcome is calls.Outcome.RAN
    assert begin(table, "k2").answer.body == b"x" * 80


def test_full_store_refuses_without_evicting():
    table = owner_table(store=records.RecordStore(max_records=2))
    for key in ("k1", "k2"):
        assert begin(table, key).step is outcomes.Step.RUN
    assert kind(begin(table, "k3")) is calls.RefusalKind.OVERLOADED
    assert begin(table, "k1").step is outcomes.Step.AWAIT_RUNNING


class ReferenceStore:
    """Reference model: one list of records, whose size is recomputed each time."""

    def __init__(self, limit):
        self.limit = limit
        self.kept = []

    def set_outcome(self, record, size, expires_at):
        self.kept = [item for item in self.kept if item[0] != record]
        self.kept.append([record, size, expires_at])
        while sum(item[1] for item in self.kept) > self.limit:
            next(item for item in self.kept if item[1])[1] = 0

    def expire(self, now):
        self.kept = [item for item in self.kept if item[2] > now]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.integers(0, 60), st.sampled_from([0, 60, 2000])
        ),
        max_size=60,
    )
)
def test_store_matches_naive_store(steps):
    """Guards against wrong content sizes, and records kept too short or too long."""
    store, naive, now = (
        records.RecordStore(max_content_bytes=100),
        ReferenceStore(100),
        0.0,
    )
    for number, size, wait in steps:
        now += wait
        store.expire(now)
        naive.expire(now - records.BUCKET_S)
        key = ("acc", str(number))
        existing = store.find(("s", 0), key)
        if existing is not None:
            assert any(item[0] == key for item in naive.kept)
            store.remove(existing)
        naive.kept = [item for item in naive.kept if item[0] != key]
        record = records.Record(("s", 0), key, b"", 1, 1)
        store.put(now, record)
        store.set_outcome(record, now, records.State.FINISHED, 200, (b"", b"x" * size))
        naive.set_outcome(key, size, record.expires_at)
        sizes = {item.key: len(item.body) for item in store.of_slot(("s", 0))}
        expected_sizes = {item[0]: item[1] for item in naive.kept}
        assert store.content_bytes == sum(sizes.values()) <= 100
        assert store.count == len(sizes)
        for item in naive.kept:
            if item[2] > now:
                assert sizes[item[0]] == expected_sizes[item[0]]
