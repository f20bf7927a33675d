"""Subcommand that checks settings files."""

import pathlib
import sys

from absl import flags
from returns import result

from toucanfold import cmdline, config

FLAGS = flags.FlagValues()
flags.DEFINE_enum(
    "role", "daemon", ["daemon", "control"], "Role of the files.", flag_values=FLAGS
)
flags.DEFINE_string(
    "write_docs", "", "Write the page of all options to this file.", flag_values=FLAGS
)
HELP_TEXT = "Checks the settings files given as arguments."


def main(arguments: list[str]) -> int:
    """Check the files; return 0 only if all are valid."""
    files = cmdline.parse_flags(FLAGS, "check-settings", arguments, HELP_TEXT)
    if FLAGS.write_docs:
        pathlib.Path(FLAGS.write_docs).write_text(config.write_docs(), "utf-8")
        return 0
    if not files:
        return cmdline.report_usage_error(
            "no settings file is given", "name at least one file"
        )
    status = 0
    for file in files:
        checked = config.read(file, FLAGS.role)
        if isinstance(checked, result.Failure):
            print(f"toucanfold: {checked.failure()}", file=sys.stderr)
            status = 1
        else:
            print(f"{file}: ok")
    return status
