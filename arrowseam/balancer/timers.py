"""Tokens of the balancer's own timers. A token below 2^32 is a request id: that request's queue timeout."""

_FIRST = 1 << 32

POLL_TIMER = _FIRST  # call the discovery service
QUEUE_TIMER = _FIRST + 1  # re-evaluate the queued requests
MIGRATION_TIMER = _FIRST + 2  # continue migrating connections off draining and cordoned endpoints
SHARES_TIMER = _FIRST + 3  # continue rebuilding the shares of a large endpoint list
