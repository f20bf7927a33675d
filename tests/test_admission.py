import collections
import math

import hypothesis
from hypothesis import stateful, strategies

from toucanfold import admission, calls

DEADLINE_EXCEEDED, OVERLOADED = (
    calls.RefusalKind.DEADLINE_EXCEEDED,
    calls.RefusalKind.OVERLOADED,
)
LENGTH, TIME_S, SERVICE_S = 8, 0.5, 0.02


def queued_call(
    call_id, now, account="a", weight=1.0, rank=1, depth=0, priority=0, remaining_s=9.0
):
    return admission.QueuedCall(
        call_id, account, weight, rank, depth, 0.0, priority, now + remaining_s, now,
        SERVICE_S,
    )  # fmt: skip


class ReferenceQueue:
    """Reference model that searches all queued calls for each decision."""

    def __init__(self):
        self.queued_calls = []
        self.virtual_time = collections.defaultdict(float)
        self.virtual_starts = collections.defaultdict(float)

    @staticmethod
    def band(item):
        return item.rank, item.depth == 0

    def start(self, item):
        return self.virtual_starts[self.band(item), item.account]

    def add(self, item):
        band = self.band(item)
        if not any(
            self.band(t) == band and t.account == item.account
            for t in self.queued_calls
        ):
            key = band, item.account
            self.virtual_starts[key] = max(
                self.virtual_time[band], self.virtual_starts[key]
            )
        self.queued_calls.append(item)

    def refuse_expired(self, now):
        late = [t for t in self.queued_calls if now + SERVICE_S > t.deadline]
        old = [t for t in self.queued_calls if t.rank and now - t.enqueued_at > TIME_S]
        refused = [(t, DEADLINE_EXCEEDED) for t in late]
        refused += [(t, OVERLOADED) for t in old if t not in late]
        self.queued_calls = [
            t for t in self.queued_calls if t not in late and t not in old
        ]
        return refused

    def victims(self, has_standing_delay):
        """Return the calls that may be refused when the queue is full."""
        band = max(self.band(t) for t in self.queued_calls)
        queued = [t for t in self.queued_calls if self.band(t) == band]
        counts = collections.Counter(t.account for t in queued)
        most = max(counts[t.account] / t.weight for t in queued)
        flows = [t for t in queued if counts[t.account] / t.weight == most]
        candidates = [
            [t for t in flows if t.account == name][0 if has_standing_delay else -1]
            for name in {t.account for t in flows}
        ]
        return candidates

    def take(self, has_standing_delay):
        band = min(self.band(t) for t in self.queued_calls)
        queued = [t for t in self.queued_calls if self.band(t) == band]
        first = min(self.start(t) for t in queued)
        return [
            [t for t in queued if t.account == name][-1 if has_standing_delay else 0]
            for name in {t.account for t in queued if self.start(t) == first}
        ]

    def charge(self, item):
        band = self.band(item)
        self.queued_calls.remove(item)
        self.virtual_time[band] = max(self.virtual_time[band], self.start(item))
        self.virtual_starts[band, item.account] += 1 / item.weight


