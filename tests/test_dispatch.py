import asyncio

import fleetparts
import helpers
import hypothesis
from hypothesis import strategies

from toucanfold import (
    admission,
    calls,
    dispatch,
    headerformat,
    httpclient,
    httpserver,
    limiter,
    metrics,
    targetstatus,
)


def make_call(deadline_s=5.0, **fields):
    now = asyncio.get_running_loop().time()
    values = {
        "root_id": "r",
        "service": "shop",
        "method": "GET",
        "path": "/",
        "headers": [],
        "body": b"",
        "account": "acme",
        "rank": 2,
        "idempotent": True,
        "deadline": now + deadline_s,
        "root_started_at": now,
        **fields,
    }
    return calls.Call(**values)


class Bench:
    """A dispatcher with a target whose calls end when the test sets their event."""

    def __init__(self, limit=1, length=100):
        self.running = {}
        self.order = []
        self.max_running = 0
        self.target = fleetparts.Recorder(self._answer)
        self.limit, self.length = limit, length

    async def start(self, fleet):
        address = await fleet.target(self.target)
        self.dispatcher = dispatch.Dispatcher(
            httpclient.Pool(address, 50),
            calls.TokenTable(),
            metrics.Metrics(),
            limiter.Fixed(self.limit),
            admission.FifoQueue(length=self.length),
        )
        self.dispatcher.start()
        fleet.stack.callback(self.dispatcher.stop)
        return self.dispatcher

    async def _answer(self, request):
        self.order.append(request.path)
        self.running[request.path] = asyncio.Event()
        self.max_running = max(self.max_running, len(self.running))
        try:
            await self.running[request.path].wait()
        finally:
            del self.running[request.path]
        return httpserver.Response(200, [], request.path.encode())

    async def until_running(self, path):
        while path not in self.running:
            await asyncio.sleep(0.005)


