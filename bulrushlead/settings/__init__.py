"""Settings files of the programs; a program starts only with a valid file."""

from bulrushlead.settings._fields import (
    address_of,
    in_range,
    non_empty,
    not_blank,
    one_of,
    setting,
)
from bulrushlead.settings._load import load_settings, parse_settings
from bulrushlead.settings._programs import (
    ControlSettings,
    EntrySettings,
    LogSettings,
    TlsSettings,
)
from bulrushlead.settings._reference import render_reference

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "LogSettings",
    "TlsSettings",
    "address_of",
    "in_range",
    "load_settings",
    "non_empty",
    "not_blank",
    "one_of",
    "parse_settings",
    "render_reference",
    "setting",
]
