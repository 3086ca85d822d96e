"""Backend servers: how they announce themselves, and a sample server."""

from bulrushlead.backend._model import Announcement, BackendServer

__all__ = ["Announcement", "BackendServer"]
