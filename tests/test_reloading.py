import asyncio
import os
import signal

import fleetparts
import helpers

from toucanfold import reloading


def write(path, text):
    path.write_text(text)
    os.utime(path, ns=(1, path.stat().st_mtime_ns + 1_000_000))


def test_sighup_and_a_changed_file_apply_the_settings(tmp_path, monkeypatch):
    """Guards against a process that SIGHUP kills, or that keeps removed addresses."""
    monkeypatch.setattr(reloading, "CHECK_INTERVAL_S", 0.05)
    control = helpers.free_address()
    settings = fleetparts.make_settings(
        tmp_path, "a", "shop", helpers.free_address(), control=control
    )
    applied = []

    async def check():
        reloader = reloading.SettingsReloader(settings.file, "daemon", applied.append)
        reloader.start()
        os.kill(os.getpid(), signal.SIGHUP)
        await helpers.eventually(lambda: len(applied) == 1)
        path = tmp_path / os.path.basename(settings.file)
        text = path.read_text()
        write(path, text.replace(control, "127.0.0.1:9"))
        await helpers.eventually(lambda: len(applied) == 2)
        assert applied[-1].get("daemon", "control") == ["127.0.0.1:9"]
        write(path, "[daemon\n")
        await asyncio.sleep(0.2)
        assert not reloader.reload()
        assert len(applied) == 2
        reloader.stop()
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)

    helpers.run(check())
