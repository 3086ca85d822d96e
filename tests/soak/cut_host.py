"""Entry point of a gateway whose links to all servers can be cut from outside.

A proxy accepts every connection, so that the opening of one can neither hang nor be
refused there. This process runs the program unchanged but for its pool of connections
to servers, which follows a file beside the settings: two words, what new connections do
and what open ones do (see ``CutPool``). Without the file nothing is cut.
"""

import asyncio
import os
from pathlib import Path

from bulrushlead.gateway import _program
from bulrushlead.gateway.tests.host_fleet import CutPool
from bulrushlead.platform._main import SETTINGS_VARIABLE, main
from tests.soak.processes import CUT_FILE

POLL_S = 0.05


class WatchingCutPool(CutPool):
    """A pool that cuts and heals its links as the file says."""

    def __init__(self, clock, id_header):
        super().__init__(clock, id_header)
        self.path = Path(os.environ[SETTINGS_VARIABLE]).with_name(CUT_FILE)
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self):
        applied = ""
        while True:
            wanted = self.path.read_text() if self.path.exists() else ""
            if wanted != applied:
                applied = wanted
                if wanted:
                    self.cut(*wanted.split())
                else:
                    self.heal()
            await asyncio.sleep(POLL_S)


if __name__ == "__main__":
    _program.ConnectionPool = WatchingCutPool
    main()
