"""Made figures of a fleet in which some proxies change, to see when a gate alarms.

It owns the model: proxies that differ from each other, weather that befalls all alike. It must never judge.
"""

from __future__ import annotations

import random

from arrowseam.rollouts import gates

BEFORE = 60  # seconds


def alarm(
    seed: int,
    fail: float = 1.0,
    slow: float = 0.0,
    changed: int = 3,
    proxies: int = 12,
    seconds: int = 60,
    alpha: float = 0.01,
) -> int | None:
    """The second after the change at which there is an alarm. Of those changed failures are ``fail`` times as
    many, and the logarithm of times to UP is ``slow`` more; each proxy has 15 to 25 set-ups a second."""
    rnd, held, weather = random.Random(seed), gates.CounterHistory(), 1.0
    names = [f"p{n}" for n in range(proxies)]
    own = [rnd.uniform(0.005, 0.02) for _ in names]
    setups, failures, ups = ([0] * proxies for _ in range(3))
    sums = [0.0] * proxies
    gate = None
    for second in range(BEFORE + seconds):
        weather = max(0.3, min(3.0, weather * rnd.lognormvariate(0, 0.1)))
        for n, name in enumerate(names):
            worse = n < changed and second >= BEFORE
            count = rnd.randint(15, 25)
            rate = min(1.0, own[n] * weather * (fail if worse else 1.0))
            failed = sum(rnd.random() < rate for _ in range(count))
            up = count - failed
            setups[n], failures[n], ups[n] = setups[n] + count, failures[n] + failed, ups[n] + up
            sums[n] += rnd.gauss((3 + 0.1 * weather + (slow if worse else 0.0)) * up, 0.5 * up**0.5)
            held.record(second, name, 1, gates.Counters(setups[n], failures[n], 0, 0, 50, ups[n], sums[n]))
        if second == BEFORE:
            gate = gates.Gate(held, names[:changed], names[changed:], BEFORE, BEFORE)
        if gate is not None:
            gate.update(second + 1, rnd)
            if gate.wealth * alpha >= 1:
                return second - BEFORE + 1
    return None
