"""Starts a program on the platform: ``python -m toucanfold.platform NAME``.

The platform renders the settings file from a template of this repository, so it holds
the product's own options, and passes its path in an environment variable.
"""

import importlib
import os
import sys

from toucanfold import cmdline, exceptions

SETTINGS_VARIABLE = "TOUCANFOLD_SETTINGS"
# Imported only when they run, since the platform charges start-up time.
PROGRAMS = {
    "daemon": "toucanfold.platform.daemonprogram",
    "control": "toucanfold.platform.controlprogram",
}


def main(arguments: list[str]) -> int:
    """Run the program that the only argument names; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if len(arguments) != 1 or arguments[0] not in PROGRAMS or not path:
        names = " or ".join(PROGRAMS)
        return cmdline.report_usage_error(
            f"wrong arguments or no {SETTINGS_VARIABLE}",
            f"set the variable and name a program: {names}",
        )
    cmdline.handle_signals_during_start()
    program = importlib.import_module(PROGRAMS[arguments[0]])
    try:
        return program.run(path)
    except exceptions.ToucanfoldError as error:
        return cmdline.report_usage_error(error.message, error.remedy)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
