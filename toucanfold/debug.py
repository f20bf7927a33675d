"""Subcommand that prints the state dump of a running process."""

import json
import pathlib

from absl import flags

from toucanfold import adminclient, cmdline

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "address", "", "HTTP listener for state dumps (HOST:PORT).", flag_values=FLAGS
)
flags.DEFINE_string(
    "credential_file",
    "",
    "File with operator:secret; control instances require it.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "authority", "", "CA file (PEM) if the listener uses TLS.", flag_values=FLAGS
)
HELP_TEXT = "Prints the state of a daemon or a control instance as JSON."


def read_credential(path: str) -> str:
    """Return the first operator:secret line of a file, empty without a file."""
    if not path:
        return ""
    lines = pathlib.Path(path).read_text("utf-8").splitlines()
    credentials = [line.strip() for line in lines if line.strip() and line[0] != "#"]
    return credentials[0] if credentials else ""


def main(arguments: list[str]) -> int:
    """Fetch and print the dump; return 1 if the process does not respond with one."""
    cmdline.parse_flags(FLAGS, "debug", arguments, HELP_TEXT)
    if not FLAGS.address:
        return cmdline.report_usage_error(
            "no address is given", "use --address=HOST:PORT"
        )
    try:
        credential = read_credential(FLAGS.credential_file)
        tls = adminclient.tls_context(FLAGS.authority)
        status, value = adminclient.send_request(
            FLAGS.address, "GET", "/debug", None, credential, tls=tls
        )
    except OSError as error:
        cmdline.report_usage_error(
            f"could not fetch the state dump: {error}",
            "check the address and the credential file",
        )
        return 1
    print(json.dumps(value, indent=2))
    return 0 if status == 200 else 1
