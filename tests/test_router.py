import random

import helpers
from hypothesis import stateful
from hypothesis import strategies as st

from toucanfold import calls, candidates, model, router

BUDGET = 5000
LOCATIONS = (("r1", "a"), ("r1", "b"), ("r2", "c"))


def target(number, incarnation=1, state="up", service="s", location=None):
    region, data_centre = location or LOCATIONS[number % 3]
    name = f"t{number}"
    return model.Target(name, incarnation, service, region, data_centre, "x", state)


def fleet(targets):
    state = model.FleetState()
    state.targets = {item.name: item for item in targets}
    return state


def call(size=0, **fields):
    values = {
        "root_id": "r",
        "service": "s",
        "method": "GET",
        "path": "/",
        "headers": [],
        "body": b"x" * size,
        "account": "acc",
        "rank": 1,
        "idempotent": True,
        "deadline": 1e9,
        "root_started_at": 0.0,
    }
    return calls.Call(**values | fields)


def make_router(targets, budget=BUDGET, name="d"):
    target_router = router.Router(name, "r1", "a", budget, random.Random(1))
    target_router.update(0.0, fleet(targets))
    return target_router


def ok(limit=20, in_flight=0):
    return calls.Answer(status=200, limit=limit, in_flight=in_flight)


FAILED = calls.refuse(calls.RefusalKind.TARGET_FAILED, "", calls.Outcome.UNKNOWN)
TIMED_OUT = calls.refuse(calls.RefusalKind.DEADLINE_EXCEEDED, "", calls.Outcome.UNKNOWN)
OVERLOADED = calls.refuse(calls.RefusalKind.OVERLOADED, "")


