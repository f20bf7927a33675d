"""Subcommand for operators: changes the fleet through the operators' API."""

import json
import pathlib
import secrets
import sys
import urllib.parse
from collections.abc import Callable
from typing import Any

from absl import flags
from returns import result

from toucanfold import adminclient, cmdline, debug

FLAGS = flags.FlagValues()
flags.DEFINE_list(
    "address", [], "Operators' listeners, tried in this order.", flag_values=FLAGS
)
flags.DEFINE_string(
    "credential_file", "", "File with operator:secret.", flag_values=FLAGS
)
flags.DEFINE_string(
    "operation",
    "",
    "Operation id of an earlier attempt whose response was lost.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "seed",
    "",
    "Seed of an earlier attempt to issue a key whose response was lost.",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "expected_revision",
    None,
    "Revision of the object that the change is based on; read first if not given.",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "wait_ms", 5000, "Longest wait for a change to be in force.", flag_values=FLAGS
)
flags.DEFINE_bool("wait", True, "Wait until a change is in force.", flag_values=FLAGS)
flags.DEFINE_string(
    "authority", "", "CA file (PEM) if the listeners use TLS.", flag_values=FLAGS
)
flags.DEFINE_bool(
    "force",
    False,
    "Change members even if the reachable voters are no quorum afterwards.",
    flag_values=FLAGS,
)
HELP_TEXT = """Commands (ITEM is JSON text, or @FILE, or @- for standard input):

  profile|route|account list
  profile|route|account get NAME
  profile|route|account put ITEM
  profile|route|account delete NAME
  key list [ACCOUNT]
  key issue ACCOUNT            prints the key, which is not shown again
  key withdraw ID
  target list [SERVICE]
  target drain|undrain NAME    stops or resumes new work
  target ended NAME            confirms that the process has terminated
  quarantine list              requests under which targets ended
  quarantine lift DIGEST
  member list
  member add NAME ADDRESS
  member replace NAME ADDRESS  the new instance has the same name and an empty disk
  member remove NAME
  member transfer              transfers leadership to another member
  status
  histograms
  wait REVISION                waits until the revision is in force"""

TABLES = {"profile": "profiles", "route": "routes", "account": "accounts"}

Answer = adminclient.Answer
Action = Callable[[adminclient.Client, list[str]], Answer]


class UsageError(Exception):
    """The arguments do not form a command."""


def _submit_change(
    client: adminclient.Client, method: str, path: str, fields: dict[str, Any]
) -> Answer:
    fields["operation"] = FLAGS.operation or adminclient.new_operation_id()
    return client.submit(method, path, fields)


def _resource_path(table: str, *names: str) -> str:
    quoted = [urllib.parse.quote(name, safe="") for name in names]
    return "/".join(["/v1", table, *quoted])


def _parse_item(text: str) -> dict[str, Any]:
    if text == "@-":
        text = sys.stdin.read()
    elif text.startswith("@"):
        text = pathlib.Path(text[1:]).read_text("utf-8")
    try:
        item = json.loads(text)
    except ValueError as error:
        raise UsageError(f"the item is not JSON: {error}") from error
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        raise UsageError("the item is not a JSON object with a name")
    return item


def _expected_revision(client: adminclient.Client, table: str, name: str) -> Answer:
    """Return the field expected_revision, read from control if no flag gives it."""
    if FLAGS.expected_revision is not None:
        return result.Success({"expected_revision": FLAGS.expected_revision})
    response = client.read(_resource_path(table, name))
    if isinstance(response, result.Success):
        return response.map(
            lambda value: {"expected_revision": value["item"]["revision"]}
        )
    if getattr(response.failure(), "status", 0) == 404:
        return result.Success({"expected_revision": 0})
    return response


def _run_object_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case [kind, "list"]:
            return client.read(_resource_path(TABLES[kind]))
        case [kind, "get", name]:
            return client.read(_resource_path(TABLES[kind], name))
        case [kind, "put", text]:
            item = _parse_item(text)
            table, name = TABLES[kind], item["name"]
            return _expected_revision(client, table, name).bind(
                lambda fields: _submit_change(
                    client, "PUT", _resource_path(table, name), {**fields, "item": item}
                )
            )
        case [kind, "delete", name]:
            table = TABLES[kind]
            return _expected_revision(client, table, name).bind(
                lambda fields: _submit_change(
                    client, "DELETE", _resource_path(table, name), fields
                )
            )
    raise UsageError("use list, get NAME, put ITEM or delete NAME")


def _run_key_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case ["key", "list"]:
            return client.read("/v1/keys")
        case ["key", "list", account]:
            return client.read(f"/v1/keys?account={urllib.parse.quote(account)}")
        case ["key", "issue", account]:
            seed = FLAGS.seed or secrets.token_hex(24)
            fields = {"account": account, "seed": seed}
            return _submit_change(client, "POST", "/v1/keys", fields)
        case ["key", "withdraw", key_id]:
            return _submit_change(client, "DELETE", _resource_path("keys", key_id), {})
    raise UsageError("use list [ACCOUNT], issue ACCOUNT or withdraw ID")


