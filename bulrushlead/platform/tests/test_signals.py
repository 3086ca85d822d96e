"""Signals and changed settings while a process starts."""

import asyncio
import os
import signal
import sys

from bulrushlead.platform import _main
from bulrushlead.platform._settings import load_host_settings
from bulrushlead.platform.tests.samples import SETTINGS


async def test_a_reload_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against a SIGHUP whose default action ends a starting process."""
    path = tmp_path / "boot.toml"
    os.mkfifo(path)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bulrushlead.platform"),
        env={**os.environ, _main.SETTINGS_VARIABLE: str(path)},
        stderr=asyncio.subprocess.DEVNULL,
    )

    def reload_while_settings_are_read():
        with path.open("w") as file:  # opens when the process reads its settings
            process.send_signal(signal.SIGHUP)
            file.write("no settings")

    try:
        await asyncio.to_thread(reload_while_settings_are_read)
        assert await asyncio.wait_for(process.wait(), 30) == _main.EXIT_SETTINGS
    finally:
        if process.returncode is None:
            process.kill()


async def test_settings_that_change_during_the_start_are_loaded(tmp_path, monkeypatch):
    """Guards against a change between the load and the first check of the file."""
    monkeypatch.setattr(_main, "SETTINGS_CHECK_MS", 10)
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    fingerprint = _main.file_fingerprint(str(path))
    settings = load_host_settings(str(path))
    process = _main.Process(settings, str(path), None, fingerprint)
    path.write_text(SETTINGS.replace("10.2.0.42", "10.2.0.43"))
    loaded = asyncio.Event()
    process._reload_callbacks.append(lambda new: loaded.set())
    watcher = asyncio.create_task(process._watch_settings())
    await asyncio.wait_for(loaded.wait(), 5)
    watcher.cancel()
    assert process.settings.seeds[1] == "10.2.0.43:7720"
