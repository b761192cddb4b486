"""The cordon file holds only what operators have cordoned, not what is cordoned by a drain."""

from __future__ import annotations

from pathlib import Path

import pytest
from network import ProxyNetwork

from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.proxy.hot_restart import ProxyHotRestart


class DrainingCluster:
    """A cluster in which a rollout drains ``drained``, and operators have cordoned ``cordoned``."""

    def __init__(self, drained: set[str], cordoned: set[str]) -> None:
        self.drained, self.cordoned = drained, cordoned

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        return endpoint in self.drained

    def is_cordoned_by_operators(self, endpoint: str) -> bool:
        return endpoint in self.cordoned


@pytest.mark.parametrize(
    ("drained", "cordoned", "commands", "saved"),
    [
        pytest.param({"s0"}, set(), ["cordon s1"], ["s1"], id="drained only"),
        pytest.param({"s0"}, {"s0"}, ["cordon s1"], ["s0", "s1"], id="cordoned, then drained"),
        pytest.param({"s0"}, set(), ["cordon s0"], ["s0"], id="drained, then cordoned"),
        pytest.param(set(), set(), ["cordon s1", "cordon s2", "uncordon s1"], ["s2"], id="cordoned only"),
    ],
)
def test_an_endpoint_that_is_only_drained_is_not_saved(
    tmp_path: Path, drained: set[str], cordoned: set[str], commands: list[str], saved: list[str]
) -> None:
    """If the file held drained endpoints, one whose drain ended while the proxy was down would stay cordoned
    at this proxy for ever.
    """
    world = ProxyNetwork("lines", "up", "up", "up")
    world.proxy.cluster = DrainingCluster(drained, cordoned)
    cordon_file = CordonFile(tmp_path, "n0", "127.0.0.1:1")
    restart = ProxyHotRestart(world.proxy, RestartSocket(tmp_path, "n0", "127.0.0.1:1"), cordon_file)
    for endpoint in drained:
        world.driver.cordon_by_name(endpoint, True)
    for command in commands:
        assert world.control(command.encode() + b"\n") == b"ACK\n"
    assert sorted(cordon_file.load()) == saved
    assert set(restart.export_state().cordoned) <= set(saved)
    world.close()
