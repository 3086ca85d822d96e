"""Shares are never used twice, whatever messages, clocks and processes do."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bulrushlead.leases.tests.schedule import check
from bulrushlead.leases.tests.world import DRIFTS, World

NUMBER = st.integers(0, 1_000)


class LeaseMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()

    @initialize(known=st.booleans())
    def build(self, known):
        self.world = World(known=known)

    def host(self, number):
        return self.world.hosts[number % len(self.world.hosts)]

    @rule(milliseconds=st.sampled_from((1, 20, 110, 300, 950, 1_100, 3_100)))
    def advance(self, milliseconds):
        self.world.advance(milliseconds)

    @rule(number=NUMBER)
    def send(self, number):
        self.world.send(self.host(number))

    @rule(number=NUMBER)
    def receive_any(self, number):
        if self.world.requests:
            self.world.receive(number % len(self.world.requests))

    @rule(number=NUMBER)
    def receive_latest(self, number):
        if self.world.requests:
            self.world.receive(-1)

    @rule(number=NUMBER, pick=NUMBER)
    def apply_any(self, number, pick):
        host = self.host(number)
        if host.inbox:
            self.world.apply(host, pick % len(host.inbox))

    @rule(number=NUMBER)
    def renew(self, number):
        self.world.renew(self.host(number), rounds=1)

    @rule()
    def renew_all(self):
        for host in self.world.hosts:
            self.world.renew(host)

    @rule(number=NUMBER, name=st.sampled_from("abc"), waiting=st.integers(0, 5))
    def want(self, number, name, waiting):
        server = self.world.servers[name]
        holder = self.host(number).holder
        holder.note_demand(server.service, server.region, waiting)

    @rule(number=NUMBER, name=st.sampled_from("abc"), share=st.sampled_from((0.1, 1)))
    def take(self, number, name, share):
        self.world.take(self.host(number), name, share)

    @rule(number=NUMBER)
    def spend(self, number):
        self.world.spend(self.host(number))

    @rule(number=NUMBER)
    def freeze_or_thaw(self, number):
        host = self.host(number)
        host.frozen = not host.frozen

    @rule(number=NUMBER, drift=st.sampled_from(DRIFTS))
    def restart_host(self, number, drift):
        self.world.restart(self.host(number), drift)

    @rule(drift=st.sampled_from(DRIFTS))
    def change_leader(self, drift):
        self.world.change_leader(drift)

    @rule(name=st.sampled_from("abc"), draining=st.booleans())
    def drain(self, name, draining):
        self.world.change_server(name, draining=draining)

    @rule(name=st.sampled_from("abc"), number=NUMBER, slots=st.sampled_from((1, 3, 4)))
    def restart_server(self, name, number, slots):
        self.world.change_server(name, incarnation=str(number), slots=slots)

    @rule(amount=st.integers(0, 20))
    def change_limit(self, amount):
        self.world.change_limit(amount)

    @invariant()
    def no_share_is_used_twice(self):
        check(self.world)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=100, stateful_step_count=60)
