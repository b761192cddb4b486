"""The fleet in zones on a virtual clock, under drawn and hard faults: judged by what came out."""

from __future__ import annotations

import pytest

from arrowseam.lab.schedules import ZonePlayer, draw_zones

# --- drawn schedules --------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(41))
def test_drawn_schedules_keep_every_promise(seed: int) -> None:
    verdict = ZonePlayer(draw_zones(seed)).play()
    assert verdict.broken == []
