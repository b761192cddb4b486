"""The instance table: one balancer per instance, with no shared state."""

from __future__ import annotations

import sys
from typing import BinaryIO

from arrowseam.balancer import Balancer
from arrowseam.balancer.events import Event
from arrowseam.config.decode import DecodeError, parse_settings
from arrowseam.simulator.codec import (
    EVENT_SIZE,
    HEADER,
    EventCode,
    ReplyWriter,
    decode_event,
    decode_start,
    read_batch,
)

LIFECYCLE_CODES = frozenset((EventCode.INSTANCE_STARTED, EventCode.INSTANCE_STOPPED))


class InstanceTable:
    """The balancers of the running instances, by instance number."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}

    def handle_batch(self, now: int, count: int, body: bytes) -> ReplyWriter:
        """Pass the events of a batch to their instances, in the order in which these first appear in it.

        Raises:
            DecodeError: the batch is malformed.
        """
        view = memoryview(body)
        if count * EVENT_SIZE > len(view):
            raise DecodeError(f"{count} records do not fit in {len(view)} bytes")
        tail = view[count * EVENT_SIZE :]
        reply = ReplyWriter()
        queues: dict[int, list[Event]] = {}
        for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
            code, instance = HEADER.unpack_from(view, at)
            if code in LIFECYCLE_CODES:
                # Earlier events in the batch belong to the incarnation that ends here.
                self._handle(instance, now, queues.pop(instance, []), reply)
                self.balancers.pop(instance, None)
                if code == EventCode.INSTANCE_STARTED:
                    seed, settings = decode_start(view, at, tail)
                    self.balancers[instance] = Balancer(parse_settings(settings), seed=seed)
                continue
            event = decode_event(code, view, at, tail)
            if event is not None:
                queues.setdefault(instance, []).append(event)
        for instance, events in queues.items():
            self._handle(instance, now, events, reply)
        return reply

    def _handle(self, instance: int, now: int, events: list[Event], reply: ReplyWriter) -> None:
        balancer = self.balancers.get(instance)
        if balancer is None or not events:
            return  # events of an instance that is not running are ignored
        try:
            actions = balancer.handle(now, events)
        except Exception as error:  # all are reported, since the simulator counts faults of the balancer
            reply.add_fault(instance, f"{type(error).__name__}: {error}")
            print(f"simulator: instance {instance}: {error!r}", file=sys.stderr)
            return
        for action in actions:
            reply.add(instance, action)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        DecodeError: a batch is malformed, or the input ends inside one.
    """
    table = InstanceTable()
    while (batch := read_batch(source)) is not None:
        reply = table.handle_batch(batch.now, batch.record_count, batch.body)
        sink.write(reply.frame(batch.number))
        sink.flush()
