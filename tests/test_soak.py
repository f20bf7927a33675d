"""Short seeded runs of the randomized fault soak; tests/soak.py plays more seeds."""

import asyncio

import pytest
import soak

DAEMONS = 4
FAULTS_S = 12.0


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", [1, 4, 5])
def test_overlapping_faults_break_no_promise_to_callers(seed):
    records = asyncio.run(soak.Soak(seed, DAEMONS, FAULTS_S).run())
    assert not records.violations
