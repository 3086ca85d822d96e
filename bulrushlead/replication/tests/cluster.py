"""A cluster of replicas in one process, for tests."""

import cbor2


class Recorder:
    """State machine that keeps every command and answers with it."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return command

    def snapshot(self):
        return cbor2.dumps(self.commands)

    def restore(self, data):
        self.commands = cbor2.loads(data)