class QueueMachine(stateful.RuleBasedStateMachine):
    """Guards against calls lost, dequeued twice, too late or out of order."""

    def __init__(self):
        super().__init__()
        self.now, self.number = 0.0, 0
        self.queue = admission.FairQueue(LENGTH, TIME_S)
        self.queue.dequeue(0.0, SERVICE_S)
        self.naive = ReferenceQueue()
        self.open, self.closed = set(), set()

    def _close_call(self, item):
        assert item.call_id in self.open
        self.open.discard(item.call_id)
        self.closed.add(item.call_id)

    def _expect(self, refused, expected):
        for item, _ in refused:
            self._close_call(item)
        pairs = {(item.call_id, kind) for item, kind in refused}
        assert pairs == {(item.call_id, kind) for item, kind in expected}

    @stateful.rule(
        seconds=strategies.sampled_from([0.0, 0.004, 0.03, 0.1, 0.3]),
        window=strategies.booleans(),
    )
    def advance(self, seconds, window):
        self.now += seconds
        if window:
            level = self.queue.on_window(self.now)
            assert calls.PRIORITY_LEVELS - 1 <= level <= calls.MAX_LEVEL

    @stateful.rule(
        account=strategies.sampled_from("abc"),
        rank=strategies.integers(0, 3),
        depth=strategies.integers(0, 1),
        priority=strategies.sampled_from([0, 60, 127]),
        remaining_s=strategies.sampled_from([0.01, 0.1, 2.0]),
        wait=strategies.sampled_from([0.0, 0.0, 0.05, 0.6]),
        count=strategies.integers(1, 4),
    )
    def offer(self, account, rank, depth, priority, remaining_s, wait, count):
        weight = {"a": 1.0, "b": 2.0, "c": 0.5}[account]
        for _ in range(count):
            self.number += 1
            item = queued_call(
                self.number,
                self.now,
                account,
                weight,
                rank,
                depth,
                priority,
                remaining_s,
            )
            self._enqueue_one(item, wait)

    def _enqueue_one(self, item, wait):
        naive, has_standing_delay = self.naive, self.queue.has_standing_delay
        ahead = sum(naive.band(t) <= naive.band(item) for t in naive.queued_calls)
        wait_s = wait * (ahead / len(naive.queued_calls) if naive.queued_calls else 1)
        above = item.rank > 0 and item.level > self.queue.level_of(item.account)
        self.open.add(item.call_id)
        refused = self.queue.enqueue(self.now, item, wait)
        if above or (item.rank > 0 and wait_s > TIME_S):
            late = self.now + wait_s + SERVICE_S > item.deadline and not above
            self._expect(refused, [(item, DEADLINE_EXCEEDED if late else OVERLOADED)])
            return
        if self.now + wait_s + SERVICE_S > item.deadline:
            self._expect(refused, [(item, DEADLINE_EXCEEDED)])
            return
        expected = naive.refuse_expired(self.now)
        naive.add(item)
        if len(naive.queued_calls) > LENGTH:
            victim, kind = refused[-1]
            assert kind is OVERLOADED
            assert victim in naive.victims(has_standing_delay)
            assert victim.rank > 0 or all(t.rank == 0 for t in naive.queued_calls)
            naive.queued_calls.remove(victim)
            expected.append((victim, kind))
        self._expect(refused, expected)

    @stateful.rule(count=strategies.integers(1, 5))
    def take(self, count):
        for _ in range(count):
            has_standing_delay = self.queue.has_standing_delay
            item, refused = self.queue.dequeue(self.now, SERVICE_S)
            self._expect(refused, self.naive.refuse_expired(self.now))
            if item is None:
                assert not self.naive.queued_calls
                return
            self._close_call(item)
            assert self.now + SERVICE_S <= item.deadline
            assert item in self.naive.take(has_standing_delay)
            self.naive.charge(item)

    @stateful.rule(index=strategies.integers(0, 99))
    def remove(self, index):
        if not self.naive.queued_calls:
            assert self.queue.remove(-1) is None
            return
        item = self.naive.queued_calls.pop(index % len(self.naive.queued_calls))
        assert self.queue.remove(item.call_id) is item
        self._close_call(item)

    @stateful.invariant()
    def all_calls_are_accounted_for(self):
        assert len(self.queue) == len(self.naive.queued_calls) == len(self.open)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestQueue = QueueMachine.TestCase


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([0.5, 1.0, 2.0, 5.0]), min_size=2, max_size=5
    )
)
def test_backlogged_accounts_share_by_weight(weights):
    """Guards against an account that gets more than its weighted share of a rank."""
    queue = admission.FairQueue(length=10_000)
    for index, weight in enumerate(weights):
        for number in range(300):
            item = queued_call((index, number), 0.0, str(index), weight)
            assert queue.enqueue(0.0, item, 0.0) == []
    taken = collections.Counter(queue.dequeue(0.0, 0.0)[0].account for _ in range(100))
    served = [taken[str(index)] / weight for index, weight in enumerate(weights)]
    assert max(served) - min(served) <= 1 / min(weights) + 1 / max(weights) + 1e-9


def overload(accounts, capacity, seconds=8.0, service_s=0.05):
    """Offer {account: calls/s} of rank 2; return dispatched fractions and the queue."""
    queue = admission.FairQueue()
    next_arrival_at = dict.fromkeys(accounts, 0.0)
    done, offered = collections.Counter(), collections.Counter()
    next_take = next_window = 0.0
    now, number = 0.0, 0
    while now < seconds:
        now += 0.001
        for name, rate in accounts.items():
            while next_arrival_at[name] < now:
                next_arrival_at[name] += 1 / rate
                number += 1
                item = queued_call(
                    number,
                    now,
                    name,
                    rank=2,
                    priority=number * 37 % 128,
                    remaining_s=1.0,
                )
                offered[name] += now > 3.0
                queue.enqueue(now, item, len(queue) / capacity)
        while next_take < now:
            next_take += 1 / capacity
            item, _ = queue.dequeue(now, service_s)
            if item:
                done[item.account] += now > 3.0
        if now >= next_window:
            next_window += admission.DELAY_INTERVAL_S
            queue.on_window(now)
    return {name: done[name] / offered[name] for name in accounts}, queue


def test_account_within_its_fair_share_keeps_its_calls():
    """Guards against a threshold that sheds small accounts with large ones."""
    fractions, queue = overload({"big": 700.0, "small": 60.0}, capacity=300.0)
    assert fractions["small"] >= 0.95
    assert fractions["big"] >= 0.95 * 240 / 700
    assert queue.level_of("big") < calls.MAX_LEVEL
    assert queue.level_of("small") == 3 * calls.PRIORITY_LEVELS - 1


def test_threshold_opens_within_2_s_after_the_overload():
    _, queue = overload({"big": 700.0}, capacity=300.0)
    now = 8.0
    while queue.dequeue(now, 0.05)[0]:
        pass
    windows = 0
    while queue.level_of("big") < calls.MAX_LEVEL:
        now, windows = now + admission.DELAY_INTERVAL_S, windows + 1
        queue.on_window(now)
        assert windows < 20
    assert not math.isnan(now)


def test_fifo_refuses_only_when_full():
    queue = admission.FifoQueue(length=1)
    first, second = queued_call(1, 0.0), queued_call(2, 0.0)
    assert queue.enqueue(0.0, first, 9.0) == []
    assert queue.enqueue(0.0, second, 0.0) == [(second, OVERLOADED)]
    assert queue.dequeue(99.0, 1.0) == (first, [])
