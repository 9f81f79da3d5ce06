"""The errors of this package that are not raised in one module alone."""


class GovernorError(Exception):
    """Base of all errors of a governor; subclasses say what failed and what to do."""


class RequestRejectedError(GovernorError):
    """A request that cannot be answered; the text says why.

    Attributes:
        status: the status of the HTTP response.
        reason: its text.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Keeps the status and the text of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class StateError(GovernorError, OSError):
    """The state folder can't be used; the text says why, and what to do."""
