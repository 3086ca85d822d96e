"""Renders the reference of settings classes for the docs."""

import typing

import attrs


def render_reference(settings_type: type, prefix: str = "") -> str:
    """Return the Markdown table rows of a settings class, one per key.

    Parameters
    ----------
    settings_type : type
        attrs class whose fields are defined with ``setting``.
    prefix : str, default=""
        Prefix of each key, with a trailing dot.

    Returns
    -------
    str
        Rows with key, default, allowed values and meaning.
    """
    hints = typing.get_type_hints(settings_type)
    rows = []
    for field in attrs.fields(settings_type):
        hint = hints[field.name]
        if attrs.has(hint):
            rows.append(render_reference(hint, f"{prefix}{field.name}."))
            continue
        constraint = field.metadata["constraint"]
        allowed = constraint.allowed if constraint else "any"
        default = "required" if field.default is attrs.NOTHING else repr(field.default)
        rows.append(
            f"| `{prefix}{field.name}` | {default} | {allowed} "
            f"| {field.metadata['help']} |\n"
        )
    return "".join(rows)
