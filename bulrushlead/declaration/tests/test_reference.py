"""Guards against a reference page that differs from the rules in the code."""

from pathlib import Path

from bulrushlead.declaration import SECTIONS, render_reference
from bulrushlead.declaration._rules import RULES
from bulrushlead.operators._servicer import MAX_COMMAND_BYTES

REFERENCE_PAGE = Path(__file__).parents[3] / "docs" / "DECLARATION.md"


def test_page_ends_with_the_rendered_reference():
    text = REFERENCE_PAGE.read_text()
    assert text.endswith(render_reference())
    assert f"at most {MAX_COMMAND_BYTES:,} bytes" in text


def test_every_key_has_a_rule_and_a_table_row():
    text = render_reference()
    for section, item_type in SECTIONS.items():
        assert f"## `{section}`" in text
        assert RULES[item_type].keys() == {f.name for f in item_type.__attrs_attrs__}
        for key in RULES[item_type]:
            assert f"| `{key}` |" in text
