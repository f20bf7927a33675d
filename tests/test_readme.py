import contextlib
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
BLOCK = re.compile(r"<!-- test: .*? -->\n```sh\n(.*?)```", re.DOTALL)
TIMEOUT_S = 110


def run_page(page, folder):
    """Run the marked blocks of a page as one script; return status and output."""
    blocks = BLOCK.findall((ROOT / page).read_text())
    assert blocks
    # The ports of the page are free on a loopback address that only this test uses.
    pid = os.getpid()
    host = f"127.{2 + (pid >> 16) % 200}.{(pid >> 8) % 256}.{pid % 256}"
    script = "\n".join(blocks).replace("127.0.0.1", host)
    command = folder / "bin" / "toucanfold"
    command.parent.mkdir()
    command.write_text(
        f'#!/bin/sh\nPYTHONPATH={ROOT} exec {sys.executable} -m toucanfold "$@"\n'
    )
    command.chmod(0o755)
    path = f"{command.parent}:{os.environ['PATH']}"
    running = subprocess.Popen(
        ["bash", "-e", "-c", script],
        cwd=folder,
        env={**os.environ, "PATH": path},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = running.communicate(timeout=TIMEOUT_S)
    finally:
        # Kill what the script left running; the process group is this test's own.
        with contextlib.suppress(ProcessLookupError):
            os.killpg(running.pid, signal.SIGKILL)
    return running.returncode, output


@pytest.mark.skipif(shutil.which("curl") is None, reason="curl is not installed")
def test_quick_start_runs_as_printed(tmp_path):
    """Guards against a quick start that no longer works."""
    status, output = run_page("README.md", tmp_path)
    assert status == 0, output
    assert output.count("HTTP/1.1 200") == 2, output
    assert '"in_flight"' in output


@pytest.mark.timeout(TIMEOUT_S + 10)
@pytest.mark.skipif(shutil.which("curl") is None, reason="curl is not installed")
@pytest.mark.skipif(shutil.which("openssl") is None, reason="openssl is not installed")
def test_operations_run_as_printed(tmp_path):
    """Guards against a page for operators whose commands fail."""
    status, output = run_page("docs/OPERATIONS.md", tmp_path)
    assert status == 0, output
    printed = re.findall(r"^[2-5]\d\d$", output, re.MULTILINE)
    assert printed == ["200", "200", "401", "200", "200"], output
    assert '"state": "left"' in output
    assert "cannot bear the loss of another" in output
    # The state dump of a control instance is printed last.
    assert output.rpartition('"disk_full"')[2].count('"voter": true') == 5, output
