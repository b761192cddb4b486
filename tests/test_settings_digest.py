"""The digest by which proxies compare settings is equal to that of the previous version for equal settings.

It is part of what a member reports. If a version computed another digest for the same settings, operators
would see old and new proxies as configured differently throughout a rolling upgrade.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from arrowseam.config.proxy import read_config
from arrowseam.membership.settings_digest import settings_digest

RECORDED: dict[str, Any] = json.loads(
    (Path(__file__).parent / "data" / "wire" / "settings_digest.json").read_text()
)


def digest(name: str, **changes: Any) -> str:
    document = RECORDED[name]["config"]
    return settings_digest(
        read_config(json.dumps(document | {"settings": document["settings"] | changes}).encode())
    )


@pytest.mark.parametrize("name", list(RECORDED))
def test_the_digest_equals_that_of_the_previous_version(name: str) -> None:
    assert digest(name) == RECORDED[name]["digest"]


def test_only_the_own_index_of_a_proxy_is_left_out() -> None:
    assert digest("another proxy") == digest("same count")
    assert digest("base") != digest("another proxy")


@pytest.mark.parametrize(
    "change",
    [
        {"tick": 5000},
        {"over_share_worth": 0.25},
        {"prices": {"waste": 0.5}},
        {"caps": {"peers": True}},
        {"my_zone": 1},
    ],
)
def test_every_other_setting_changes_the_digest(change: dict[str, Any]) -> None:
    assert digest("base", **change) != digest("base")
