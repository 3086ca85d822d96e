"""Every result code is documented, and error texts contain code and faults."""

from bulrushlead.results import CODES, BulrushleadError, Fault, FaultsError, ResultCode


def test_every_code_has_an_entry():
    assert set(CODES) == set(ResultCode)


def test_error_text_contains_its_code():
    error = BulrushleadError(ResultCode.NOT_FOUND, 'region "oeste" does not exist')
    assert str(error) == 'NOT_FOUND (1205): region "oeste" does not exist'
    assert error.info.http_status == 404


def test_error_text_contains_every_fault():
    faults = [Fault("a.b", "3", "1 to 2"), Fault("c", "x", "a number")]
    error = FaultsError(ResultCode.SETTINGS_INVALID, "entry.toml", faults)
    assert "a.b: found 3; allowed: 1 to 2" in str(error)
    assert "c: found x; allowed: a number" in str(error)
