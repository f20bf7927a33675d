"""Command line: picks a subcommand and runs it."""

import importlib
import os
import signal
import sys
from typing import TYPE_CHECKING, NoReturn

from toucanfold import exceptions

if TYPE_CHECKING:
    import types

    from absl import flags

USAGE_EXIT_STATUS = 2

# Each subcommand is a function ``main(arguments) -> exit status`` of a module, which
# is imported only when it runs, so that daemons do not load the bench.
COMMANDS = {
    "daemon": ("toucanfold.daemon", "run the daemon beside a target"),
    "control": ("toucanfold.control", "run a control instance"),
    "admin": ("toucanfold.admin", "change profiles, routes, client accounts and keys"),
    "check-settings": ("toucanfold.checksettings", "check settings files"),
    "debug": ("toucanfold.debug", "dump the state of a running process"),
    "demo": ("toucanfold.demo", "run a small fleet and show what it does"),
    "bench": ("toucanfold.bench", "measure scenarios against a naive proxy"),
    "target": ("toucanfold.standin", "run a stand-in target"),
    "load": ("toucanfold.loadgen", "send a planned load and time the responses"),
    "naive": ("toucanfold.naive", "run the naive proxy of the bench"),
    "report": ("toucanfold.report", "make a page from the output of the bench"),
}
# Commands that run until a signal stops them, and that handle signals themselves once
# they have started.
SERVING_COMMANDS = ("daemon", "control")


def usage() -> str:
    """Return the list of subcommands."""
    lines = ["usage: toucanfold COMMAND [--flag=value ...]", "", "commands:"]
    lines += [f"  {name:15} {text}" for name, (_, text) in COMMANDS.items()]
    lines += ["", "toucanfold COMMAND --help lists the flags of a command."]
    return "\n".join(lines)


def parse_flags(
    values: "flags.FlagValues", command: str, arguments: list[str], text: str
) -> list[str]:
    """Parse flags and return the other arguments; exits on --help or bad flags."""
    # Imported here, since it takes most of the time until signals are handled.
    from absl import flags

    if "--help" in arguments or "-h" in arguments:
        print(f"usage: toucanfold {command} [--flag=value ...]\n\n{text}\n")
        print(values.get_help())
        raise SystemExit(0)
    try:
        return list(values([f"toucanfold {command}", *arguments])[1:])
    except flags.Error as error:
        report_usage_error(f"{error}", f"see toucanfold {command} --help")
        raise SystemExit(USAGE_EXIT_STATUS) from error


def handle_signals_during_start() -> None:
    """Ignore SIGHUP, and end with status 0 on SIGTERM, until the process serves."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_on_signal)


def _exit_on_signal(number: int, frame: "types.FrameType | None") -> NoReturn:
    # SystemExit can be lost: an import may catch every exception of what it imports.
    os._exit(0)


def report_usage_error(message: str, remedy: str) -> int:
    """Print an error and its remedy; return the exit status for wrong usage."""
    print(f"toucanfold: {message}. Remedy: {remedy}.", file=sys.stderr)
    return USAGE_EXIT_STATUS


def main(arguments: list[str]) -> int:
    """Run a subcommand and return its exit status."""
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(usage())
        return 0 if arguments else USAGE_EXIT_STATUS
    name, *rest = arguments
    if name not in COMMANDS:
        return report_usage_error(f"unknown command {name!r}", "see toucanfold --help")
    if name in SERVING_COMMANDS:
        handle_signals_during_start()
    module = importlib.import_module(COMMANDS[name][0])
    try:
        return module.main(rest)
    except exceptions.ToucanfoldError as error:
        print(f"toucanfold: {error}", file=sys.stderr)
        return 1


def run() -> None:
    """Entry point of the console command."""
    raise SystemExit(main(sys.argv[1:]))
