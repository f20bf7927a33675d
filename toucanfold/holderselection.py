"""Selects the daemons whose share holders serve the entries around them."""

import hashlib

from toucanfold import fairshare, model

# Holders that are asked for a token before an entry uses its own.
MAX_CANDIDATES = 2

# Region, data centre and name of a daemon. Daemons whose places agree in the first
# items form a group: a single daemon, a data centre, a region or the whole fleet.
Place = tuple[str, str, str]


class HolderSelector:
    """Selects the holder of each account for one entry.

    A share is useful only if it holds several whole tokens. An account's capacity is
    therefore divided among few enough groups of daemons, and one daemon of each group
    holds the share for all entries of the group. Daemons that know different states
    may select different holders; the holders' shares still fit the account's limits.
    """

    __slots__ = ("_accounts", "_group_counts", "_own", "_ranked", "_targets")

    def __init__(self, region: str, data_centre: str, name: str):
        self._own: Place = (region, data_centre, name)
        self._accounts: dict[str, model.Account] = {}
        self._targets: dict[Place, model.Target] = {}
        # Number of groups by the number of items in which places agree.
        self._group_counts = [1] * (len(self._own) + 1)
        self._ranked: dict[tuple[str, int], list[model.Target]] = {}

    def on_state(self, state: model.FleetState) -> None:
        """Apply the accounts and the targets of a new fleet state."""
        self._accounts = state.accounts
        targets = {
            (target.region, target.data_centre, target.name): target
            for target in state.targets.values()
            if target.state == "up"
        }
        if targets != self._targets:
            self._targets = targets
            self._ranked = {}
            self._group_counts = [
                max(1, len({place[:length] for place in targets}))
                for length in range(len(self._own) + 1)
            ]

    def candidates(self, account: str) -> list[model.Target]:
        """Return the daemons to ask for a token, best first; empty for the own one."""
        length = self._group_length(account)
        if length == len(self._own):
            return []
        ranked = self._ranked.get((account, length))
        if ranked is None:
            ranked = self._ranked[account, length] = self._rank(account, length)
        return ranked

    def _group_length(self, account: str) -> int:
        """Return in how many items of their places the daemons of a group agree."""
        limit = self._accounts.get(account)
        if limit is None:
            return len(self._own)
        max_holders = limit.capacity / fairshare.MIN_TOKENS_PER_HOLDER
        for length in range(len(self._own), 0, -1):
            if self._group_counts[length] <= max_holders:
                return length
        return 0

    def _rank(self, account: str, length: int) -> list[model.Target]:
        """Rank the group by rendezvous hashing, up to this daemon.

        Few accounts move to another holder when a daemon joins or leaves.
        """
        group = [
            (_hash(account, place[-1]), place)
            for place in self._targets
            if place[:length] == self._own[:length]
        ]
        places = [place for _, place in sorted(group)[:MAX_CANDIDATES]]
        if self._own in places:
            places = places[: places.index(self._own)]
        return [self._targets[place] for place in places]


def _hash(account: str, name: str) -> bytes:
    return hashlib.blake2b(f"{account} {name}".encode(), digest_size=8).digest()