def with_bench(test, **options):
    """Run an async test with a dispatcher."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            bench = Bench(**options)
            await bench.start(fleet)
            await test(bench)
            await asyncio.sleep(0.02)
            assert bench.dispatcher.in_flight == len(bench.running)
            assert bench.dispatcher.queued == 0

    helpers.run(scenario())


def start(bench, number, **options):
    call = make_call(path=f"/{number}", **options)
    return asyncio.ensure_future(bench.dispatcher.run(call))


def test_calls_wait_in_order_for_the_limit():
    async def test(bench):
        tasks = [start(bench, number) for number in range(4)]
        for number in range(4):
            await bench.until_running(f"/{number}")
            assert bench.dispatcher.in_flight == 1
            bench.running[f"/{number}"].set()
            assert (await tasks[number]).body == f"/{number}".encode()
        assert bench.max_running == 1

    with_bench(test)


def test_full_queue_refuses_as_not_run():
    async def test(bench):
        tasks = [start(bench, number) for number in range(3)]
        refused = await tasks[2]
        assert refused.refusal.kind == "overloaded"
        assert refused.outcome is calls.Outcome.NOT_RUN
        for number in (0, 1):
            await bench.until_running(f"/{number}")
            bench.running[f"/{number}"].set()
        await asyncio.gather(*tasks)
        assert bench.order == ["/0", "/1"]

    with_bench(test, length=1)


def test_deadline_in_the_queue_is_not_run():
    """Guards against a call that is dispatched after its deadline."""

    async def test(bench):
        first = start(bench, 0)
        late = await start(bench, 1, deadline_s=0.05)
        assert late.refusal.kind == "deadline_exceeded"
        assert late.outcome is calls.Outcome.NOT_RUN
        await bench.until_running("/0")
        bench.running["/0"].set()
        await first
        assert bench.order == ["/0"]

    with_bench(test)


def test_cancelled_calls_return_their_permit():
    """Guards against permits that leak when callers cancel."""

    async def test(bench):
        tasks = [start(bench, number) for number in range(3)]
        await bench.until_running("/0")
        tasks[1].cancel()
        tasks[0].cancel()
        await bench.until_running("/2")
        assert bench.order == ["/0", "/2"]
        assert bench.target.cancelled == 1
        bench.running["/2"].set()
        assert (await tasks[2]).status == 200

    with_bench(test)


def test_new_plugins_keep_queued_calls():
    async def test(bench):
        tasks = [start(bench, number) for number in range(3)]
        await bench.until_running("/0")
        bench.dispatcher.replace(limiter.Fixed(3), admission.FifoQueue())
        for number in range(3):
            await bench.until_running(f"/{number}")
        for event in bench.running.values():
            event.set()
        answers = await asyncio.gather(*tasks)
        assert [answer.body for answer in answers] == [b"/0", b"/1", b"/2"]

    with_bench(test)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("start", "end", "cancel")), strategies.integers(0, 9)
    ),
    max_size=25,
)


@hypothesis.settings(max_examples=15)
@hypothesis.given(ACTIONS, strategies.integers(1, 3))
def test_permits_and_order_match_a_reference_model(actions, limit):
    """Guards against permits that are lost or granted twice in any order of events."""

    async def test(bench):
        tasks, running, waiting = {}, [], []
        for kind, choice in actions:
            if kind == "start":
                number = len(tasks)
                tasks[number] = start(bench, number)
                waiting.append(number)
                await asyncio.sleep(0)
            else:
                pool = running if kind == "end" else running + waiting
                if not pool:
                    continue
                number = pool[choice % len(pool)]
                (running if number in running else waiting).remove(number)
                if kind == "end":
                    bench.running[f"/{number}"].set()
                else:
                    tasks[number].cancel()
                await asyncio.wait([tasks[number]])
            while waiting and len(running) < limit:
                running.append(waiting.pop(0))
            for number in running:
                await bench.until_running(f"/{number}")
            assert bench.dispatcher.in_flight == len(running)
            assert bench.dispatcher.queued == len(waiting)
            assert len(bench.dispatcher.tokens) == len(running)
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        assert bench.dispatcher.in_flight == 0
        while bench.running:
            await asyncio.sleep(0.005)

    with_bench(test, limit=limit)


def test_calls_that_wait_for_nested_calls_release_their_permit():
    """Guards against an idle target whose calls wait for a slow downstream service."""

    async def scenario():
        async with fleetparts.Fleet(None) as fleet:
            bench = Bench(limit=1)
            dispatcher = await bench.start(fleet)
            loop = asyncio.get_running_loop()
            first = asyncio.ensure_future(dispatcher.run(make_call(path="/1")))
            second = asyncio.ensure_future(dispatcher.run(make_call(path="/2")))
            await helpers.eventually(lambda: bench.order == ["/1"])
            token = next(iter(dispatcher.tokens._tokens.values()))
            token.nested_call_started(loop.time())
            await helpers.eventually(lambda: bench.order == ["/1", "/2"])
            assert (dispatcher.in_flight, dispatcher.active) == (2, 1)
            token.nested_call_ended(loop.time(), 0, 0)
            assert dispatcher.active == 2
            for running in list(bench.running.values()):
                running.set()
            answers = await asyncio.gather(first, second)
            assert [answer.status for answer in answers] == [200, 200]
            assert (dispatcher.in_flight, dispatcher.active) == (0, 0)

    helpers.run(scenario())


def test_draining_target_refuses_queued_calls():
    """Guards against calls that reach a target after its drain was acknowledged."""

    async def check():
        status = targetstatus.TargetStatus(require_announcement=True)
        status.on_announcement(0.0, targetstatus.Announcement("i", 1, 1, True, 1))
        pool = httpclient.Pool(helpers.free_address(), 10)
        dispatcher = dispatch.Dispatcher(
            pool,
            calls.TokenTable(),
            metrics.Metrics(),
            limiter.AnnouncedLimit(),
            admission.FifoQueue(),
            target_status=status,
        )
        dispatcher.on_target_status()
        dispatcher.in_flight = dispatcher.limit
        waiting = asyncio.create_task(dispatcher.run(make_call()))
        await asyncio.sleep(0)
        assert dispatcher.queued == 1
        status.on_announcement(1.0, targetstatus.Announcement("i", 1, 2, False, 1))
        dispatcher.on_target_status()
        answer = await waiting
        assert answer.outcome is calls.Outcome.NOT_RUN
        assert answer.refusal.kind is calls.RefusalKind.STOPPING
        assert dispatcher.queued == 0

    helpers.run(check())


class _MismatchingHeaderFormat(headerformat.NativeHeaderFormat):
    """Reports each response as that of another call."""

    def find_echoed_id(self, fields):
        return b"other"


def test_connection_with_another_calls_response_is_closed():
    """Guards against a delayed response that is matched to the next call."""

    async def check():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            address = await fleet.target(fleetparts.Recorder())
            dispatcher = dispatch.Dispatcher(
                httpclient.Pool(address, 5),
                calls.TokenTable(),
                metrics.Metrics(),
                limiter.Fixed(5),
                admission.FifoQueue(),
                header_format=_MismatchingHeaderFormat(),
            )
            call = make_call(deadline_s=0.3, idempotent=False)
            answer = await dispatcher.run(call)
            assert answer.outcome is calls.Outcome.UNKNOWN
            assert answer.refusal.kind is calls.RefusalKind.DEADLINE_EXCEEDED
            await asyncio.sleep(0.02)
            assert len(dispatcher.pool) == 0
            dispatcher.stop()

    helpers.run(check())
