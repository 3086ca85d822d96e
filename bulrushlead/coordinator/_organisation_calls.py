"""Calls of operators about organisations."""

from typing import TYPE_CHECKING

from bulrushlead.organisations import (
    FindKey,
    KeyHolder,
    ListOrganisations,
    OrganisationList,
)
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import TrafficPlan
from bulrushlead.wire import MessageServer

if TYPE_CHECKING:
    from bulrushlead.coordinator._publisher import FleetPublisher


class OrganisationCalls:
    """Answers these calls on the leader.

    Parameters
    ----------
    publisher : FleetPublisher
        Knows the plan and what all hosts admit.
    """

    def __init__(self, publisher: "FleetPublisher"):
        self.publisher = publisher

    def register(self, messages: MessageServer) -> None:
        """Answer the calls on a port."""
        messages.register_handler(ListOrganisations, self.handle_list)
        messages.register_handler(FindKey, self.handle_find_key)

    async def handle_list(self, request: ListOrganisations) -> OrganisationList:
        """Return all organisations with their use."""
        plan = self._plan()
        quotas = self.publisher.quotas
        return OrganisationList(
            plan.version,
            {
                organisation.name: quotas.use(organisation)
                for organisation in plan.organisations
            },
        )

    async def handle_find_key(self, request: FindKey) -> KeyHolder:
        """Return the organisation that holds a key."""
        plan = self._plan()
        for organisation in plan.organisations:
            if request.digest in organisation.key_digests:
                return KeyHolder(organisation.name, plan.version)
        raise BulrushleadError(
            ResultCode.NOT_FOUND,
            f"no organisation of plan {plan.version} holds the key",
        )

    def _plan(self) -> TrafficPlan:
        self.publisher.require_leader()
        plan = self.publisher.plan
        if plan is None:
            raise BulrushleadError(
                ResultCode.NOT_FOUND, "no plan has been accepted yet"
            )
        return plan
