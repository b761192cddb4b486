"""Synthetic counters of a cluster in which some proxies change, to measure when a release gate alarms.

Proxies differ from each other, and disturbances affect all alike. This module must never judge: that is the
gate's part.
"""

from __future__ import annotations

import random

from arrowseam.rollouts import gates

BASELINE_SECONDS = 60  # before the change


def seconds_to_alarm(
    seed: int,
    failure_factor: float = 1.0,
    log_slowdown: float = 0.0,
    changed: int = 3,
    proxies: int = 12,
    seconds: int = 60,
    alpha: float = 0.01,
) -> int | None:
    """The second after the change at which the gate alarms; None if it does not.

    At the ``changed`` proxies, failures are ``failure_factor`` times as frequent, and the logarithm of the
    times to UP is greater by ``log_slowdown``. Each proxy has 15 to 25 set-ups a second.
    """
    rnd, history, shared_factor = random.Random(seed), gates.CounterHistory(), 1.0
    names = [f"p{n}" for n in range(proxies)]
    failure_rates = [rnd.uniform(0.005, 0.02) for _ in names]
    setups, failures, ups = ([0] * proxies for _ in range(3))
    log_time_sums = [0.0] * proxies
    gate = None
    for second in range(BASELINE_SECONDS + seconds):
        shared_factor = max(0.3, min(3.0, shared_factor * rnd.lognormvariate(0, 0.1)))
        for n, name in enumerate(names):
            is_changed = n < changed and second >= BASELINE_SECONDS
            count = rnd.randint(15, 25)
            rate = min(1.0, failure_rates[n] * shared_factor * (failure_factor if is_changed else 1.0))
            failed = sum(rnd.random() < rate for _ in range(count))
            up = count - failed
            setups[n], failures[n], ups[n] = setups[n] + count, failures[n] + failed, ups[n] + up
            log_time_sums[n] += rnd.gauss(
                (3 + 0.1 * shared_factor + (log_slowdown if is_changed else 0.0)) * up, 0.5 * up**0.5
            )
            history.record(
                second, name, 1, gates.Counters(setups[n], failures[n], 0, 0, 50, ups[n], log_time_sums[n])
            )
        if second == BASELINE_SECONDS:
            gate = gates.Gate(history, names[:changed], names[changed:], BASELINE_SECONDS, BASELINE_SECONDS)
        if gate is not None:
            gate.update(second + 1, rnd)
            if gate.wealth * alpha >= 1:
                return second - BASELINE_SECONDS + 1
    return None
