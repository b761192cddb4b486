"""Commands without a reply yet: a proxy's own, which it resends until one arrives, and those that other
proxies have sent to a leader."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

RETRY_INTERVAL = 500_000  # microseconds after which a command without a reply is resent


@dataclass
class PendingCommand:
    """An encoded command that waits for its reply."""

    data: bytes
    retry_at: int
    requested_by: str = ""  # the proxy that sent it to us; empty for our own


class PendingCommands:
    """Pending commands by id; the id makes resending a command safe."""

    def __init__(self) -> None:
        self._commands: dict[int, PendingCommand] = {}

    def __contains__(self, command_id: int) -> bool:
        return command_id in self._commands

    def add_own(self, command_id: int, data: bytes, now: int) -> None:
        """Add a command of our own."""
        self._commands[command_id] = PendingCommand(data, now + RETRY_INTERVAL)

    def add_requested(self, command_id: int, data: bytes, now: int, requested_by: str) -> None:
        """Add a command that another proxy sent to us as the leader; that proxy retries it."""
        self._commands[command_id] = PendingCommand(data, now, requested_by)

    def due_for_retry(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Our own commands that are due to be resent."""
        for command_id, command in list(self._commands.items()):
            if not command.requested_by and command.retry_at <= now:
                command.retry_at = now + RETRY_INTERVAL
                yield command_id, command.data

    def take(self, command_id: int) -> PendingCommand | None:
        """Remove a command that has been decided; None if it is not pending here."""
        return self._commands.pop(command_id, None)

    def take_own(self, command_id: int) -> PendingCommand | None:
        """Remove one of our own commands; None if it is not pending, or another proxy's."""
        command = self._commands.get(command_id)
        if command is None or command.requested_by:
            return None
        return self._commands.pop(command_id)

    def drop_requested(self) -> None:
        """Drop the commands of other proxies when we lose leadership; they will ask the next leader."""
        self._commands = {n: command for n, command in self._commands.items() if not command.requested_by}