class Routing(stateful.RuleBasedStateMachine):
    """Guards against calls to drained, ejected or excluded targets, and against
    more bytes sent to another region than the budget allows.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.targets = {f"t{number}": target(number) for number in range(7)}
        self.router = router.Router("t0", "r1", "a", BUDGET, random.Random(2))
        self.router.update(0.0, fleet(self.targets.values()))
        self.running = []
        self.sent_far = []

    def service_view(self):
        return self.router._services.get("s", candidates.ServiceCandidates())

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 1.1, 6, 31]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        size=st.integers(0, 3000),
        idempotent=st.booleans(),
        slot=st.sampled_from([-1, 3]),
        exclude=st.frozensets(st.sampled_from([f"t{n}" for n in range(7)])),
    )
    def send(self, size, idempotent, slot, exclude):
        before = {
            item.target.name: item.probe_due_at for item in self.service_view().ejected
        }
        request = call(size, idempotent=idempotent, slot=slot)
        chosen = self.router.pick(self.now, request, exclude)
        if chosen is None:
            near = [
                item
                for item in self.service_view().candidates.values()
                if item.tier < 2 and not item.is_ejected
            ]
            assert all(item.target.name in exclude for item in near)
            return
        assert chosen.name not in exclude
        assert self.targets[chosen.name].state == "up"
        assert self.now >= before.get(chosen.name, 0.0)
        bytes_sent = router.call_bytes(request)
        self.router.on_start(self.now, chosen.name, bytes_sent)
        if chosen.region == "r2":
            self.sent_far.append((self.now, bytes_sent))
        self.running.append(chosen.name)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=st.integers(0, 99),
        kind=st.sampled_from(["ok", "failed", "failed", "timeout", "shed", "cancel"]),
    )
    def finish(self, index, kind):
        name = self.running.pop(index % len(self.running))
        if kind == "cancel":
            self.router.on_cancel(self.now, name)
        else:
            answers = {"ok": ok(), "timeout": TIMED_OUT, "shed": OVERLOADED}
            answer = answers.get(kind, FAILED)
            self.router.on_answer(self.now, name, answer, 0.01)

    @stateful.rule(number=st.integers(0, 6), failures=st.integers(1, 6))
    def fail_often(self, number, failures):
        for _ in range(failures):
            self.router.on_failure(self.now, f"t{number}")

    @stateful.rule(number=st.integers(0, 6), is_up=st.booleans())
    def link(self, number, is_up):
        self.router.on_link(self.now, f"t{number}", is_up)

    @stateful.rule(
        number=st.integers(0, 6),
        state=st.sampled_from(["up", "draining", "lost"]),
        step=st.integers(0, 1),
    )
    def change(self, number, state, step):
        old = self.targets[f"t{number}"]
        new = target(number, old.incarnation + step, state)
        self.targets[new.name] = new
        self.router.update(self.now, fleet(self.targets.values()))

    @stateful.invariant()
    def at_least_half_stay_in_use(self):
        service_view = self.service_view()
        ejected = [item for item in service_view.candidates.values() if item.is_ejected]
        assert len(ejected) * 2 <= len(service_view.candidates)
        assert {item.target.name for item in service_view.ejected} == {
            item.target.name for item in ejected
        }

    @stateful.invariant()
    def region_budget_holds(self):
        for index, (start, _) in enumerate(self.sent_far):
            sent = 0
            for at, size in self.sent_far[index:]:
                sent += size
                assert sent <= BUDGET * (1.0 + at - start) + 1e-6


Routing.TestCase.settings = helpers.hypothesis.settings(
    max_examples=80, stateful_step_count=40
)
TestRouting = Routing.TestCase


def run_load(target_router, calls_in_flight, now=1.0):
    """Start calls that never end; return their number by target."""
    counts = {}
    for _ in range(calls_in_flight):
        chosen = target_router.pick(now, call())
        target_router.on_start(now, chosen.name, 0)
        counts[chosen.name] = counts.get(chosen.name, 0) + 1
    return counts


def test_calls_spread_by_reported_limit():
    """Guards against a small target that gets as many calls as a large one."""
    target_router = make_router([target(n, location=("r1", "a")) for n in range(2)])
    for name, limit in (("t0", 60), ("t1", 15)):
        target_router.on_answer(0.0, name, ok(limit), 0.01)
    counts = run_load(target_router, 60)
    assert abs(counts["t0"] - 48) <= 3


def test_calls_go_further_only_when_nearer_targets_are_full():
    target_router = make_router([target(0), target(1), target(2)], budget=10**6)
    for name in ("t0", "t1", "t2"):
        target_router.on_answer(0.0, name, ok(20), 0.01)
    assert run_load(target_router, 18) == {"t0": 18}
    assert run_load(target_router, 18) == {"t1": 18}
    assert run_load(target_router, 5) == {"t2": 5}


def test_no_budget_keeps_calls_in_the_region():
    target_router = make_router([target(0), target(2)], budget=0)
    target_router.on_answer(0.0, "t0", OVERLOADED, 0.01)
    assert target_router.pick(0.1, call()).name == "t0"
    assert make_router([target(2)], budget=0).pick(0.1, call()) is None


def test_slow_start_gives_a_new_target_fewer_calls():
    """Guards against a target that gets its full load while it is warming up."""
    targets = [target(n, location=("r1", "a")) for n in range(2)]
    target_router = make_router(targets[:1])
    target_router.update(5.0, fleet(targets))
    for name in ("t0", "t1"):
        target_router.on_answer(5.0, name, ok(1000), 0.01)
    assert run_load(target_router, 200, 5.0)["t1"] < 40


def test_service_slow_at_all_targets_ejects_none():
    """Guards against ejections that remove capacity for a slow downstream service."""
    target_router = make_router([target(n, location=("r1", "a")) for n in range(4)])
    for _ in range(10):
        for number in range(4):
            target_router.on_answer(1.0, f"t{number}", TIMED_OUT, 2.0)
    assert not target_router._services["s"].ejected
    for step in range(20):
        target_router.on_answer(2.0 + step, "t1", ok(), 0.01)
        target_router.on_answer(2.5 + step, "t0", TIMED_OUT, 2.0)
    assert [item.target.name for item in target_router._services["s"].ejected] == ["t0"]


def test_links_per_service_are_bounded():
    target_router = make_router([target(n) for n in range(90)], budget=10**9)
    seen = set()
    for number in range(500):
        chosen = target_router.pick(number * 0.001, call())
        target_router.on_start(number * 0.001, chosen.name, 0)
        seen.add(chosen.name)
    assert len(seen) == candidates.MAX_LINKS_PER_SERVICE
    assert {LOCATIONS[int(name[1:]) % 3] for name in seen} == set(LOCATIONS)


def test_round_robin_takes_turns():
    state = fleet([target(n, location=("r1", "a")) for n in range(3)])
    state.profiles["p"] = model.Profile("p", balancer="round_robin")
    state.routes["r"] = model.Route("r", "s", "p")
    target_router = router.Router("d", "r1", "a", 0, random.Random(1))
    target_router.update(0.0, state)
    names = [target_router.pick(0.0, call(route="r")).name for _ in range(6)]
    assert names[:3] == names[3:] and len(set(names)) == 3


def test_local_target_is_preferred_for_the_owners_calls():
    target_router = make_router(
        [target(n, location=("r1", "a")) for n in range(5)], name="t3"
    )
    assert {target_router.pick(0.0, call(slot=1)).name for _ in range(20)} == {"t3"}
    target_router.on_answer(0.0, "t3", OVERLOADED, 0.01)
    assert target_router.pick(0.5, call(slot=1)).name != "t3"


def test_closing_an_idle_link_ejects_no_target():
    """Guards against ejecting a healthy target when its unused link is closed."""
    target_router = make_router([target(n, location=("r1", "a")) for n in range(4)])
    for name in ("t1", "t2"):
        target_router.on_start(10.0, name, 0)
        target_router.on_answer(10.1, name, ok(), 0.1)
    target_router.on_link(12.0, "t1", False)
    target_router.on_link(71.0, "t2", False)
    assert [item.target.name for item in target_router._services["s"].ejected] == ["t1"]
