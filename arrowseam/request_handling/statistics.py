"""Counters of requests since the process started, updated where the events occur."""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum

from arrowseam.client_request import Request
from arrowseam.net.clock import MS, clock


class FinalAnswer(StrEnum):
    """A client's final answer; the values are part of counter names."""

    SUCCESS = "success"
    REJECTED = "overload"
    FAILED = "error"


class RequestStatistics:
    """Counters of one process.

    Attributes:
        answers: final answers by class name and kind. A request counts once, and a class that is dropped
            from the settings keeps its counts.
        connection_resets: established connections reset on the endpoint's side; unanswered ones are only
            logged.
        established: connections that were newly established, not adopted.
        establish_time_log_sum: sum of the natural logarithms of their times in milliseconds, for a
            geometric mean.
        openings_sent: openings that were completely written to an endpoint.
    """

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, str]] = Counter()
        self.connection_resets = 0
        self.established = 0
        self.establish_time_log_sum = 0.0
        self.openings_sent = 0
        self.reloads_succeeded = 0
        self.reloads_failed = 0

    def record_answer(self, request: Request, answer: FinalAnswer) -> None:
        """Count a client's final answer; unless it is a success, the request is finished."""
        self.answers[request.class_name, answer.value] += 1
        request.is_finished = answer is not FinalAnswer.SUCCESS

    def record_established(self, started_at: int) -> None:
        """Count a connection that was requested at ``started_at`` and is now established."""
        self.established += 1
        self.establish_time_log_sum += math.log(max(1.0, (clock() - started_at) / MS))
