"""Renders settings classes as the reference in the docs."""

import typing

import attrs


def render_reference(settings_type: type, prefix: str = "") -> str:
    """Return the Markdown rows for every key of a settings class.

    Parameters
    ----------
    settings_type : type
        attrs class whose fields were made by ``setting``.
    prefix : str, default=""
        Dotted path in front of each key.

    Returns
    -------
    str
        One row per key: key, default, what is allowed, meaning.
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
