"""Data directory: corruption, torn writes, full disks, directories of other members."""

import random

import hypothesis
import pytest
import simulation
from hypothesis import strategies as st

from toucanfold import exceptions, files, members, messages, raftlog, storage

MEMBERSHIP = members.Membership([members.Member("a", "1")])


def entry(index, term=1, data=b"command"):
    return messages.Entry(index, term, raftlog.KIND_COMMAND, data)


def snapshot(index, term=1):
    return raftlog.Snapshot(index, term, MEMBERSHIP, b"state")


def open_storage(folder, name="a", fleet="f"):
    return storage.RaftStorage(folder, fleet, name)


def populated_files(count=4):
    """Return fake files with a snapshot and entries after it."""
    folder = simulation.FakeFiles(random.Random(1))
    store = open_storage(folder)
    store.save_vote(3, "b/2")
    store.append([entry(1), entry(2)])
    store.save_snapshot(snapshot(2), 0)
    store.append([entry(3 + at, 2, b"x%d" % at) for at in range(count)])
    return folder


def with_content(folder, name, content):
    copy = simulation.FakeFiles(random.Random(1))
    copy.folder = dict(folder.folder)
    copy.folder[name] = simulation.FakeFile(content)
    return copy


def test_restart_reads_all_stored_state():
    """A restart must keep the id, the vote, the snapshot and the entries."""
    folder = populated_files()
    folder.discard_unsynced()
    store = open_storage(folder)
    assert (store.meta.term, store.meta.vote) == (3, "b/2")
    assert store.meta.member_id == open_storage(folder).meta.member_id
    assert store.snapshot == snapshot(2)
    assert store.entries == [entry(3 + at, 2, b"x%d" % at) for at in range(4)]


def test_damage_at_every_byte_is_detected():
    """A changed byte of a synced file must never be taken for a torn write."""
    folder = populated_files()
    for name, file in folder.folder.items():
        for offset in range(len(file.data)):
            content = bytearray(file.data)
            content[offset] ^= 0xFF
            with pytest.raises(exceptions.CorruptionError) as caught:
                open_storage(with_content(folder, name, bytes(content)))
            assert caught.value.file.endswith(name)
            assert 0 <= caught.value.offset <= offset
            assert "join = yes" in caught.value.remedy


def test_log_truncated_at_every_byte_keeps_complete_records():
    """A torn tail is truncated, and the log continues from there."""
    folder = populated_files()
    name = next(key for key in folder.folder if key.startswith("log-"))
    content = folder.folder[name].data
    size = len(storage.encode_record(entry(3, 2, b"x0")))
    for length in range(len(content) + 1):
        torn = content[:length]
        padded = torn + bytes(2 * storage.SECTOR_BYTES)
        for variant in (torn, padded) if length else (torn,):
            copy = with_content(folder, name, variant)
            store = open_storage(copy)
            # The padding can only complete a record that ends in zeros.
            assert len(store.entries) == length // size
            added = entry(3 + len(store.entries), 5)
            store.append([added])
            assert open_storage(copy).entries == [*store.entries, added]


def test_truncated_earlier_segment_is_corruption():
    """Only the end of the last segment can hold a torn write."""
    folder = populated_files()
    store = open_storage(folder)
    store.save_snapshot(snapshot(4, 2), 10)
    store.append([entry(7, 2)])
    first = min(key for key in folder.folder if key.startswith("log-"))
    short = folder.folder[first].data[:-1]
    with pytest.raises(exceptions.CorruptionError):
        open_storage(with_content(folder, first, short))


@pytest.mark.parametrize("missing", ["meta", "snapshot-", "log-"])
def test_missing_file_is_corruption(missing):
    """A directory that lacks one of its files must not be read as an earlier state."""
    folder = populated_files()
    store = open_storage(folder)
    store.save_snapshot(snapshot(4, 2), 10)
    store.append([entry(7, 2)])
    name = min(key for key in folder.folder if key.startswith(missing))
    del folder.folder[name]
    with pytest.raises(exceptions.CorruptionError):
        open_storage(folder)


@pytest.mark.parametrize("owner", [("b", "f"), ("a", "g")])
def test_directory_of_another_member_or_fleet_is_refused(tmp_path, owner):
    """A wrong data_folder setting must not mix two members."""
    folder = files.LocalFiles(str(tmp_path))
    open_storage(folder)
    with pytest.raises(exceptions.StorageError, match="belongs to"):
        open_storage(folder, *owner)
    with pytest.raises(exceptions.StorageError, match="another process"):
        files.LocalFiles(str(tmp_path))
    folder.close()


def test_full_disk_changes_nothing_and_can_be_retried():
    """After DiskFullError the stored state must be unchanged, and stay usable."""
    folder = populated_files()
    store = open_storage(folder)
    before = open_storage(folder).entries
    folder.is_full = True
    for call in (
        lambda: store.append([entry(7, 2)]),
        lambda: store.save_vote(9, ""),
        lambda: store.save_snapshot(snapshot(4, 2), 0),
    ):
        with pytest.raises(exceptions.DiskFullError):
            call()
    assert store.is_disk_low and store.meta.term == 3
    assert open_storage(folder).entries == before
    folder.is_full = False
    store.append([entry(7, 2)])
    assert open_storage(folder).entries == [*before, entry(7, 2)]


