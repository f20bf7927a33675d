"""Loads the hypothesis profile before any test module."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import helpers  # noqa: F401
