"""What the file of cordons takes in, and what a process that crashed and starts again has out by it."""

from __future__ import annotations

from pathlib import Path

import pytest
from network import World

from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.proxy.hot_restart import ProxyHotRestart


class DrainingCluster:
    """A cluster in which ``drained`` are out by a drain, and ``cordoned`` by hand at all proxies."""

    def __init__(self, drained: set[str], cordoned: set[str]) -> None:
        self.drained, self.cordoned = drained, cordoned

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        return endpoint in self.drained

    def is_cordoned_by_operators(self, endpoint: str) -> bool:
        return endpoint in self.cordoned


@pytest.mark.parametrize(
    ("drained", "by_hand", "orders", "kept"),
    [
        pytest.param({"s0"}, set(), ["cordon s1"], ["s1"], id="a drained one"),
        pytest.param({"s0"}, {"s0"}, ["cordon s1"], ["s0", "s1"], id="drained, and cordoned by hand before"),
        pytest.param({"s0"}, set(), ["cordon s0"], ["s0"], id="drained, and now cordoned by hand"),
        pytest.param(set(), set(), ["cordon s1", "cordon s2", "uncordon s1"], ["s2"], id="by hand only"),
    ],
)
def test_what_is_out_by_a_drain_only_is_not_kept_over_a_crash(
    tmp_path: Path, drained: set[str], by_hand: set[str], orders: list[str], kept: list[str]
) -> None:
    """An endpoint that was undrained while the proxy was down stayed out at it, by the file, for ever."""
    world = World("lines", "up", "up", "up")
    world.proxy.cluster = DrainingCluster(drained, by_hand)
    cordon_file = CordonFile(tmp_path, "n0", "127.0.0.1:1")
    restart = ProxyHotRestart(world.proxy, RestartSocket(tmp_path, "n0", "127.0.0.1:1"), cordon_file)
    for endpoint in drained:
        world.driver.cordon_by_name(endpoint, True)
    for order in orders:
        assert world.control(order.encode() + b"\n") == b"ACK\n"
    assert sorted(cordon_file.load()) == kept
    assert set(restart.export_state().cordoned) <= set(kept)
    world.close()
