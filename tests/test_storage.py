"""Data folder: damage, torn writes, full disks and foreign folders."""

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


def opened(folder, name="a", fleet="f"):
    return storage.RaftStorage(folder, fleet, name)


def filled(count=4):
    """Return fake files with a snapshot and entries after it."""
    folder = simulation.FakeFiles(random.Random(1))
    store = opened(folder)
    store.save_vote(3, "b/2")
    store.append([entry(1), entry(2)])
    store.save_snapshot(snapshot(2), 0)
    store.append([entry(3 + at, 2, b"x%d" % at) for at in range(count)])
    return folder


def damaged(folder, name, content):
    copy = simulation.FakeFiles(random.Random(1))
    copy.folder = dict(folder.folder)
    copy.folder[name] = simulation.FakeFile(content)
    return copy


def test_everything_stored_is_read_again():
    """A restart must keep the id, the vote, the snapshot and the entries."""
    folder = filled()
    folder.lose_unsynced()
    store = opened(folder)
    assert (store.meta.term, store.meta.vote) == (3, "b/2")
    assert store.meta.member_id == opened(folder).meta.member_id
    assert store.snapshot == snapshot(2)
    assert store.entries == [entry(3 + at, 2, b"x%d" % at) for at in range(4)]


def test_damage_at_every_byte_is_found():
    """A changed byte of a synced file must never be taken for a torn write."""
    folder = filled()
    for name, file in folder.folder.items():
        for offset in range(len(file.data)):
            content = bytearray(file.data)
            content[offset] ^= 0xFF
            with pytest.raises(exceptions.CorruptionError) as caught:
                opened(damaged(folder, name, bytes(content)))
            assert caught.value.file.endswith(name)
            assert 0 <= caught.value.offset <= offset
            assert "join = yes" in caught.value.remedy


def test_log_cut_at_every_byte_keeps_whole_records():
    """A torn tail is cut, and the log goes on from there."""
    folder = filled()
    name = next(key for key in folder.folder if key.startswith("log-"))
    content = folder.folder[name].data
    size = len(storage.encode_record(entry(3, 2, b"x0")))
    for length in range(len(content) + 1):
        torn = content[:length]
        padded = torn + bytes(2 * storage.SECTOR_BYTES)
        for variant in (torn, padded) if length else (torn,):
            copy = damaged(folder, name, variant)
            store = opened(copy)
            # The padding can only complete a record that ends in zeros.
            assert len(store.entries) == length // size
            added = entry(3 + len(store.entries), 5)
            store.append([added])
            assert opened(copy).entries == [*store.entries, added]


def test_cut_in_an_earlier_segment_is_damage():
    """Only the end of the log can be torn."""
    folder = filled()
    store = opened(folder)
    store.save_snapshot(snapshot(4, 2), 10)
    store.append([entry(7, 2)])
    first = min(key for key in folder.folder if key.startswith("log-"))
    short = folder.folder[first].data[:-1]
    with pytest.raises(exceptions.CorruptionError):
        opened(damaged(folder, first, short))


@pytest.mark.parametrize("missing", ["meta", "snapshot-", "log-"])
def test_missing_file_is_damage(missing):
    """A folder without one of its files must not pass for a younger one."""
    folder = filled()
    store = opened(folder)
    store.save_snapshot(snapshot(4, 2), 10)
    store.append([entry(7, 2)])
    name = min(key for key in folder.folder if key.startswith(missing))
    del folder.folder[name]
    with pytest.raises(exceptions.CorruptionError):
        opened(folder)


@pytest.mark.parametrize("owner", [("b", "f"), ("a", "g")])
def test_folder_of_another_member_or_fleet_is_refused(tmp_path, owner):
    """A wrong data_folder setting must not mix two members."""
    folder = files.LocalFiles(str(tmp_path))
    opened(folder)
    with pytest.raises(exceptions.StorageError, match="belongs to"):
        opened(folder, *owner)
    with pytest.raises(exceptions.StorageError, match="another process"):
        files.LocalFiles(str(tmp_path))
    folder.close()


def test_full_disk_changes_nothing_and_can_be_retried():
    """After DiskFullError the stored state must be the old one, and stay usable."""
    folder = filled()
    store = opened(folder)
    before = opened(folder).entries
    folder.is_full = True
    for call in (
        lambda: store.append([entry(7, 2)]),
        lambda: store.save_vote(9, ""),
        lambda: store.save_snapshot(snapshot(4, 2), 0),
    ):
        with pytest.raises(exceptions.DiskFullError):
            call()
    assert store.is_disk_low and store.meta.term == 3
    assert opened(folder).entries == before
    folder.is_full = False
    store.append([entry(7, 2)])
    assert opened(folder).entries == [*before, entry(7, 2)]


steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, 30), st.integers(1, 4)),
        st.tuples(st.just("snapshot"), st.integers(0, 6), st.integers(0, 6)),
        st.tuples(st.just("install"), st.integers(1, 5), st.just(0)),
        st.tuples(st.just("vote"), st.integers(1, 9), st.just(0)),
    ),
    max_size=12,
)


class PlainLog:
    """The naive version: a list of entries, a snapshot and a term."""

    def __init__(self):
        self.index, self.term, self.entries, self.vote = 0, 0, [], 0

    @property
    def last(self):
        return self.entries[-1].index if self.entries else self.index


def apply_step(store, plain, step, number):
    kind, first, count = step
    if kind == "append":
        first = min(max(first, plain.index + 1), plain.last + 1)
        added = [entry(first + at, number) for at in range(count)]
        plain.entries = [item for item in plain.entries if item.index < first] + added
        store.append(added)
    elif kind == "vote":
        plain.vote = first
        store.save_vote(first, "")
    elif kind == "install":
        plain.index, plain.term, plain.entries = plain.last + first, number, []
        store.install_snapshot(snapshot(plain.index, plain.term))
    elif plain.entries:
        at = min(first, len(plain.entries) - 1)
        plain.index, plain.term = plain.entries[at].index, plain.entries[at].term
        plain.entries = plain.entries[at + 1 :]
        store.save_snapshot(snapshot(plain.index, plain.term), count)


def visible(store):
    after = [item for item in store.entries if item.index > store.snapshot.index]
    return store.snapshot.index, store.snapshot.term, after, store.meta.term


@hypothesis.given(steps, st.integers(0, 40), st.integers(0, 1 << 32))
@hypothesis.settings(max_examples=400)
def test_storage_matches_a_plain_list_over_crashes(plan, crash_in, seed):
    """A crash at any write must leave the state before or after that step."""
    folder = simulation.FakeFiles(random.Random(seed))
    store = opened(folder)
    plain = PlainLog()
    folder.crash_in = crash_in
    for number, step in enumerate(plan, 1):
        before = (plain.index, plain.term, list(plain.entries), plain.vote)
        try:
            apply_step(store, plain, step, number)
        except simulation.Crash:
            after = (plain.index, plain.term, plain.entries, plain.vote)
            folder.lose_unsynced()
            found = visible(opened(folder))
            if step[0] == "append":
                # Replaced entries may be gone, and new ones stored in part.
                kept = [item for item in before[2] if item in after[2]]
                assert found[2][: len(kept)] == kept
                assert found[2] in (before[2], after[2][: len(found[2])]) or (
                    found[2] == before[2][: len(found[2])]
                )
            else:
                assert found in (before, after)
            return
    folder.crash_in = None
    assert visible(opened(folder)) == (
        plain.index,
        plain.term,
        plain.entries,
        plain.vote,
    )
