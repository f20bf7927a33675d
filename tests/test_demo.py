import subprocess
import sys


def test_demo_shows_every_step_and_stops_cleanly():
    """Guards against real processes that fail together although each module works."""
    completed = subprocess.run(
        [sys.executable, "-m", "toucanfold", "demo"],
        capture_output=True,
        text=True,
        timeout=55,
    )
    assert completed.returncode == 0, completed.stderr
    for text in ("recorded answer", "conflict", "refused", "stopped as planned"):
        assert text in completed.stdout
