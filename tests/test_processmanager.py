import os

import helpers

from toucanfold import config, processmanager


def test_runs_a_target_and_leaves_nothing_behind():
    """Processes or files that outlive a run would spoil the next one."""

    async def check(processes: processmanager.ProcessManager) -> int:
        address = processmanager.free_addresses(1)[0]
        process = processes.start("t1", "target", f"--address={address}")
        await processes.wait_listening("t1", address)
        assert await processes.stop_all() == []
        assert process.status == 0
        process.start()
        return process.id

    with processmanager.ProcessManager("test") as processes:
        last = helpers.run(check(processes))
    assert not processes.folder.exists()
    assert not os.path.exists(f"/proc/{last}")


def test_writes_settings_that_the_table_accepts():
    """The option names here must follow the settings table."""
    with processmanager.ProcessManager("test") as processes:
        names = ("fleet", "name", "region", "data_centre", "admin_file", "data_folder")
        values = dict.fromkeys(names, "x")
        values |= {"secret_file": processes.secret_file, "members": "x=127.0.0.1:1"}
        values |= {"listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2"}
        path = processes.write_settings("c1", "control", values)
        settings = config.read(path, "control").unwrap()
        assert len(config.read_secret(settings).unwrap()) == 64


def test_a_port_is_given_once():
    """Two processes of one fleet must not be told to listen on the same port."""
    addresses = [processmanager.free_addresses(5) for _ in range(200)]
    assert len({address for group in addresses for address in group}) == 1000
