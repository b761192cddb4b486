"""Which zones a member reports as silent, where some ways between members are cut."""

from __future__ import annotations

from arrowseam.lab.schedule_drawing import ZoneFault
from arrowseam.lab.schedules import Step, ZoneSchedule
from arrowseam.lab.simulated_cluster import MS, SECOND
from arrowseam.lab.zone_schedule_player import ZonePlayer


# --- the judgement itself ---------------------------------------------------------------------------------


def test_a_way_that_is_open_between_two_checks_is_seen_by_the_judge() -> None:
    """A cut healed and came again within half a second: the judge took both for one long cut."""
    zones = {"a": 3, "b": 3}
    names = [f"m{n}" for n in range(6)]
    cut = ZoneFault.CUT_REGION.value
    first = Step(8 * SECOND + 20 * MS, cut, tuple(names[:3]), 10 * SECOND)
    again = Step(first.at + first.span + 400 * MS, cut, tuple(names[:3]), 4 * SECOND)
    for offset in (0, 100 * MS, 200 * MS, 300 * MS, 400 * MS):
        steps = [Step(s.at + offset, s.what, s.who, s.span) for s in (first, again)]
        assert ZonePlayer(ZoneSchedule(1, 6, steps, zones)).play().broken == []
