"""Units shared by the decision modules. All times and durations are whole microseconds."""

SECOND = 1_000_000  # microseconds
NEVER = -(1 << 62)  # a time before all others
