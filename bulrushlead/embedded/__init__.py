"""A complete small deployment in one process, for demonstrations and experiments."""

from bulrushlead.embedded._deployment import Deployment, LinkMaker, free_ports
from bulrushlead.embedded._plan import LOOPBACK, DeploymentPlan, ServicePlan
from bulrushlead.embedded._tour import run_requests, show_tour

__all__ = [
    "LOOPBACK",
    "Deployment",
    "DeploymentPlan",
    "LinkMaker",
    "ServicePlan",
    "free_ports",
    "run_requests",
    "show_tour",
]
