import contextlib
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys

import pytest

README = pathlib.Path(__file__).parent.parent / "README.md"
BLOCK = re.compile(r"<!-- test: .*? -->\n```sh\n(.*?)```", re.DOTALL)


@pytest.mark.skipif(shutil.which("curl") is None, reason="curl is not installed")
def test_first_profile_runs_as_printed(tmp_path):
    """Guards against a quick start that no longer works."""
    found = BLOCK.search(README.read_text())
    assert found
    # An address of its own, so that the ports of the page are free.
    pid = os.getpid()
    host = f"127.{2 + (pid >> 16) % 200}.{(pid >> 8) % 256}.{pid % 256}"
    script = found.group(1).replace("127.0.0.1", host)
    command = tmp_path / "bin" / "toucanfold"
    command.parent.mkdir()
    root = README.parent
    command.write_text(
        f'#!/bin/sh\nPYTHONPATH={root} exec {sys.executable} -m toucanfold "$@"\n'
    )
    command.chmod(0o755)
    path = f"{command.parent}:{os.environ['PATH']}"
    running = subprocess.Popen(
        ["bash", "-e", "-c", script],
        cwd=tmp_path,
        env={**os.environ, "PATH": path},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = running.communicate(timeout=50)
    finally:
        # Ends what the script left running; the group is this test's own.
        with contextlib.suppress(ProcessLookupError):
            os.killpg(running.pid, signal.SIGKILL)
    assert running.returncode == 0, output
    assert output.count("HTTP/1.1 200") == 2, output
    assert '"in_flight"' in output
