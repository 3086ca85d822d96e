"""Storage with limited room, for the tests of full disks."""

import errno

from bulrushlead.replication import MemoryStorage


class LimitedStorage(MemoryStorage):
    """Storage that refuses writes beyond its room, after the part that still fits.

    Attributes
    ----------
    room_bytes : int or None
        Total size of the files that fit; None without a limit.
    refused_step : str
        Further step that fails while the room is limited; empty if there is none.
    refusals : int
        Number of steps that failed.
    """

    room_bytes = None
    refused_step = ""
    refusals = 0

    @property
    def used_bytes(self):
        return sum(len(file.content) for file in self._files.values())

    def crash(self, rng=None):
        survivor = super().crash(rng)
        limited = LimitedStorage(self.before_step, self.before_run)
        limited._files, limited._synced_files = survivor._files, survivor._synced_files
        limited.room_bytes, limited.refused_step = self.room_bytes, self.refused_step
        return limited

    def append(self, name, data):
        if self.room_bytes is None:
            return super().append(name, data)
        left_bytes = max(0, self.room_bytes - self.used_bytes)
        super().append(name, data[:left_bytes])
        if left_bytes < len(data):
            self._refuse()
        return None

    def _step(self, step, name):
        super()._step(step, name)
        if self.room_bytes is not None and step == self.refused_step:
            self._refuse()

    def _refuse(self):
        self.refusals += 1
        raise OSError(errno.ENOSPC, "No space left on device")

    def fill(self):
        """Take all of the room that is left."""
        self.room_bytes = self.used_bytes
