import os

import helpers

from toucanfold import config, processmanager


def test_manager_removes_processes_and_files_on_exit():
    """Processes or files left over from a run would disturb the next one."""

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


def test_written_settings_are_accepted():
    """Settings files must use the option names of the settings table."""
    with processmanager.ProcessManager("test") as processes:
        names = ("fleet", "name", "region", "data_centre", "admin_file", "data_folder")
        values = dict.fromkeys(names, "x")
        values |= {"secret_file": processes.secret_file, "members": "x=127.0.0.1:1"}
        values |= {"listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2"}
        path = processes.write_settings("c1", "control", values)
        settings = config.read(path, "control").unwrap()
        assert len(config.read_secret(settings).unwrap()) == 64


def test_port_is_allocated_once():
    """Two processes of a fleet must not be assigned the same port."""
    addresses = [processmanager.free_addresses(5) for _ in range(200)]
    assert len({address for group in addresses for address in group}) == 1000
