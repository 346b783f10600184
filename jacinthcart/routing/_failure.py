"""Failures that are kept."""

from jacinthcart.errors import OutcomeUnknownError


def copy_without_traceback(failure: OutcomeUnknownError) -> OutcomeUnknownError:
    """Return an equal error that refers to no frame.

    A raised error refers to the frames that it passed, and with them to all
    received bytes. Kept by an object of such a frame, it is a reference
    cycle.
    """
    return type(failure)(*failure.args)