def fill(folder, call, **options):
    """Make a call on a full disk that refuses every kind of write."""
    folder.refuses_all_when_full = folder.is_full = True
    with pytest.raises(exceptions.DiskFullError):
        call()
    folder.is_full = False


@pytest.mark.parametrize("retries", [1, 2])
def test_append_after_a_torn_one_on_a_full_disk_is_readable(retries):
    """Guards against records behind a torn one, which end each later start."""
    folder = populated_files()
    store = open_storage(folder)
    before = open_storage(folder).entries
    for _ in range(retries):
        fill(folder, lambda: store.append([entry(7, 2)]))
    store.append([entry(7, 3)])
    assert open_storage(folder).entries == [*before, entry(7, 3)]


def test_entries_replaced_on_a_full_disk_are_readable():
    """Guards against a log whose truncation was refused halfway."""
    folder = populated_files()
    store = open_storage(folder)
    first, *_ = open_storage(folder).entries[-2:]
    fill(folder, lambda: store.append([entry(first.index, 3)]))
    store.append([entry(first.index, 3)])
    assert open_storage(folder).entries[-1] == entry(first.index, 3)


def test_segment_left_by_a_full_disk_does_not_end_the_next_start():
    """Guards against a log file without entries that a start takes for a gap."""
    folder = populated_files()
    store = open_storage(folder)
    fill(folder, lambda: store._add_segment(store._segments[-1].last + 1))
    first, *_ = open_storage(folder).entries[-2:]
    store.append([entry(first.index, 3)])
    assert open_storage(folder).entries[-1] == entry(first.index, 3)


def test_vote_after_a_rename_that_a_full_disk_refused_is_readable():
    """Guards against a term and vote behind the remains of an earlier one."""
    folder = populated_files()
    store = open_storage(folder)
    rename_now = folder.rename

    def refuse(old, new):
        raise exceptions.DiskFullError("no space", "free some")

    folder.rename = refuse
    with pytest.raises(exceptions.DiskFullError):
        store.save_vote(8, "a")
    folder.rename = rename_now
    store.save_vote(9, "b")
    assert open_storage(folder).meta.term == 9


steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, 30), st.integers(1, 4)),
        st.tuples(st.just("snapshot"), st.integers(0, 6), st.integers(0, 6)),
        st.tuples(st.just("install"), st.integers(1, 5), st.just(0)),
        st.tuples(st.just("vote"), st.integers(1, 9), st.just(0)),
    ),
    max_size=12,
)


class LogModel:
    """Reference model: entries, index and term of a snapshot, and the voting term."""

    def __init__(self):
        self.index, self.term, self.entries, self.vote = 0, 0, [], 0

    @property
    def last(self):
        return self.entries[-1].index if self.entries else self.index


def apply_step(store, model, step, number):
    kind, first, count = step
    if kind == "append":
        first = min(max(first, model.index + 1), model.last + 1)
        added = [entry(first + at, number) for at in range(count)]
        model.entries = [item for item in model.entries if item.index < first] + added
        store.append(added)
    elif kind == "vote":
        model.vote = first
        store.save_vote(first, "")
    elif kind == "install":
        model.index, model.term, model.entries = model.last + first, number, []
        store.install_snapshot(snapshot(model.index, model.term))
    elif model.entries:
        at = min(first, len(model.entries) - 1)
        model.index, model.term = model.entries[at].index, model.entries[at].term
        model.entries = model.entries[at + 1 :]
        store.save_snapshot(snapshot(model.index, model.term), count)


def visible(store):
    after = [item for item in store.entries if item.index > store.snapshot.index]
    return store.snapshot.index, store.snapshot.term, after, store.meta.term


@hypothesis.given(steps, st.integers(0, 40), st.integers(0, 1 << 32))
@hypothesis.settings(max_examples=400)
def test_storage_matches_a_list_model_after_a_crash(plan, crash_in, seed):
    """A crash at any write must leave the state before or after that step."""
    folder = simulation.FakeFiles(random.Random(seed))
    store = open_storage(folder)
    model = LogModel()
    folder.crash_in = crash_in
    for number, step in enumerate(plan, 1):
        before = (model.index, model.term, list(model.entries), model.vote)
        try:
            apply_step(store, model, step, number)
        except simulation.Crash:
            after = (model.index, model.term, model.entries, model.vote)
            folder.discard_unsynced()
            recovered = visible(open_storage(folder))
            if step[0] == "append":
                # Replaced entries may be removed, and only some of the new ones stored.
                kept = [item for item in before[2] if item in after[2]]
                assert recovered[2][: len(kept)] == kept
                assert recovered[2] in (before[2], after[2][: len(recovered[2])]) or (
                    recovered[2] == before[2][: len(recovered[2])]
                )
            else:
                assert recovered in (before, after)
            return
    folder.crash_in = None
    assert visible(open_storage(folder)) == (
        model.index,
        model.term,
        model.entries,
        model.vote,
    )
