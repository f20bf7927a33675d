"""Scenarios of the bench: phases of the load and timed actions on the fleet."""

import dataclasses

from toucanfold import deployments, loadgen

SLOWDOWN_FACTOR = 10.0
NOISY_FACTOR = 5.0
TARGET_WARM_UP_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Action:
    """A method of the fleet under test, run at_s seconds after the load starts."""

    at_s: float
    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One scenario; times in seconds after the start of the load.

    Requests planned before warm_up_s are sent but not scored. Recovery is measured from
    recovery_start_s; a negative value means that it does not apply. slow is the span in
    which the downstream service is slowed down.
    """

    name: str
    duration_s: float
    phases: tuple[loadgen.Phase, ...] = ()
    actions: tuple[Action, ...] = ()
    slow: tuple[float, float] | None = None
    recovery_start_s: float = -1.0
    is_overload: bool = False
    has_added_latency: bool = False
    warm_up_s: float = 0.0

    @property
    def scored_s(self) -> float:
        """Seconds of the scenario that are scored."""
        return self.duration_s - self.warm_up_s


def _surge(deployment: deployments.Deployment, name: str, demand: float, quick: bool):
    start_s, end_s, duration_s = (0.3, 3.3, 4.3) if quick else (0.8, 4.0, 6.0)
    factor = deployment.surge_factor(demand)
    phases = tuple(
        loadgen.Phase(start_s, end_s, factor, account.name)
        for account in deployment.accounts
        if account.name != deployments.NOISY_ACCOUNT
    )
    return Scenario(name, duration_s, phases, recovery_start_s=end_s, is_overload=True)


def _slow_downstream(quick: bool) -> Scenario:
    start_s, end_s, duration_s = (0.3, 2.3, 3.3) if quick else (0.5, 10.5, 12.5)
    actions = (Action(start_s, "slow"), Action(end_s, "restore_downstream"))
    return Scenario(
        "slow_deep",
        duration_s,
        actions=actions,
        slow=(start_s, end_s),
        recovery_start_s=end_s,
        is_overload=True,
    )


def _fault(name: str, duration_s: float, *actions: Action):
    return Scenario(
        name,
        duration_s,
        actions=actions,
        recovery_start_s=actions[0].at_s,
    )


def all_scenarios(deployment: deployments.Deployment, quick: bool) -> list[Scenario]:
    """Return the scenarios in the order in which they run."""
    noisy_factor = NOISY_FACTOR * deployments.NOISY_RATE_LIMIT_FACTOR
    noisy = loadgen.Phase(1.0, 4.5, noisy_factor, deployments.NOISY_ACCOUNT)
    # A new fleet starts with low limits; the cold_start scenario measures that effect
    # separately.
    warm_up_s, steady_s = (1.0, 2.75) if quick else (3.0, 7.0)
    return [
        Scenario("steady", steady_s, has_added_latency=True, warm_up_s=warm_up_s),
        _surge(deployment, "surge_2x", 2.0, quick),
        _surge(deployment, "surge_4x", 4.0, quick),
        _slow_downstream(quick),
        Scenario("noisy_account", 5.0, (noisy,)),
        _fault("key_withdrawn", 4.0, Action(1.0, "withdraw_key")),
        _fault(
            "drain",
            5.0,
            Action(1.0, "drain"),
            Action(3.5, "undrain"),
        ),
        _fault("rolling_restart", 7.5, Action(0.5, "rolling_restart")),
        _fault(
            "target_lost",
            6.0,
            Action(1.5, "crash_targets"),
            Action(4.5, "restart_targets"),
        ),
        _fault(
            "leader_lost",
            6.0,
            Action(1.5, "kill_leader"),
            Action(4.5, "restore_leader"),
        ),
        _fault(
            "control_cut",
            6.0,
            Action(1.0, "pause_follower"),
            Action(4.5, "resume_follower"),
        ),
        _fault("config_change", 4.0, Action(0.5, "change_settings")),
        _fault("cold_start", 6.0, Action(0.5, "cold_start")),
        _fault("silent_links", 5.0, Action(1.0, "blackhole_links")),
    ]


QUICK_SCENARIOS = ("steady", "surge_2x", "slow_deep")
