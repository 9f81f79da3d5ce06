"""Errors that several modules of this package raise."""


class GovernorError(Exception):
    """Base class of all errors of a governor; subclasses say what failed and what has to be done."""


class RequestRejectedError(GovernorError):
    """A request is rejected.

    Attributes:
        status: status code of the HTTP response.
        reason: text of the HTTP response.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Creates the error from the status code and the text of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class StateError(GovernorError, OSError):
    """The state folder can't be used; the message says why and what the operator can do."""
