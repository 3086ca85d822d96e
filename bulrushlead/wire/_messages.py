"""Messages that every connection understands."""

from bulrushlead.wire._codec import message


@message("wire.error")
class ErrorReply:
    """Reply to a call that failed.

    Parameters
    ----------
    code : int
        Result code.
    detail : str
        What is wrong and what to do about it.
    """

    code: int
    detail: str
