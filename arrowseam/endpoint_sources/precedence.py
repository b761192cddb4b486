"""Precedence: which of several records of one endpoint gives each field of the merged record."""

from __future__ import annotations

from collections.abc import Sequence

from arrowseam.endpoint_sources.records import DRAINING, READY, EndpointRecord


def merge_records(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Merge the records of one endpoint: at least one, that of the highest rank first.

    * The name is the first record's. Address, zone, machine type, cell and weight each come from the first
      record that states them: a source that is silent on a field does not override one that knows it.
    * The start is the latest: a source that has not yet been told of a restart still states the one before.
    * The endpoint drains if any record says so.
    """
    first = records[0]
    if len(records) == 1:
        return first
    cells = (record.cell for record in records if record.cell is not None)
    weights = (record.weight for record in records if record.weight is not None)
    is_ready = all(record.state == READY for record in records)
    merged = EndpointRecord(
        name=first.name,
        address=next((record.address for record in records if record.address), ""),
        zone=next((record.zone for record in records if record.zone), ""),
        machine_type=next((record.machine_type for record in records if record.machine_type), ""),
        cell=next(cells, None),
        state=READY if is_ready else DRAINING,
        weight=next(weights, None),
        started_at_ms=max(record.started_at_ms for record in records),
    )
    return first if merged == first else merged  # saves the memory of a copy
