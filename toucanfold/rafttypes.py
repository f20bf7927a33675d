"""Constants and small types of the consensus protocol."""

import dataclasses
import enum

from toucanfold import messages, raftlog

HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 0.9
# Interval between announcements of an instance that is not, or may no longer be, a
# member.
ANNOUNCE_INTERVAL_S = 0.2
# A pending join expires after this time without an announcement. Followers report the
# announcements that they receive to the leader about twice a second.
PENDING_JOIN_TTL_S = 1.5
# A member without contact to a leader for this long announces itself, since it may
# have been replaced.
REJOIN_AFTER_S = 2.0
MAX_COMMAND_BYTES = 512 * 1024
# Entries kept before a snapshot, for followers that are slightly behind.
RETAINED_ENTRY_COUNT = 500


class Kind(enum.IntEnum):
    """Kinds of messages between members; pycapnp takes them only as plain int."""

    ANNOUNCE = 1
    BOOTSTRAP = 2
    PRE_VOTE = 3
    PRE_VOTE_REPLY = 4
    VOTE = 5
    VOTE_REPLY = 6
    APPEND = 7
    APPEND_REPLY = 8
    SNAPSHOT = 9
    SNAPSHOT_REPLY = 10
    TIMEOUT_NOW = 11


class Role(enum.StrEnum):
    """Current role of a member; uninitialized means without any state."""

    UNINITIALIZED = "blank"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Ready:
    """Work for the driver, in this order.

    Store snapshot, vote (term and vote, unless None) and entries; call Raft.on_stored;
    send the messages in late.
    """

    late: list[messages.Raft]
    snapshot: raftlog.Snapshot | None
    vote: tuple[int, str] | None
    entries: list[messages.Entry]

    @property
    def is_durable(self) -> bool:
        """Whether something must be stored before the late messages are sent."""
        return bool(self.entries or self.vote or self.snapshot)


@dataclasses.dataclass(slots=True, frozen=True)
class BootstrapConfig:
    """How an uninitialized member starts.

    addresses holds the link addresses of all members of a new fleet by name. A joining
    member waits until a leader adds it.
    """

    addresses: dict[str, str]
    joining: bool = False
    own_address: str = ""
