"""Loads the hypothesis profile, and does not run tests listed as known failures."""

import pathlib
import re
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import helpers  # noqa: F401

# Lines "test: NODE" of KNOWN-RED.txt name tests that fail because of an open fault.
# They are not run, and are listed at the end of the run.
KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    known_failures = set(
        re.findall(r"^ *test: (\S+)", KNOWN_RED.read_text(), re.MULTILINE)
    )
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="see KNOWN-RED.txt", run=False))
