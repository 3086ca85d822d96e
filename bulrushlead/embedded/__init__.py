"""A complete small deployment in one process, for demonstrations and experiments."""

from bulrushlead.embedded._demo import run_requests, show_demo
from bulrushlead.embedded._deployment import Deployment, HostLinkFactory, free_ports
from bulrushlead.embedded._plan import LOOPBACK, DeploymentPlan, ServicePlan

__all__ = [
    "LOOPBACK",
    "Deployment",
    "DeploymentPlan",
    "HostLinkFactory",
    "ServicePlan",
    "free_ports",
    "run_requests",
    "show_demo",
]
