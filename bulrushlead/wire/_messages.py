"""Messages common to every connection."""

from bulrushlead.wire._codec import message


@message("wire.error")
class ErrorReply:
    """Reply to a call that failed.

    Parameters
    ----------
    code : int
        Result code.
    detail : str
        What is wrong, and the remedy.
    """

    code: int
    detail: str
