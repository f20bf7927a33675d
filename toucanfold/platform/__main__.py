"""Composition root of both programs on the platform: ``python -m toucanfold.platform``.

The platform names the settings file in an environment variable and fills it in from a
template of this repository, so it holds the product's own options.
"""

import os
import sys

from toucanfold import cmdline, control, daemon, exceptions
from toucanfold.platform import announcements, fields, manifests, readiness

SETTINGS_VARIABLE = "TOUCANFOLD_SETTINGS"


def _run_daemon(path: str) -> int:
    def extend(made: daemon.Daemon) -> list[daemon.Listener]:
        registry = announcements.Announcements(made.presence, made.on_presence)
        return [
            daemon.Listener("ready_listen", readiness.Readiness(made)),
            daemon.Listener("announce_listen", registry),
        ]

    return daemon.run(path, fields.Fields(), must_announce=True, extend=extend)


def _run_control(path: str) -> int:
    def extend(made: control.Control) -> list[control.Listener]:
        return [control.Listener("platform_listen", manifests.Manifests(made))]

    return control.run(path, extend=extend)


PROGRAMS = {"daemon": _run_daemon, "control": _run_control}


def main(arguments: list[str]) -> int:
    """Run the program that the only argument names; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if len(arguments) != 1 or arguments[0] not in PROGRAMS or not path:
        names = " or ".join(PROGRAMS)
        return cmdline.fail(
            f"wrong arguments or no {SETTINGS_VARIABLE}",
            f"set the variable and name a program: {names}",
        )
    try:
        return PROGRAMS[arguments[0]](path)
    except exceptions.ToucanfoldError as error:
        return cmdline.fail(error.message, error.remedy)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
