"""
Which statuses of a backend server promise that a request has not run.

A caller that gets such a status sends its request again. Servers also give
these statuses for requests that have run, for example if one of their own
dependencies fails, so the status alone proves nothing. Used by the services
``dispatch`` and ``forwarding``.
"""

# By these statuses a caller knows that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def is_unproven_promise(status: int, is_idempotent: bool, is_proven: bool) -> bool:
    """
    Tell whether a response must be replaced by one that promises nothing.

    An idempotent request may run again, so its caller gets any status.

    :param status: status of the backend server's response.
    :param is_idempotent: whether the request may run more than once.
    :param is_proven: whether the response proves that this send was not run,
        and no other send may have run.
    """
    return status in NOT_RUN_STATUSES and not is_idempotent and not is_proven
