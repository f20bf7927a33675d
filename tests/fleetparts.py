"""Daemons, targets and callers in one process, for tests of the call path."""

import asyncio
import contextlib
import pathlib
import tempfile

import helpers

from toucanfold import config, daemon, httpserver, interfaces, link, model

SECRET = b"0123456789abcdef"
KEY = "tfk_" + "a" * 12 + "_" + "b" * 40
OTHER_KEY = "tfk_" + "c" * 12 + "_" + "d" * 40


def fleet_state(services=("shop",), **profile_fields):
    """Return a state with one profile, a route per service and two accounts."""
    state = model.FleetState()
    state.revision = 1
    fields = {"limiter": "fixed", "admission": "fifo", **profile_fields}
    state.profiles["p"] = model.Profile("p", **fields)
    for service in services:
        state.routes[service] = model.Route(service, service, "p")
    for account, text in (("acme", KEY), ("other", OTHER_KEY)):
        state.accounts[account] = model.Account(account, 1e6, 1e6)
        key_id, secret = model.parse_api_key(text)
        digest = model.key_digest(SECRET, secret)
        state.keys[key_id] = model.Key(key_id, account, digest)
    return state


def make_settings(folder, name, service, target_address, tls=None, **options):
    """Write a settings file with free ports and return the settings read from it."""
    secret = pathlib.Path(folder, "secret")
    secret.write_bytes(SECRET)
    values = {
        "fleet": "f",
        "name": name,
        "service": service,
        "region": "r1",
        "data_centre": "d1",
        "secret_file": secret,
        "target_address": target_address,
        "control": "127.0.0.1:1",
        **{
            f"{listener}_listen": helpers.free_address()
            for listener in ("caller", "egress", "link", "debug")
        },
        **options,
    }
    lines = ["[daemon]", *(f"{key} = {value}" for key, value in values.items())]
    lines += ["[tls]", *(f"{key} = {value}" for key, value in (tls or {}).items())]
    path = pathlib.Path(folder, f"{name}.ini")
    path.write_text("\n".join(lines))
    return config.read(str(path), "daemon").unwrap()


class Recorder:
    """A target that records its requests; by default it echoes the body."""

    def __init__(self, answer=None):
        self.requests = []
        self.bodies = []
        self.cancelled = 0
        self._answer = answer

    def protocol_error(self, status, message):
        return httpserver.Response(status, [], message.encode())

    def check_head(self, request):
        return None

    async def handle(self, request):
        self.requests.append(request)
        try:
            if request.body_stream is not None:
                request.body = b"".join([chunk async for chunk in request.body_stream])
            self.bodies.append(request.body)
            if self._answer is not None:
                return await self._answer(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return httpserver.Response(200, [(b"x-target", b"yes")], request.body)


class Fleet:
    """Starts daemons with targets and stops everything at the end."""

    def __init__(self, state):
        self.state = state
        self.source = interfaces.StaticStateSource(state)
        self.folder = tempfile.TemporaryDirectory()
        self.daemons = {}
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.stack.enter_context(self.folder)
        return self

    async def __aexit__(self, *error):
        await self.stack.aclose()

    async def target(self, handler):
        """Serve a handler as a target; return its address."""
        server = httpserver.Server(handler, httpserver.Limits(max_body=1 << 30))
        address = helpers.free_address()
        await server.listen(address)
        self.stack.callback(server.stop)
        return address

    async def raw_target(self, handle_connection):
        """Serve a coroutine function (reader, writer) as a target."""
        address = helpers.free_address()

        async def guarded(reader, writer):
            with contextlib.suppress(ConnectionError, EOFError):
                await handle_connection(reader, writer)

        server = await asyncio.start_server(guarded, *link.split_address(address))
        self.stack.callback(server.close)
        return address

    async def daemon(
        self,
        name,
        service,
        target_address,
        contexts=None,
        rate=None,
        header_format=None,
        target_status=None,
        **options,
    ):
        """Start a daemon and add its target to the fleet state."""
        settings = make_settings(
            self.folder.name, name, service, target_address, **options
        )
        identity = daemon.identity_of(settings, SECRET)
        new_daemon = daemon.Daemon(
            settings,
            identity,
            self.source,
            contexts,
            rate=rate,
            header_format=header_format,
            target_status=target_status,
        )
        await new_daemon.start()
        self.stack.callback(new_daemon.stop)
        self.daemons[name] = new_daemon
        self.state.targets[name] = model.Target(
            name,
            identity.incarnation,
            service,
            "r1",
            "d1",
            settings.get("daemon", "link_listen"),
        )
        self.source.publish()
        return new_daemon

    def record(self, name):
        """Record what a daemon announces of its target, as control does."""
        announcing = self.daemons[name]
        status = announcing.target_status
        target = self.state.targets[name]
        target.service = announcing.service
        target.target_instance, target.departed = status.label, status.departed
        self.state.revision += 1
        self.source.publish()

    def address(self, name, listener="caller"):
        """Return the address of a daemon's listener."""
        return self.daemons[name]._settings.get("daemon", f"{listener}_listen")


class Reply:
    """A parsed response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_reply(reader, method="GET"):
    """Read one response; raises IncompleteReadError if it is truncated."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower().decode()] = value.strip().decode("latin-1")
    status = int(first.split()[1])
    body = b""
    if method == "HEAD" or status in (204, 304) or status < 200:
        pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    return Reply(status, headers, body)


def request_bytes(method="GET", path="/", service="shop", body=b"", **headers):
    """Return a request; underscores in header names become dashes."""
    fields = {"Host": f"{service}.example", "Toucanfold_Key": KEY, **headers}
    if body:
        fields["Content_Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [
        f"{name.replace('_', '-')}: {value}"
        for name, value in fields.items()
        if value is not None
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def fetch(address, *arguments, tls=None, **options):
    """Send one request on a new connection and read the response."""
    data = request_bytes(*arguments, **options)
    return await exchange(address, data, options.get("method", "GET"), tls)


async def exchange(address, data, method="GET", tls=None):
    """Send raw bytes on a new connection and read one response."""
    reader, writer = await asyncio.open_connection(
        *link.split_address(address), ssl=tls
    )
    try:
        writer.write(data)
        return await read_reply(reader, method)
    finally:
        writer.close()