def _run_target_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case ["target", "list"]:
            return client.read("/v1/targets")
        case ["target", "list", service]:
            return client.read(f"/v1/targets?service={urllib.parse.quote(service)}")
        case ["target", ("drain" | "undrain" | "ended") as action, name]:
            return client.read(_resource_path("targets", name)).bind(
                lambda value: _change_target(client, action, value["item"])
            )
    raise UsageError("use list [SERVICE], drain NAME, undrain NAME or ended NAME")


def _change_target(
    client: adminclient.Client, action: str, target: dict[str, Any]
) -> Answer:
    fields = {"incarnation": target["incarnation"]}
    if action == "ended":
        return _submit_change(
            client, "POST", _resource_path("targets", target["name"], "ended"), fields
        )
    fields["state"] = {"drain": "draining", "undrain": "up"}[action]
    return _submit_change(
        client, "POST", _resource_path("targets", target["name"], "state"), fields
    )


def _run_member_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case ["member", "list"]:
            return client.read("/v1/members")
        case ["member", ("add" | "replace") as action, name, address]:
            fields = {"action": action, "name": name, "address": address}
            fields["force"] = FLAGS.force
            return _submit_change(client, "POST", "/v1/members", fields)
        case ["member", "remove", name]:
            fields = {"action": "remove", "name": name, "force": FLAGS.force}
            return _submit_change(client, "POST", "/v1/members", fields)
        case ["member", "transfer"]:
            return _submit_change(client, "POST", "/v1/transfer", {})
    raise UsageError(
        "use list, add NAME ADDRESS, replace NAME ADDRESS, remove NAME or transfer"
    )


def _run_quarantine_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case ["quarantine", "list"]:
            return client.read("/v1/quarantines")
        case ["quarantine", "lift", digest]:
            path = _resource_path("quarantines", digest)
            return _submit_change(client, "DELETE", path, {})
    raise UsageError("use list or lift DIGEST")


def _run_other_command(client: adminclient.Client, words: list[str]) -> Answer:
    match words:
        case ["status"]:
            return client.read("/v1/status")
        case ["histograms"]:
            return client.read("/v1/histograms")
        case ["wait", revision] if revision.isdigit():
            return client.read(f"/v1/revisions/{revision}?wait_ms={FLAGS.wait_ms}")
    raise UsageError("wrong arguments for this command")


ACTIONS: dict[str, Action] = {
    **dict.fromkeys(TABLES, _run_object_command),
    "key": _run_key_command,
    "target": _run_target_command,
    "member": _run_member_command,
    "quarantine": _run_quarantine_command,
    **dict.fromkeys(("status", "histograms", "wait"), _run_other_command),
}


def _add_in_force(client: adminclient.Client, value: dict[str, Any]) -> None:
    """Wait for an accepted change; add whether it is in force and which daemons lag."""
    revision = value.get("revision")
    if not FLAGS.wait or not value.get("accepted") or not isinstance(revision, int):
        return
    response = client.read(f"/v1/revisions/{revision}?wait_ms={FLAGS.wait_ms}")
    if isinstance(response, result.Success):
        wait_result = response.unwrap()
        value["in_force"] = wait_result["in_force"]
        value["laggards"] = wait_result["laggards"]


def _is_failed_wait(words: list[str], value: dict[str, Any]) -> bool:
    return words[0] == "wait" and not value["in_force"]


def main(arguments: list[str]) -> int:
    """Run one command; return 0 if it was accepted, 1 if not, 2 for wrong usage."""
    words = cmdline.parse_flags(FLAGS, "admin", arguments, HELP_TEXT)
    if not words or words[0] not in ACTIONS:
        return cmdline.report_usage_error(
            "unknown command", "see toucanfold admin --help"
        )
    if not FLAGS.address:
        return cmdline.report_usage_error(
            "no address is given", "use --address=HOST:PORT,..."
        )
    try:
        credential = debug.read_credential(FLAGS.credential_file)
        tls = adminclient.tls_context(FLAGS.authority)
        client = adminclient.Client(FLAGS.address, credential, tls)
        answered = ACTIONS[words[0]](client, words)
    except (UsageError, OSError) as error:
        return cmdline.report_usage_error(str(error), "see toucanfold admin --help")
    if isinstance(answered, result.Failure):
        print(f"toucanfold: {answered.failure()}", file=sys.stderr)
        return 1
    value = answered.unwrap()
    if words[0] != "wait":
        _add_in_force(client, value)
    print(json.dumps(value, indent=2))
    return 1 if _is_failed_wait(words, value) else 0
