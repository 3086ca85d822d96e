"""Soak in which hosts change between an earlier build and this one.

The earlier build is a commit of the repository's history, the one in production if none
is named. All hosts start with it; then each of them is stopped as planned and started
with this build, one after the other, while faults and traffic go on. Some go back, and
forward once more.
"""

import subprocess
import tarfile
import tomllib

from tests.soak.faults import FAULTS
from tests.soak.harness import Harness
from tests.soak.processes import ROOT

# Share of the hosts that go back to the earlier build after all have left it.
REVERTED_SHARE = 0.4


class HistoryMissingError(Exception):
    """The repository does not have the commit of the earlier build."""


def production_commit():
    """Return the commit that ``deploy/system.toml`` names as the one in production."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]


def extract(commit, folder):
    """Write the source of a commit to a folder.

    Raises
    ------
    HistoryMissingError
        If the repository does not have it, as after a shallow clone.
    """
    archive = folder / "source.tar"
    command = ["git", "archive", "--format=tar", f"--output={archive}", commit]
    result = subprocess.run(
        [*command, "bulrushlead", "tests", "conftest.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise HistoryMissingError(f"no source of {commit}: {result.stderr.strip()}")
    source = folder / "source"
    with tarfile.open(archive) as files:
        files.extractall(source, filter="data")
    return source


class UpgradeHarness(Harness):
    """A deployment whose hosts are replaced one after the other.

    Parameters
    ----------
    seed, fault_duration_s, logs, edges
        As for ``Harness``. Faults also go on while hosts are replaced.
    commit : str
        Commit of the earlier build.
    """

    def __init__(self, seed, fault_duration_s, commit, logs=None, **counts):
        super().__init__(seed, fault_duration_s, logs, **counts)
        # Faults of all kinds: the harness reserves some seeds for a few kinds.
        self.faults = FAULTS
        self.earlier = extract(commit, self.folder)
        for host in (*self.cores, *self.edges):
            host.source = self.earlier

    async def _inject_faults(self):
        replacement = self.spawn(self._replace_hosts())
        await super()._inject_faults()
        await replacement

    async def _replace_hosts(self):
        hosts = [*self.cores, *self.edges]
        for source in (ROOT, self.earlier, ROOT):
            chosen = hosts
            if source == self.earlier:
                chosen = self.rng.sample(hosts, int(REVERTED_SHARE * len(hosts)))
            for host in self.rng.sample(chosen, len(chosen)):
                if host.source != source:
                    await self._replace(host, source)

    async def _replace(self, host, source):
        """Stop a host as planned, and start it with another build."""
        is_core = host.kind == "core"
        # The system tolerates the loss of one core host at a time.
        while is_core and self.core_fault_active:
            await self.sleep_between(0.05, 0.2)
        if is_core:
            self.core_fault_active = True
            self.checker.record_fault()
        host.source = source
        if host.alive and not host.paused:
            await host.stop()
        await host.start()
        build = "this" if source == ROOT else "the earlier"
        self.history.append(f"{self.clock():.1f} s {host.name} runs {build} build")
        if is_core:
            self.checker.record_fault()
            # As for faults: until the host has caught up with the log.
            await self.sleep_between(3.0, 4.0)
            self.core_fault_active = False
