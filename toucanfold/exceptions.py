"""Typed errors; every message states the problem and its remedy."""


class ToucanfoldError(Exception):
    """Base of all errors, with a message and the remedy for an operator."""

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}. Remedy: {remedy}.")
        self.message = message
        self.remedy = remedy


class SettingsError(ToucanfoldError):
    """A settings file holds an unknown, missing or invalid value."""

    def __init__(self, file: str, section: str, option: str, message: str, remedy: str):
        super().__init__(f"{file}: [{section}] {option}: {message}", remedy)
        self.file = file
        self.section = section
        self.option = option


class ValidationError(ToucanfoldError):
    """A profile, route, client account, key or command is invalid."""


class ConflictError(ToucanfoldError):
    """The expected revision of an object is not its current revision."""

    def __init__(self, message: str, remedy: str, present_revision: int):
        super().__init__(message, remedy)
        self.present_revision = present_revision


class NotLeaderError(ToucanfoldError):
    """The control instance is not the leader or could not confirm its leadership."""

    def __init__(self, message: str, remedy: str, leader: str | None = None):
        super().__init__(message, remedy)
        self.leader = leader


class StorageError(ToucanfoldError):
    """The data directory cannot be read or written."""


class DiskFullError(StorageError):
    """The data directory is out of space, so changes are refused."""


class CorruptionError(StorageError):
    """A stored file is damaged at a known offset."""

    def __init__(self, file: str, offset: int, message: str, remedy: str):
        super().__init__(f"{file} at offset {offset}: {message}", remedy)
        self.file = file
        self.offset = offset


class LinkError(ToucanfoldError):
    """A link to another process could not be opened, or was lost."""


class AuthenticationError(LinkError):
    """The peer did not prove that it knows the fleet secret."""


class HttpError(ToucanfoldError):
    """An HTTP peer violated the protocol or exceeded a limit."""

    def __init__(self, status: int, kind: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.status = status
        self.kind = kind


class UnknownPluginError(ToucanfoldError):
    """A profile or setting names a plug-in that is not registered."""


class AdminError(ToucanfoldError):
    """The operators' API responded with an error."""

    def __init__(self, status: int, kind: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.status = status
        self.kind = kind


class TargetError(ToucanfoldError):
    """A target could not be reached, or its response is missing or malformed.

    sent tells whether any byte of the request was sent to the target, answered
    whether the head of its response arrived, and refused whether nothing listens at
    its address.
    """

    def __init__(
        self,
        message: str,
        sent: bool,
        answered: bool = False,
        refused: bool = False,
    ):
        super().__init__(message, "check that the target runs and speaks HTTP/1.1")
        self.sent = sent
        self.answered = answered
        self.refused = refused


class BodyAbortedError(ToucanfoldError):
    """A body ended before it was complete."""

    def __init__(self, message: str):
        super().__init__(message, "repeat the request if that is safe")


class CallError(ToucanfoldError):
    """A call through the client library failed; outcome tells whether it ran."""

    def __init__(
        self, message: str, remedy: str, kind: str, outcome: str, status: int = 0
    ):
        super().__init__(message, remedy)
        self.kind = kind
        self.outcome = outcome
        self.status = status
        self.retry_after_s = 0.0
        self.request_id = ""
        self.attempts = 1
        self.lost_connections = 0


class ConnectionFailedError(CallError):
    """No entry address accepted a connection, so the call did not run."""


class ConnectionLostError(CallError):
    """The connection closed before the response, so the outcome is unknown."""


class CallDeadlineError(CallError):
    """The deadline passed before a response arrived."""


class RefusedError(CallError):
    """A daemon refused the call."""


class KeyRefusedError(RefusedError):
    """The key is missing, unknown or withdrawn."""


class RateExceededError(RefusedError):
    """The client account is above its rate and burst."""


class OverloadedError(RefusedError):
    """No capacity is free now; the call may be resent later."""


class OutcomeUnknownError(RefusedError):
    """The call may have run; look up its result before resending it."""


class TargetFailedError(RefusedError):
    """The target failed or responded with an error."""


class DemoError(ToucanfoldError):
    """A step of the demonstration did not have the expected result."""
