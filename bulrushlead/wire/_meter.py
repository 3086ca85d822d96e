"""Counts the control traffic of one process."""


class ByteMeter:
    """Total bytes and messages, sent and received."""

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0

    def record_sent(self, size_bytes: int) -> None:
        """Count one message sent."""
        self.sent_bytes += size_bytes
        self.sent_messages += 1

    def record_received(self, size_bytes: int) -> None:
        """Count one message received."""
        self.received_bytes += size_bytes
        self.received_messages += 1
