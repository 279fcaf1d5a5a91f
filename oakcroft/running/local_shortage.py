"""Errors of connects that are due to this machine and say nothing of the peer."""

from __future__ import annotations

import errno

LOCAL_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def is_local_shortage(error: BaseException) -> bool:
    """Whether an error, or one that caused it, is a lack of descriptors or memory here.

    trio reports the error of a connect in an exception group that is its error's cause.
    """
    if isinstance(error, BaseExceptionGroup):
        return any(is_local_shortage(inner) for inner in error.exceptions)
    if isinstance(error, OSError) and error.errno in LOCAL_SHORTAGE_ERRNOS:
        return True
    return error.__cause__ is not None and is_local_shortage(error.__cause__)
