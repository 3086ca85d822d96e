"""Checks that the reference pages are those that the code generates.

A page becomes stale when a code, event, metric, setting or command changes and
``docs/render_reference.py`` is not run.
"""

import runpy
from pathlib import Path

import pytest

DOCS = Path(__file__).parents[1] / "docs"
PAGES = runpy.run_path(str(DOCS / "render_reference.py"))["build_pages"]()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_reference_page_matches_code(page):
    written = (DOCS / "reference" / page.name).read_text()
    assert written == page.text, "run: python docs/render_reference.py"


def test_no_obsolete_reference_page():
    names = {path.name for path in (DOCS / "reference").iterdir()}
    assert names == {page.name for page in PAGES}
