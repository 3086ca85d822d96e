"""Organisations: keys under a lease, quotas that all hosts share."""

from bulrushlead.organisations._access import (
    ANYONE,
    Access,
    Caller,
    common_regions,
    key_label,
)
from bulrushlead.organisations._messages import (
    FindKey,
    KeyHolder,
    ListOrganisations,
    OrganisationList,
    OrganisationUse,
    QuotaState,
    UsageReport,
)
from bulrushlead.organisations._quota_gate import QuotaGate
from bulrushlead.organisations._quota_table import QuotaTable
from bulrushlead.organisations._settings import OrganisationSettings

__all__ = [
    "ANYONE",
    "Access",
    "Caller",
    "FindKey",
    "KeyHolder",
    "ListOrganisations",
    "OrganisationList",
    "OrganisationSettings",
    "OrganisationUse",
    "QuotaGate",
    "QuotaState",
    "QuotaTable",
    "UsageReport",
    "common_regions",
    "key_label",
]
