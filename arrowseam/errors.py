"""The base class of all errors that arrowseam raises deliberately."""

from __future__ import annotations


class ArrowseamError(Exception):
    """The base class; the message is one line that names the place and the reason."""


class UsageError(ArrowseamError, ValueError):
    """An internal interface was called with an invalid argument; the message names the value."""
