import asyncio
import contextlib
import signal

import helpers
from returns import result

from toucanfold import adminclient, model

CREDENTIAL = ":".join(helpers.OPERATOR)


class Fleet:
    """Three control processes and clients of their operators' API."""

    def __init__(self, folder):
        names = ["c1", "c2", "c3"]
        self.members = {name: helpers.free_address() for name in names}
        self.processes = {
            name: helpers.ControlProcess(folder, name, self.members) for name in names
        }
        self.admins = [process.admin for process in self.processes.values()]

    def client(self, first=0):
        return adminclient.Client(self.admins[first:] + self.admins[:first], CREDENTIAL)

    async def read(self, path, first=0):
        return (await asyncio.to_thread(self.client(first).read, path)).unwrap()

    async def leader(self):
        while True:
            with contextlib.suppress(result.UnwrapFailedError):
                status = await self.read("/v1/status")
                if status["confirmed"]:
                    return status["replica"]["leader"]
            await asyncio.sleep(0.1)


def scenario(tmp_path, test):
    async def body():
        fleet = Fleet(tmp_path)
        for process in fleet.processes.values():
            process.start()
        try:
            await test(fleet)
        finally:
            for process in fleet.processes.values():
                process.end()

    helpers.run(body(), 40)


class Operator:
    """Updates one account repeatedly and records the accepted changes."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.accepted = []
        self.failed_attempts = 0
        self.stopped = False

    def put(self, operation, name, expected, rate):
        item = {"name": name, "rate": rate, "burst": 1.0}
        fields = {"operation": operation, "expected_revision": expected, "item": item}
        return self.fleet.client(self.number).submit(
            "PUT", f"/v1/accounts/{name}", fields
        )

    async def run(self):
        name, revision = f"a{self.number}", 0
        while not self.stopped:
            rate = float(len(self.accepted) + 1)
            operation = f"operation-{self.number}-{rate}"
            arguments = (operation, name, revision, rate)
            answered = await asyncio.to_thread(self.put, *arguments)
            if isinstance(answered, result.Failure):
                # Resent with the same operation id, so it is applied once.
                self.failed_attempts += 1
                continue
            revision = answered.unwrap()["revision"]
            self.accepted.append((arguments, revision))


def test_accepted_changes_survive_kills_and_restarts(tmp_path):
    """Guards against lost, repeated or reverted changes when processes are killed."""

    async def test(fleet):
        await fleet.leader()
        revisions = []
        watches = [
            helpers.make_watch(f"t{number}", list(fleet.members.values())[number:])
            for number in range(2)
        ]
        watches[0].subscribe(lambda state: revisions.append(state.revision))
        for watch in watches:
            watch.start()
        operators = [Operator(fleet, number) for number in range(3)]
        tasks = [asyncio.create_task(operator.run()) for operator in operators]
        for turn in range(3):
            await asyncio.sleep(0.5)
            name = await fleet.leader() if turn != 1 else "c1"
            fleet.processes[name].end(signal.SIGKILL)
            await asyncio.sleep(1.0)
            fleet.processes[name].start()
        for operator in operators:
            operator.stopped = True
        await asyncio.gather(*tasks)
        await check_accepted_changes(fleet, operators, watches)
        assert revisions == sorted(set(revisions))
        for watch in watches:
            await watch.stop()

    scenario(tmp_path, test)


async def check_accepted_changes(fleet, operators, watches):
    assert all(len(operator.accepted) >= 10 for operator in operators)
    revisions = [at for operator in operators for _, at in operator.accepted]
    assert len(set(revisions)) == len(revisions)
    await fleet.leader()
    for first in range(3):
        listed = await fleet.read("/v1/accounts", first)
        assert listed["confirmed"]
        account_by_name = {item["name"]: item for item in listed["accounts"]}
        for operator in operators:
            (_, name, _, rate), revision = operator.accepted[-1]
            assert (
                account_by_name[name]["rate"],
                account_by_name[name]["revision"],
            ) == (rate, revision)
    for operator in operators:
        arguments, revision = operator.accepted[0]
        again = await asyncio.to_thread(operator.put, *arguments)
        assert again.unwrap()["revision"] == revision
    last = max(revisions)
    await helpers.eventually(
        lambda: all(watch.state.revision >= last for watch in watches)
    )
    assert all(watch.state.to_json() == watches[0].state.to_json() for watch in watches)


def test_daemons_fail_over_from_a_stopped_leader_that_then_serves_no_stale_state(
    tmp_path,
):
    """Guards against daemons kept on stale keys by a stopped or partitioned leader."""

    async def test(fleet):
        name = await fleet.leader()
        number = list(fleet.members).index(name)
        addresses = list(fleet.members.values())
        watches = [
            helpers.make_watch(f"t{turn}", addresses[turn:] + addresses[:turn])
            for turn in range(3)
        ]
        for watch in watches:
            watch.start()
        loop = asyncio.get_running_loop()
        await helpers.eventually(lambda: all(w.is_fresh(loop.time()) for w in watches))
        stale = []
        sampler = asyncio.create_task(record_stale_watches(watches, stale))
        fleet.processes[name].send_signal(signal.SIGSTOP)
        item = {"name": "a", "rate": 1.0, "burst": 1.0}
        fields = {"expected_revision": 0, "item": item}
        client = fleet.client((number + 1) % 3)
        answered = await asyncio.to_thread(
            client.submit, "PUT", "/v1/accounts/a", fields
        )
        revision = answered.unwrap()["revision"]
        await helpers.eventually(
            lambda: all(watch.state.revision >= revision for watch in watches), 2
        )
        fleet.processes[name].send_signal(signal.SIGCONT)
        listed = await fleet.read("/v1/accounts", number)
        assert listed["confirmed"]
        assert [account["name"] for account in listed["accounts"]] == ["a"]
        sampler.cancel()
        assert stale == []
        for watch in watches:
            await watch.stop()

    scenario(tmp_path, test)


async def record_stale_watches(watches, stale):
    """Append each watch to stale whenever it is found not fresh."""
    loop = asyncio.get_running_loop()
    while True:
        stale += [watch for watch in watches if not watch.is_fresh(loop.time())]
        await asyncio.sleep(0.02)


def test_planned_stop_transfers_leadership_and_replaced_member_catches_up(tmp_path):
    """Guards against a member with an empty disk that votes as its predecessor."""

    async def test(fleet):
        client = fleet.client()
        leader = await fleet.leader()
        item = model.Account("a", 1.0, 1.0).to_json()
        fields = {"expected_revision": 0, "item": item}
        await asyncio.to_thread(client.submit, "PUT", "/v1/accounts/a", fields)
        assert fleet.processes[leader].end(signal.SIGTERM) == 0
        other = next(name for name in fleet.members if name != leader)
        first = list(fleet.members).index(other)
        assert await fleet.leader() != leader
        folder = fleet.processes[leader].settings.get("control", "data_folder")
        (tmp_path / f"data-{leader}").rename(f"{folder}-old")
        file = tmp_path / f"{leader}.ini"
        file.write_text(file.read_text() + "join = yes\n")
        fleet.processes[leader].start()
        change = {"action": "replace", "name": leader}
        change["address"] = fleet.members[leader]
        while True:
            replaced = await asyncio.to_thread(
                fleet.client(first).submit, "POST", "/v1/members", dict(change)
            )
            if isinstance(replaced, result.Success):
                break
            await asyncio.sleep(0.2)
        assert "warning" in replaced.unwrap()
        while True:
            status = await fleet.read("/v1/members", first)
            voters = [item["name"] for item in status["members"] if item["voter"]]
            if sorted(voters) == ["c1", "c2", "c3"] and len(status["members"]) == 3:
                break
            await asyncio.sleep(0.1)
        listed = await fleet.read("/v1/accounts", list(fleet.members).index(leader))
        assert [item["name"] for item in listed["accounts"]] == ["a"]

    scenario(tmp_path, test)
