"""Blocking client of the operators' API; it retries requests safely."""

import base64
import contextlib
import json
import secrets
import socket
import ssl
import time
from typing import Any

import h11
from returns import result

from toucanfold import exceptions, link

READ_SIZE_BYTES = 65536
TIMEOUT_S = 10.0
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.3
# HTTP status codes after which the same operation may be retried.
RETRYABLE_STATUSES = (502, 503, 504)

Answer = result.Result[dict[str, Any], exceptions.ToucanfoldError]


def new_operation_id() -> str:
    """Return a random operation id."""
    return secrets.token_hex(12)


def tls_context(authority: str) -> ssl.SSLContext | None:
    """Return a context that trusts a CA file, None for an empty name (no TLS)."""
    return ssl.create_default_context(cafile=authority) if authority else None


def send_request(
    address: str,
    method: str,
    path: str,
    fields: dict[str, Any] | None = None,
    credential: str = "",
    timeout_s: float = TIMEOUT_S,
    tls: ssl.SSLContext | None = None,
) -> tuple[int, Any]:
    """Send one request; return status and JSON value, OSError if there is none."""
    body = b"" if fields is None else json.dumps(fields).encode()
    headers = [("Host", address), ("Content-Length", str(len(body)))]
    if credential:
        encoded = base64.b64encode(credential.encode()).decode()
        headers.append(("Authorization", f"Basic {encoded}"))
    connection = h11.Connection(h11.CLIENT)
    host, port = link.split_address(address)
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.create_connection((host, port), timeout_s))
        if tls is not None:
            secured = tls.wrap_socket(sock, server_hostname=host)
            sock = stack.enter_context(secured)
        request = h11.Request(method=method, target=path, headers=headers)
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            sock.sendall(connection.send(event) or b"")
        return _receive(connection, sock)


def _receive(connection: h11.Connection, sock: socket.socket) -> tuple[int, Any]:
    status, body = 0, bytearray()
    try:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(sock.recv(READ_SIZE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, json.loads(body)
            else:
                raise OSError("the connection closed before the response was complete")
    except (h11.ProtocolError, ValueError) as error:
        raise OSError(f"the response is invalid: {error}") from error


class Client:
    """Sends operations to the first instance that responds.

    A change keeps its operation id over all attempts, so it is applied once even
    if a response is lost.
    """

    def __init__(
        self,
        addresses: list[str],
        credential: str,
        tls: ssl.SSLContext | None = None,
    ):
        self._addresses = addresses
        self._credential = credential
        self._tls = tls

    def read(self, path: str) -> Answer:
        """Get a resource."""
        return self._send("GET", path, None)

    def submit(self, method: str, path: str, fields: dict[str, Any]) -> Answer:
        """Send a change, with a new operation id unless the fields hold one."""
        fields.setdefault("operation", new_operation_id())
        return self._send(method, path, fields)

    def _send(self, method: str, path: str, fields: dict[str, Any] | None) -> Answer:
        problem: exceptions.ToucanfoldError | None = None
        for attempt in range(MAX_ATTEMPTS):
            address = self._addresses[attempt % len(self._addresses)]
            if attempt >= len(self._addresses):
                time.sleep(RETRY_DELAY_S)
            try:
                status, value = send_request(
                    address,
                    method,
                    path,
                    fields,
                    self._credential,
                    tls=self._tls,
                )
            except OSError as error:
                problem = exceptions.LinkError(
                    f"no response from {address}: {error}", _resend_remedy(fields)
                )
                continue
            if status == 200:
                return result.Success(value)
            problem = _response_error(status, value, fields)
            if status not in RETRYABLE_STATUSES:
                return result.Failure(problem)
        assert problem is not None
        return result.Failure(problem)


def _resend_remedy(fields: dict[str, Any] | None) -> str:
    if fields is None:
        return "check the address"
    remedy = f"send it again with --operation={fields['operation']}"
    return f"{remedy} --seed={fields['seed']}" if "seed" in fields else remedy


def _response_error(
    status: int, value: Any, fields: dict[str, Any] | None
) -> exceptions.AdminError:
    error = value.get("error", {}) if isinstance(value, dict) else {}
    remedy = error.get("remedy", "see the control instance's log")
    if status in RETRYABLE_STATUSES and fields is not None:
        remedy = _resend_remedy(fields)
    message = error.get("message", f"status {status}")
    return exceptions.AdminError(status, error.get("kind", "unknown"), message, remedy)
