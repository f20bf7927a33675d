"""End-to-end test of the platform's protocol with real processes."""

import contextlib
import http.client
import http.server
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import test_platform

ROOT = pathlib.Path(__file__).parent.parent
SECRET_FILE = ROOT / "deploy" / "fleet.secret"
START_TIMEOUT_S = 25
CONTROL_PORT, LINK_PORT, ADMIN_PORT = 8540, 7000, 7015


class Target(http.server.BaseHTTPRequestHandler):
    """A target that records the requests it receives."""

    protocol_version = "HTTP/1.1"
    seen: list = []

    def do_GET(self):
        sent = {name.lower(): value for name, value in self.headers.items()}
        Target.seen.append((self.path, sent))
        body = b"whole body"
        self.send_response(200)
        self.send_header("Request-Id", sent["request-id"])
        self.send_header("Response-Seal", "seal")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def host(number):
    """Return an address that only this test uses, so that all usual ports are free."""
    pid = os.getpid()
    return f"127.{40 + (pid >> 16) % 180}.{pid >> 8 & 255}.{(pid & 15) * 16 + number}"


def control_settings(number, seeds, data, joins):
    own = host(number)
    return f"""[control]
fleet = platform
name = {own}
region = r1
data_centre = d{number}
secret_file = {SECRET_FILE}
listen = {own}:{LINK_PORT}
admin_listen = {own}:{ADMIN_PORT}
platform_listen = {own}:{CONTROL_PORT}
data_folder = {data}
seeds = {seeds}
seed_port = {LINK_PORT}
join = {"yes" if joins else "no"}
tolerated_losses = 1
plan_slots = no
"""


def daemon_settings(number, seeds, target):
    own = host(number)
    return f"""[daemon]
fleet = platform
name = sidecar-1
service = s1
region = r1
data_centre = d1
secret_file = {SECRET_FILE}
caller_listen = {own}:8548
ready_listen = {own}:8546
announce_listen = {own}:{CONTROL_PORT}
link_listen = {own}:{LINK_PORT}
debug_listen = {own}:{ADMIN_PORT}
target_address = {target}
control = {seeds}
control_port = {LINK_PORT}
drain_serve = 0.2
drain_timeout = 3
repeat_part = 0.2
repeat_calls = 47
"""


class Programs:
    """Starts and stops the platform's programs."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, program, name, settings):
        path = self.folder / f"{name}.ini"
        path.write_text(settings)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "toucanfold.platform", program],
                cwd=ROOT,
                env={**os.environ, "TOUCANFOLD_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    def stop(self, name, number=signal.SIGTERM):
        process = self.running.pop(name)
        process.send_signal(number)
        return process.wait(10)

    def close(self):
        for name in list(self.running):
            self.stop(name, signal.SIGKILL)


def send_request(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(*address.split(":"), timeout=5)
    with contextlib.closing(connection):
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()


def until(address, method, path, expected_status, body=None, headers=None):
    """Repeat a request until its response has the expected status."""
    end = time.monotonic() + START_TIMEOUT_S
    last = None
    while time.monotonic() < end:
        try:
            last = send_request(address, method, path, body, headers)
        except OSError as error:
            last = error
        else:
            if last[0] == expected_status:
                return last
        time.sleep(0.1)
    raise AssertionError(f"{method} {path} at {address}: {last}")


def test_fleet_bootstraps_serves_calls_and_recovers_from_a_lost_disk(tmp_path):
    """Guards against a fleet that does not bootstrap, serve calls or recover."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Target)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    target = f"127.0.0.1:{server.server_address[1]}"
    seeds = ", ".join(f"{host(number)}:{CONTROL_PORT}" for number in (1, 2))
    programs = Programs(tmp_path)

    def start_control(number, data, joins=False):
        settings = control_settings(number, seeds, tmp_path / data, joins)
        programs.start("control", f"control-{number}", settings)

    try:
        # The third instance is not a seed and no setting of the others names it.
        for number in (3, 1, 2):
            start_control(number, f"data-{number}")
        programs.start("daemon", "daemon", daemon_settings(9, seeds, target))
        operators = [f"{host(number)}:{CONTROL_PORT}" for number in (1, 2, 3)]
        first = test_platform.manifest(5)
        until(operators[0], "PUT", "/config", 200, first)
        shown = until(operators[2], "GET", "/config", 200)
        assert json.loads(shown[2]) == first

        own = host(9)
        until(f"{own}:8546", "GET", "/ready", 200)
        headers = {
            "Host": "a.example",
            "Request-Id": "9c41",
            "Deadline-Ms": "5000",
            "Authorization": "Bearer key-of-t1",
        }
        callers = f"{own}:8548"
        assert send_request(callers, "GET", "/x/1?q=2", headers=headers)[0] == 503
        info = test_platform.INFO | {"zone": "d1"}
        announcement = test_platform.ANNOUNCEMENT | {"address": target, "info": info}
        announce = f"{own}:{CONTROL_PORT}"
        assert send_request(announce, "PUT", "/instances/i-1", announcement)[0] == 200
        status, answered, body = until(callers, "GET", "/x/1?q=2", 200, headers=headers)
        assert (status, body) == (200, b"whole body")
        assert answered["response-seal"] == "seal"
        path, sent = Target.seen[-1]
        assert path == "/x/1?q=2" and "authorization" not in sent
        assert sent["tenant"] == "t1" and sent["caller-service"] == "s1"
        assert sent["expected-instance"] == "i-1"
        assert 0 < int(sent["deadline-ms"]) <= 800
        wrong_key = headers | {"Authorization": "Bearer none"}
        assert send_request(callers, "GET", "/x/1", headers=wrong_key)[0] == 401
        unknown_host = headers | {"Host": "none.example"}
        assert send_request(callers, "GET", "/x/1", headers=unknown_host)[0] == 404

        # One instance restarts with an empty disk; then another one fails permanently.
        programs.stop("control-1", signal.SIGKILL)
        start_control(1, "data-1-new", joins=True)
        until(operators[0], "PUT", "/config", 200, test_platform.manifest(6, base=5))
        time.sleep(2)
        programs.stop("control-2", signal.SIGKILL)
        second = test_platform.manifest(7, base=6)
        until(operators[2], "PUT", "/config", 200, second)
        shown = until(operators[0], "GET", "/config", 200)
        assert json.loads(shown[2]) == second

        # A target that withdrew gets no more calls; they are refused with 503.
        assert send_request(announce, "DELETE", "/instances/i-1")[0] == 200
        count = len(Target.seen)
        assert send_request(callers, "GET", "/x/1", headers=headers)[0] == 503
        assert len(Target.seen) == count
        assert programs.stop("daemon") == 0
    finally:
        programs.close()
        server.shutdown()
